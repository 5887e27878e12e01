"""Tests of shadow evaluation: decisions stay those of the own settings, and differences are counted."""

import pytest
from balancer_harness import SETTINGS, BalancerHarness, RecordingPort

from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.settings import ServiceSettings
from orchidgap.decisions.shadow import ShadowBalancer

OWN_SETTINGS = {"ceilings.may-duplicate": "true"}
OTHER_SETTINGS = {
    "ceilings.may-duplicate": "false",
    "weights": "rough",
    "report.how": "inline",
    "report.fields": "concurrent",
}


class ShadowHarness(BalancerHarness, ShadowBalancer):
    """A harness that decides by OWN_SETTINGS and compares with other settings."""

    def __init__(self, caches=4, **other):
        self.port = None
        settings = ServiceSettings.from_pairs(SETTINGS | OWN_SETTINGS)
        other_settings = ServiceSettings.from_pairs(SETTINGS | OWN_SETTINGS | other)
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


def counted_differences(balancer):
    return {kind: count for kind, count in balancer.differences.items() if count}


def run_workload(balancer):
    """Runs the same events on any balancer: attempts with all kinds of results, load reports, a drain."""
    overdue_attempt(balancer)
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


def test_decisions_are_those_of_the_own_settings():
    plain = BalancerHarness(**OWN_SETTINGS)
    shadow = ShadowHarness(**OTHER_SETTINGS)
    run_workload(plain)
    run_workload(shadow)
    assert shadow.recorded.actions == plain.port.actions
    assert counted_differences(shadow) and shadow.attempts_compared == len(
        plain.actions("dispatch")
    )


def test_equal_settings_give_no_differences():
    balancer = ShadowHarness()
    run_workload(balancer)
    assert not counted_differences(balancer) and balancer.attempts_compared > 20


def silent_host(balancer):
    balancer.send_request()
    balancer.advance(500_000)


def overdue_attempt(balancer):
    host = balancer.hosts[balancer.attempted_hosts(balancer.send_request())[0]]
    host.last_response_at_us, host.smoothed_latency_us = (
        balancer.now + 1,
        100_000,
    )  # the host keeps answering other requests, slowly
    balancer.advance(500_000)


def hedged_attempt(balancer):
    request = balancer.send_request()
    balancer.hosts[balancer.attempted_hosts(request)[0]].last_response_at_us = balancer.now + 1
    balancer.advance(500_000)
    assert len(balancer.attempted_hosts(request)) == 2


def failed_attempt(balancer):
    balancer.finish_attempt(balancer.send_request(), "error")


def denied_request(balancer):
    for host in balancer.hosts.values():
        host.ejected_until_us = balancer.now + 10_000_000
    balancer.send_request()
    assert balancer.actions("deny")


def load_reports(balancer):
    for id, in_flight in (("c0", 1.0), ("c1", 1.0), ("c2", 1.0), ("c3", 50.0), ("o", 900.0)):
        balancer.on_load_report(id, None, in_flight)


def listed_weight(balancer):
    balancer.on_hosts("changes", [("c0", "up", 0, "z", "cache", "1", 9.0)])
    for key in range(20):
        balancer.owner_of_key(key)


@pytest.mark.parametrize(
    ("run_event", "other", "kinds"),
    [
        (overdue_attempt, {"ceilings.may-duplicate": "false"}, {"call-off": 1}),
        (overdue_attempt, {"ceilings.may-duplicate": "false", "ceilings.may-cancel": "false"}, {}),
        (silent_host, {"ceilings.may-duplicate": "false"}, {}),  # cancelled either way
        (silent_host, {"ceilings.may-cancel": "false"}, {"call-off": 1}),
        (hedged_attempt, {"ceilings.may-duplicate": "false"}, {"copy": 1}),
        (failed_attempt, {"ceilings.most-dispatches": "1"}, {"repeat": 1}),
        (failed_attempt, {"ceilings.most-dispatches": "2"}, {}),
        (failed_attempt, {"rule-sets.0.effect": "fragile"}, {"repeat": 1}),
        (denied_request, {"ceilings.retry-after": "false"}, {"pause": 1}),
        (denied_request, {"rule-sets.0.effect": "fragile"}, {}),  # not executed yet
        (load_reports, {"report.how": "inline", "report.fields": "concurrent,tps"}, {"limit": 1}),
        (load_reports, {"report.how": "on_probe", "report.fields": "concurrent"}, {}),
        (listed_weight, {"weights": "live"}, {}),
    ],
)
def test_each_kind_of_difference_is_counted(run_event, other, kinds):
    balancer = ShadowHarness(**other)
    run_event(balancer)
    assert counted_differences(balancer) == kinds


def test_other_weights_give_other_owners():
    balancer = ShadowHarness(weights="rough")
    listed_weight(balancer)
    assert 0 < counted_differences(balancer)["owner"] < 20
    assert balancer.summary().startswith("20 dispatches, owner ")


def test_open_requests_keep_their_class_after_new_settings():
    balancer = ShadowHarness(**{"rule-sets.0.effect": "fragile"})
    request = balancer.send_request()
    balancer.on_settings(
        ServiceSettings.from_pairs(
            SETTINGS | OWN_SETTINGS | {"rule-sets.0.response-target": "700000"}
        )
    )
    balancer.finish_attempt(request, "error")
    assert not counted_differences(balancer) and isinstance(balancer, Balancer)


def test_counts_are_logged_once_a_minute_if_they_changed():
    balancer = ShadowHarness(**OTHER_SETTINGS)
    overdue_attempt(balancer)
    balancer.advance(61_000_000)
    lines = [
        line
        for (line,) in balancer.actions("log")
        if line.startswith("watched so far: 1 dispatches")
    ]
    assert len(lines) == 1 and "call-off 1" in lines[0]
    balancer.advance(200_000_000)
    assert len([line for (line,) in balancer.actions("log") if line.startswith("watched")]) == 1
