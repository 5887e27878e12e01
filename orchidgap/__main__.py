"""orchidgap, a balancer that spreads keys over cache hosts in front of one slow origin."""

from __future__ import annotations

import signal
import sys

SERVE = "serve"


def main() -> None:
    """Run the command given on the command line."""
    if sys.argv[1:2] == [SERVE]:
        # Blocked until `server.serve` has set a handler, as the default action ends the process.
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    from orchidgap import commands
    from orchidgap.arguments import parse

    sys.exit(commands.run(parse()))


if __name__ == "__main__":
    main()
