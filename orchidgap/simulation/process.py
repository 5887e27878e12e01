"""A balancer as a process, with another decider: `python -m orchidgap.simulation.process NAME --config=FILE`."""

from __future__ import annotations

import sys

from orchidgap.composition import protocol_for
from orchidgap.net.config import ConfigError
from orchidgap.net.server import serve
from orchidgap.simulation.baselines import KINDS


def main() -> None:
    name, config = sys.argv[1], sys.argv[2].partition("=")[2]
    try:
        serve(config, protocol_for, KINDS[name])
    except ConfigError as trouble:
        sys.exit(f"orchidgap: {trouble}")


if __name__ == "__main__":
    main()
