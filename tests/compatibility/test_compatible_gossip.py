"""Compares datagrams between balancers byte for byte with records made before modules were renamed."""

import json
from pathlib import Path

import exchanges

DATA = Path(__file__).parent / "data"
RECORD = json.loads((DATA / "gossip.json").read_text())


def test_balancers_send_the_recorded_datagrams():
    """Otherwise old balancers would drop the datagrams of new ones as badly signed or malformed, and each would
    use only its own counts."""
    assert exchanges.gossip() == RECORD


def test_recorded_datagrams_are_accepted_and_change_the_next_ones():
    """Otherwise new balancers would drop the datagrams of old ones, and would draw their ranges from their own
    counts only."""
    found = exchanges.gossip(recorded=RECORD["b0"])
    assert found["b1"] == RECORD["b1"]
    assert any('["b0",' in datagram for datagram in found["b1"]), "b1 forwards b0's row"
