"""The known hosts after each list."""

from orchidgap.decisions.host_list import max_retry_delay_us, merge_host_list
from orchidgap.decisions.records import HostState


def entry(host_id, state="up", started=0, kind="cache", weight=1.0):
    return (host_id, state, started, "z", kind, "1", weight)


def merged(known, *entries, is_whole=False):
    started = []
    hosts = merge_host_list(
        known,
        entries,
        is_whole=is_whole,
        origin_kind="origin",
        on_started=lambda host, at: (
            started.append((host.id, at)),
            setattr(host, "started_at_us", at),
        ),
    )
    return hosts, started


def test_changes_leave_other_hosts_and_a_whole_list_does_not():
    known, _ = merged({}, entry("b"), entry("a"), entry("o", kind="origin"))
    assert list(known) == ["a", "b", "o"] and known["o"].is_origin and not known["a"].is_origin
    changed, _ = merged(known, entry("c"), entry("a", "gone"))
    assert list(changed) == ["b", "c", "o"] and changed["b"] is known["b"]
    whole, _ = merged(known, entry("c"), entry("a"), is_whole=True)
    assert list(whole) == ["a", "c"] and whole["a"] is known["a"]


def test_a_host_that_is_gone_and_listed_again_in_one_list_keeps_its_record():
    known, _ = merged({}, entry("a"))
    hosts, started = merged(known, entry("a", "gone"), entry("a", "draining"))
    assert hosts["a"] is known["a"] and hosts["a"].state == "draining" and not started


def test_a_start_is_reported_once():
    known, started = merged({}, entry("a"))
    assert started == [("a", 0)], "also for a host that started long ago, as it is new"
    _, started = merged(known, entry("a", started=7), entry("a", started=7))
    assert started == [("a", 7)]


def test_every_host_has_a_positive_weight():
    hosts, _ = merged({}, entry("a", weight=0.0), entry("b", weight=-3.0))
    assert hosts["a"].weight > 0 and hosts["b"].weight > 0


def test_the_mapping_of_known_hosts_is_not_modified():
    known = {"a": HostState("a", False)}
    merged(known, entry("b"), entry("a", "gone"))
    assert list(known) == ["a"]


def test_consecutive_failures_increase_the_delay_up_to_a_quarter_of_the_time_allowed():
    assert [max_retry_delay_us(failures, 20_000_000) for failures in (1, 2, 3, 9)] == [
        2_000_000,
        4_000_000,
        5_000_000,
        5_000_000,
    ]
    assert max_retry_delay_us(9, 1 << 40) == 8_000_000
