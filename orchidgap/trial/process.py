"""A balancer as a process, with another decider: `python -m orchidgap.trial.process NAME --config=FILE`."""

from __future__ import annotations

import sys

from orchidgap.http1 import Http1
from orchidgap.net.serve import serve
from orchidgap.net.start import BadStart
from orchidgap.trial.baselines import KINDS


def main() -> None:
    name, config = sys.argv[1], sys.argv[2].partition("=")[2]
    try:
        serve(config, lambda station: Http1(), KINDS[name])
    except BadStart as trouble:
        sys.exit(f"orchidgap: {trouble}")


if __name__ == "__main__":
    main()
