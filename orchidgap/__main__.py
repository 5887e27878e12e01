"""orchidgap, a balancer that spreads keys over cache hosts before one slow origin."""

from __future__ import annotations

import signal
import sys

SERVE = "serve"


def main() -> None:
    """Run the command that the arguments name."""
    if sys.argv[1:2] == [SERVE]:
        # held until `server.serve` handles it: its default would end the process
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    from orchidgap import commands
    from orchidgap.arguments import parse

    sys.exit(commands.run(parse()))


if __name__ == "__main__":
    main()
