import pytest
from balancer_harness import SETTINGS, BalancerHarness, RecordingPort

from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.settings import ServiceSettings
from orchidgap.decisions.shadow import ShadowBalancer

NOW = {"ceilings.may-duplicate": "true"}
NEW = {
    "ceilings.may-duplicate": "false",
    "weights": "rough",
    "report.how": "inline",
    "report.fields": "concurrent",
}


class ShadowHarness(BalancerHarness, ShadowBalancer):
    """A harness that goes by NOW and evaluates other settings beside."""

    def __init__(self, caches=4, **other):
        self.port = None
        settings = ServiceSettings.from_pairs(SETTINGS | NOW)
        other_settings = ServiceSettings.from_pairs(SETTINGS | NOW | other)
        ShadowBalancer.__init__(self, other_settings, settings, RecordingPort(), 7, 100_000_000)
        self.recorded = self.port.port
        self.last_request_id = 0
        self.list_hosts([f"c{i}" for i in range(caches)] + ["o"], "recalled")

    def actions(self, name, request=None):
        return [
            action[1:]
            for action in self.recorded.actions
            if action[0] == name and (request is None or request == action[1])
        ]


def found(balancer):
    return {kind: many for kind, many in balancer.differences.items() if many}


def busy(balancer):
    """The same things happen to any balancer: late, lost, failed and done attempts, reports, a drain."""
    late(balancer)
    for key in range(30):
        request = balancer.send_request(
            key, ("read", "read", "mark", "once")[key % 4], tenant=("big", "small")[key % 2]
        )
        for id in balancer.attempted_hosts(request):
            balancer.on_load_report(id, 4.0, 40.0 if id == "c1" else 1.0)
        if key % 5 == 0:
            balancer.advance(600_000)
        if balancer.attempted_hosts(request):
            balancer.finish_attempt(request, ("done", "error", "timeout", "full", "miss")[key % 5])
    balancer.list_hosts(["c2"], state="draining")
    balancer.advance(3_000_000)


def test_it_decides_as_the_settings_it_goes_by_and_not_otherwise():
    plain = BalancerHarness(**NOW)
    watching = ShadowHarness(**NEW)
    busy(plain)
    busy(watching)
    assert watching.recorded.actions == plain.port.actions
    assert found(watching) and watching.attempts_compared == len(plain.actions("dispatch"))


def test_the_same_settings_decide_nothing_otherwise():
    balancer = ShadowHarness()
    busy(balancer)
    assert not found(balancer) and balancer.attempts_compared > 20


def silent(balancer):
    balancer.send_request()
    balancer.advance(500_000)


def late(balancer):
    host = balancer.hosts[balancer.attempted_hosts(balancer.send_request())[0]]
    host.last_response_at_us, host.smoothed_latency_us = (
        balancer.now + 1,
        100_000,
    )  # it answers others meanwhile, and is crowded
    balancer.advance(500_000)


def lost(balancer):
    request = balancer.send_request()
    balancer.hosts[balancer.attempted_hosts(request)[0]].last_response_at_us = balancer.now + 1
    balancer.advance(500_000)
    assert len(balancer.attempted_hosts(request)) == 2


def failed(balancer):
    balancer.finish_attempt(balancer.send_request(), "error")


def refused(balancer):
    for host in balancer.hosts.values():
        host.ejected_until_us = balancer.now + 10_000_000
    balancer.send_request()
    assert balancer.actions("deny")


def reported(balancer):
    for id, held in (("c0", 1.0), ("c1", 1.0), ("c2", 1.0), ("c3", 50.0), ("o", 900.0)):
        balancer.on_load_report(id, None, held)


def sized(balancer):
    balancer.on_hosts("changes", [("c0", "up", 0, "z", "cache", "1", 9.0)])
    for key in range(20):
        balancer.owner_of_key(key)


@pytest.mark.parametrize(
    ("act", "other", "kinds"),
    [
        (late, {"ceilings.may-duplicate": "false"}, {"call-off": 1}),
        (late, {"ceilings.may-duplicate": "false", "ceilings.may-cancel": "false"}, {}),
        (silent, {"ceilings.may-duplicate": "false"}, {}),  # it is called off either way
        (silent, {"ceilings.may-cancel": "false"}, {"call-off": 1}),
        (lost, {"ceilings.may-duplicate": "false"}, {"copy": 1}),
        (failed, {"ceilings.most-dispatches": "1"}, {"repeat": 1}),
        (failed, {"ceilings.most-dispatches": "2"}, {}),
        (failed, {"rule-sets.0.effect": "fragile"}, {"repeat": 1}),
        (refused, {"ceilings.retry-after": "false"}, {"pause": 1}),
        (refused, {"rule-sets.0.effect": "fragile"}, {}),  # it has not run
        (reported, {"report.how": "inline", "report.fields": "concurrent,tps"}, {"limit": 1}),
        (reported, {"report.how": "on_probe", "report.fields": "concurrent"}, {}),
        (sized, {"weights": "live"}, {}),
    ],
)
def test_each_kind_is_counted_where_it_differs(act, other, kinds):
    balancer = ShadowHarness(**other)
    act(balancer)
    assert found(balancer) == kinds


def test_other_sizes_make_other_owners():
    balancer = ShadowHarness(weights="rough")
    sized(balancer)
    assert 0 < found(balancer)["owner"] < 20
    assert balancer.summary().startswith("20 dispatches, owner ")


def test_after_new_settings_open_requests_are_looked_at_by_their_own():
    balancer = ShadowHarness(**{"rule-sets.0.effect": "fragile"})
    request = balancer.send_request()
    balancer.on_settings(
        ServiceSettings.from_pairs(SETTINGS | NOW | {"rule-sets.0.response-target": "700000"})
    )
    balancer.finish_attempt(request, "error")
    assert not found(balancer) and isinstance(balancer, Balancer)


def test_it_says_once_a_minute_what_it_counted_and_only_news():
    balancer = ShadowHarness(**NEW)
    late(balancer)
    balancer.advance(61_000_000)
    said = [
        line
        for (line,) in balancer.actions("log")
        if line.startswith("watched so far: 1 dispatches")
    ]
    assert len(said) == 1 and "call-off 1" in said[0]
    balancer.advance(200_000_000)
    assert len([line for (line,) in balancer.actions("log") if line.startswith("watched")]) == 1
