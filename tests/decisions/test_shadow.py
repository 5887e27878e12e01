import pytest
from desk import PAIRS, Desk, Port

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


class Watch(Desk, ShadowBalancer):
    """A desk that goes by NOW and watches other terms."""

    def __init__(self, caches=4, **other):
        self.port = None
        terms = ServiceSettings.from_pairs(PAIRS | NOW)
        ShadowBalancer.__init__(
            self, ServiceSettings.from_pairs(PAIRS | NOW | other), terms, Port(), 7, 100_000_000
        )
        self.seen, self.number = self.port.port, 0
        self.list([f"c{i}" for i in range(caches)] + ["o"], "recalled")

    def did(self, name, req=None):
        return [
            what[1:]
            for what in self.seen.did
            if what[0] == name and (req is None or req == what[1])
        ]


def found(desk):
    return {kind: many for kind, many in desk.differences.items() if many}


def busy(desk):
    """The same things happen to any desk: late, lost, failed and done dispatches, reports, a drain."""
    late(desk)
    for key in range(30):
        req = desk.put(
            key, ("read", "read", "mark", "once")[key % 4], tenant=("big", "small")[key % 2]
        )
        for id in desk.sent(req):
            desk.on_load_report(id, 4.0, 40.0 if id == "c1" else 1.0)
        if key % 5 == 0:
            desk.wait(600_000)
        if desk.sent(req):
            desk.outcome(req, ("done", "error", "timeout", "full", "miss")[key % 5])
    desk.list(["c2"], state="draining")
    desk.wait(3_000_000)


def test_it_decides_as_the_terms_it_goes_by_and_not_otherwise():
    plain = Desk(**NOW)
    watching = Watch(**NEW)
    busy(plain)
    busy(watching)
    assert watching.seen.did == plain.port.did
    assert found(watching) and watching.attempts_compared == len(plain.did("dispatch"))


def test_the_same_terms_decide_nothing_otherwise():
    desk = Watch()
    busy(desk)
    assert not found(desk) and desk.attempts_compared > 20


def silent(desk):
    desk.put()
    desk.wait(500_000)


def late(desk):
    host = desk.hosts[desk.sent(desk.put())[0]]
    host.last_response_at_us, host.smoothed_latency_us = (
        desk.now + 1,
        100_000,
    )  # it answers others meanwhile, and is crowded
    desk.wait(500_000)


def lost(desk):
    req = desk.put()
    desk.hosts[desk.sent(req)[0]].last_response_at_us = desk.now + 1
    desk.wait(500_000)
    assert len(desk.sent(req)) == 2


def failed(desk):
    desk.outcome(desk.put(), "error")


def refused(desk):
    for host in desk.hosts.values():
        host.ejected_until_us = desk.now + 10_000_000
    desk.put()
    assert desk.did("deny")


def reported(desk):
    for id, held in (("c0", 1.0), ("c1", 1.0), ("c2", 1.0), ("c3", 50.0), ("o", 900.0)):
        desk.on_load_report(id, None, held)


def sized(desk):
    desk.on_hosts("changes", [("c0", "up", 0, "z", "cache", "1", 9.0)])
    for key in range(20):
        desk.owner(key)


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
    desk = Watch(**other)
    act(desk)
    assert found(desk) == kinds


def test_other_sizes_make_other_owners():
    desk = Watch(weights="rough")
    sized(desk)
    assert 0 < found(desk)["owner"] < 20
    assert desk.summary().startswith("20 dispatches, owner ")


def test_after_new_terms_open_reqs_are_looked_at_by_their_own():
    desk = Watch(**{"rule-sets.0.effect": "fragile"})
    req = desk.put()
    desk.on_settings(
        ServiceSettings.from_pairs(PAIRS | NOW | {"rule-sets.0.response-target": "700000"})
    )
    desk.outcome(req, "error")
    assert not found(desk) and isinstance(desk, Balancer)


def test_it_says_once_a_minute_what_it_counted_and_only_news():
    desk = Watch(**NEW)
    late(desk)
    desk.wait(61_000_000)
    said = [line for (line,) in desk.did("log") if line.startswith("watched so far: 1 dispatches")]
    assert len(said) == 1 and "call-off 1" in said[0]
    desk.wait(200_000_000)
    assert len([line for (line,) in desk.did("log") if line.startswith("watched")]) == 1
