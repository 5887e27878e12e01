"""A balancer process with another policy.

Usage: `python -m orchidgap.simulation.process POLICY --config=FILE`
"""

from __future__ import annotations

import sys

from orchidgap.composition import create_protocol
from orchidgap.net.config import ConfigError
from orchidgap.net.server import serve
from orchidgap.simulation.baselines import PROCESS_POLICIES


def main() -> None:
    """Serve until stopped; exit with a one-line message if the configuration is invalid."""
    policy = sys.argv[1]
    config = sys.argv[2].partition("=")[2]
    try:
        serve(config, create_protocol, PROCESS_POLICIES[policy])
    except ConfigError as error:
        sys.exit(f"orchidgap: {error}")


if __name__ == "__main__":
    main()
