"""An operator's command that is started early and waits for its word, as in a shell that is open.

`python -m orchidgap.fault_tests.prestarted_command`

It loads what the commands of `change` need and waits for one line on standard input, the arguments
as a JSON list. Then it runs the program as if it had been started with them: the program does not
know of it. Where standard input ends without a whole line, nothing is run.
"""

from __future__ import annotations

import sys

import orjson

# loaded before the word: `change` loads them when it runs
from orchidgap import __main__, arguments, commands  # noqa: F401
from orchidgap.control import cli  # noqa: F401

END_OF_LINE = b"\n"
NOT_RUN = 0


def main() -> int:
    """Wait for the arguments, then be the program."""
    line = sys.stdin.buffer.readline()
    if line.endswith(END_OF_LINE):
        sys.argv[1:] = orjson.loads(line)
        __main__.main()
    return NOT_RUN


if __name__ == "__main__":
    sys.exit(main())
