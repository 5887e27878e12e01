"""While hosts say nothing, refusals still have to come at once: what is in flight there is seen."""

from pathlib import Path

from orchidgap.fault_tests.commands import play
from orchidgap.fault_tests.plan import read

PLAN = Path(__file__).parents[2] / "drills" / "silent-hosts.toml"


def test_refusals_beside_silent_hosts_come_at_once():
    """Two of three hosts are silent under three times the load: hundreds are refused."""
    verdict, cluster = play(read(str(PLAN)))
    assert verdict["verdict"] == "kept", (verdict, cluster.invariant_checker.breaches[:5])
    assert verdict["denied"] > 100


def test_a_refusal_that_is_held_back_beside_silent_hosts_is_caught():
    """Each of them was excused as long as any host said nothing."""
    verdict, _ = play(read(str(PLAN)), defect="dawdles")
    assert verdict["verdict"] == "broken"
    assert verdict["late"], verdict
