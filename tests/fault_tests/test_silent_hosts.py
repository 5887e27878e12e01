"""Refusals have to be immediate even while hosts do not answer: in-flight requests to these hosts do not excuse delay."""

from pathlib import Path

from orchidgap.fault_tests.commands import run_fault_test
from orchidgap.fault_tests.plan import read

PLAN = Path(__file__).parents[2] / "drills" / "silent-hosts.toml"


def test_refusals_are_immediate_while_hosts_are_silent():
    """Two of three hosts do not answer under three times the load: hundreds of requests are refused."""
    verdict, cluster = run_fault_test(read(str(PLAN)))
    assert verdict["verdict"] == "kept", (verdict, cluster.invariant_checker.breaches[:5])
    assert verdict["denied"] > 100


def test_a_delayed_refusal_while_hosts_are_silent_is_detected():
    """Each delayed refusal was once excused as long as any host did not answer."""
    verdict, _ = run_fault_test(read(str(PLAN)), defect="dawdles")
    assert verdict["verdict"] == "broken"
    assert verdict["late"], verdict
