"""Datagrams between balancers, byte for byte as before modules were renamed."""

import json
from pathlib import Path

import exchanges

DATA = Path(__file__).parent / "data"
RECORD = json.loads((DATA / "gossip.json").read_text())


def test_balancers_send_the_recorded_datagrams():
    """Old balancers would drop what new ones say as badly signed or odd, and each would count alone."""
    assert exchanges.gossip() == RECORD


def test_recorded_datagrams_are_heard_and_change_what_is_said_next():
    """New balancers would drop what old ones say, and would draw their ranges from their own counts alone."""
    found = exchanges.gossip(recorded=RECORD["b0"])
    assert found["b1"] == RECORD["b1"]
    assert any('["b0",' in datagram for datagram in found["b1"]), "b0's row is passed on"
