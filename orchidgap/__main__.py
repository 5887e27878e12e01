"""orchidgap, a balancer that spreads keys over cache hosts before one slow origin."""

from __future__ import annotations

import sys

from orchidgap import commands
from orchidgap.arguments import parse


def main() -> None:
    """Run the command that the arguments name."""
    sys.exit(commands.run(parse()))


if __name__ == "__main__":
    main()
