"""orchidgap, a balancer that spreads keys over cache hosts before one slow origin.

Usage:
  orchidgap serve [--config=FILE]
  orchidgap check [--config=FILE]
  orchidgap version
  orchidgap (-h | --help)

Commands:
  serve    Serve until told to stop (SIGTERM or SIGINT); SIGHUP has the configuration read anew.
  check    Read the configuration as serve would, say what it holds, and end.
  version  Print the version.

Options:
  --config=FILE  The configuration; without it, the file named by GW_CONFIG.
"""

from __future__ import annotations

import os
import sys

from docopt import docopt

from orchidgap import VERSION
from orchidgap.net import start
from orchidgap.net.serve import serve


def main() -> None:
    told = docopt(__doc__ or "")
    if told["version"]:
        return print(f"orchidgap {VERSION}")
    try:
        path = told["--config"] or os.environ.get("GW_CONFIG")
        if told["serve"]:
            return serve(path)
        station = start.read(path)
    except start.BadStart as trouble:
        sys.exit(f"orchidgap: {trouble}")
    print(f"balancer {station.name} on {station.listen[0]}:{station.listen[1]}, list from "
          f"{station.discovery[0]}:{station.discovery[1]}, {len(station.known[2])} hosts known, "
          f"rule sets {', '.join(station.terms.rule_sets)}, "
          f"{station.sockets} descriptors, {station.memory_mb} MB")


if __name__ == "__main__":
    main()
