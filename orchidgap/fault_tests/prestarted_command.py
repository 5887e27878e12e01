"""An operator's command that is started early and waits for its arguments.

`python -m orchidgap.fault_tests.prestarted_command`

It loads the modules that the commands of `change` need and waits for one line on standard input:
the arguments as a JSON list. Then it runs the program as if it had been started with them, which
the program cannot notice. If standard input ends without a complete line, nothing is run.
"""

from __future__ import annotations

import sys

import orjson

# loaded before the arguments arrive; otherwise `change` would load them when it runs
from orchidgap import __main__, arguments, commands  # noqa: F401
from orchidgap.control import cli  # noqa: F401

END_OF_LINE = b"\n"
NOT_RUN = 0


def main() -> int:
    """Wait for the arguments, then run the program with them."""
    line = sys.stdin.buffer.readline()
    if line.endswith(END_OF_LINE):
        sys.argv[1:] = orjson.loads(line)
        __main__.main()
    return NOT_RUN


if __name__ == "__main__":
    sys.exit(main())
