"""Serves the simulator's line protocol on standard input and output."""

from __future__ import annotations

import sys

from orchidgap.wirehost.messages import MalformedLineError
from orchidgap.wirehost.server import serve


def main() -> None:
    """Answer batches until the input ends; exit with a one-line error if a line is malformed."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedLineError as error:
        sys.exit(f"orchidgap.wirehost: {error}")
    except UnicodeDecodeError as error:
        sys.exit(f"orchidgap.wirehost: a line is not UTF-8: {error.object[:40]!r}")


if __name__ == "__main__":
    main()
