"""Speaks the simulator's wire on standard input and output."""

from __future__ import annotations

import sys

from orchidgap.wirehost.messages import MalformedLineError
from orchidgap.wirehost.server import serve


def main() -> None:
    """Answer batches until the input ends; exits with one line where that is malformed."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedLineError as error:
        sys.exit(f"orchidgap.wirehost: {error}")
    except UnicodeDecodeError as error:
        sys.exit(f"orchidgap.wirehost: a line is not UTF-8: {error.object[:40]!r}")


if __name__ == "__main__":
    main()
