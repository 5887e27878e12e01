"""Checks all reachable states of the pure modules that implement policy changes, within bounds.

`python -m orchidgap.fault_tests.state_space [STATES WALKS [MODEL ...]]`: a model with more than
STATES states is explored up to that number, and then by WALKS random walks.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from random import Random

from orchidgap.decisions.leases import OnLostQuorum
from orchidgap.fault_tests.model.fleet_model import FleetModel
from orchidgap.fault_tests.model.register_model import RegisterModel

DEFAULT_MAX_STATES = 4_000_000
DEFAULT_WALKS = 2_000
WALK_SEED = 1
DENY = OnLostQuorum.DENY
SERVE = OnLostQuorum.SERVE

MODELS: dict[str, Callable[[], RegisterModel | FleetModel]] = {
    "register": lambda: RegisterModel(2, 0),
    "register, three rounds": lambda: RegisterModel(3, 0),
    "register, a disk lost": lambda: RegisterModel(2, 1),
    "leaves": lambda: FleetModel(1, 1, 2, 0, DENY),
    "stays": lambda: FleetModel(1, 1, 2, 0, SERVE),
    "leaves, a start": lambda: FleetModel(1, 1, 2, 1, DENY),
    "stays, a start": lambda: FleetModel(1, 1, 2, 1, SERVE),
    "leaves, two proposals": lambda: FleetModel(1, 2, 4, 1, DENY),
    "stays, two proposals": lambda: FleetModel(1, 2, 4, 1, SERVE),
    "three leave, two proposals": lambda: FleetModel(3, 2, 4, 2, DENY),
    "three stay, two proposals": lambda: FleetModel(3, 2, 4, 2, SERVE),
}


def report(name: str, max_states: int, walk_count: int) -> str:
    """Explore one model and return the result as one line."""
    began_s = time.monotonic()
    model = MODELS[name]()
    state_count, complete = model.explore(max_states)
    step_count = 0 if complete else model.walk(walk_count, Random(WALK_SEED))
    extent = "all" if complete else "not all"
    spent_s = time.monotonic() - began_s
    return f"{name}: {state_count} states, {extent}; {step_count} steps by chance; {spent_s:.0f} s"


def main() -> None:
    """Explore the models that the command line names, or all models."""
    max_states = DEFAULT_MAX_STATES
    walk_count = DEFAULT_WALKS
    if len(sys.argv) > 2:
        max_states = int(sys.argv[1])
        walk_count = int(sys.argv[2])
    for name in sys.argv[3:] or MODELS:
        print(report(name, max_states, walk_count), flush=True)


if __name__ == "__main__":
    main()
