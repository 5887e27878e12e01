"""The list of hosts: fetched, watched, broken, and what follows from it."""

import pytest
from net_scenarios import LIST, idle_links, listed, tells, watched
from node_harness import NodeHarness, heard


def test_the_list_is_fetched_whole_and_then_watched_without_a_gap():
    net = NodeHarness(1)
    assert heard(watched(net)).startswith(f"GET {LIST} HTTP/1.1")
    tells(net, 41, True, [net.entry(0), net.entry(3), net.entry(9)])
    assert listed(net) == {"c0": "up", "c3": "up", "o": "up"}
    assert heard(watched(net)).startswith(f"GET {LIST}?after=41&wait_ms=3000 ")
    net.wait(3_000_000)
    tells(net, 43, False, [net.entry(0, "Terminating"), net.entry(3, "Gone")])
    assert listed(net) == {"c0": "draining", "o": "up"}
    assert heard(watched(net)).startswith(f"GET {LIST}?after=43&")
    tells(net, 43, False, [])
    net.wait(50_000)
    assert heard(watched(net)) is None, "no spin where an agent does not wait"
    net.wait(140_000)
    assert heard(watched(net)).startswith(f"GET {LIST}?after=43&"), "but within 200 ms"


@pytest.mark.parametrize(
    "does",
    [
        lambda net: tells(net, 1, True, [], status=500),
        lambda net: tells(net, 1, False, []),
        lambda net: net.answers(watched(net), 200, "not JSON"),
        lambda net: net.answers(watched(net), 200, "[]"),
        lambda net: tells(net, 1, True, [{"host": "x"}]),
        lambda net: tells(net, 1, True, [7]),
        lambda net: watched(net).close(),
        lambda net: net.says(watched(net), "garbage\r\n\r\n"),
        lambda net: net.wait(1_000_000),
    ],
)
def test_a_bad_or_missing_answer_keeps_the_list_and_is_asked_again_later(does):
    """Discovery closes, answers badly or not at all. The list is kept, and asked for again
    after a wait that grows.
    """
    net = NodeHarness(2)
    before = listed(net)
    does(net)
    net.turn()
    assert listed(net) == before and "list lost" in net.log.lines
    times = len(net.dialled)
    net.wait(45_000)
    assert len(net.dialled) == times, "not at once"
    net.wait(60_000)
    assert len(net.dialled) == times + 1
    net.refused.add(8500)
    net.wait(20_000_000)
    net.refused.clear()
    for _ in range(30):
        if len(net.dialled) == times + 1:
            net.wait(100_000)
    tells(net, 9, True, [net.entry(5), net.entry(9)])
    assert listed(net) == {"c5": "up", "o": "up"} and "list back" in net.log.lines


def test_an_odd_entry_costs_its_host_and_not_the_list():
    """One host of the list has no address, or a state that is unknown. It is sent nothing new;
    the others are used.
    """
    net = NodeHarness(2)
    odd = [
        net.entry(0, "Odd"),
        net.entry(1) | {"dial": "localhost:80"},
        net.entry(2) | {"share": None},
    ]
    tells(net, 41, True, [*odd, net.entry(9)])
    assert listed(net) == {"c0": "draining", "c1": "draining", "c2": "up", "o": "up"}
    net.ask()
    assert net.dialled[-1][0] == 102


def test_a_change_that_cannot_be_read_or_a_version_that_falls_is_followed_by_the_whole_list():
    """A change cannot be read, or its version is lower than the one held. The whole list is
    asked for.
    """
    for seq, hosts, wait in ((42, [{"host": "x"}], 100_000), (3, [], 100_000)):
        net = NodeHarness(1)
        tells(net, 41, True, [net.entry(0), net.entry(9)])
        heard(watched(net))
        tells(net, seq, False, hosts)
        net.wait(wait)
        assert heard(watched(net)).startswith(f"GET {LIST} HTTP/1.1") and listed(net) == {
            "c0": "up",
            "o": "up",
        }


def test_an_address_that_changes_is_dialled_from_then_on():
    """A host comes back at another address. Its old connections are closed, and the new
    address is dialled.
    """
    net = NodeHarness(1)
    tells(net, 41, True, [net.entry(0), net.entry(9)])
    [link] = idle_links(net, 1)
    tells(net, 42, False, [net.entry(0, port=300)])
    net.ask("again")
    assert net.dialled[-1][0] == 300
    heard(link)
    assert heard(link) == ""


def test_a_restart_is_told_in_milliseconds_of_unix_time():
    net = NodeHarness(2)
    tells(net, 41, True, [net.entry(0, born=net.now // 1000), net.entry(1), net.entry(9)])
    assert net.node.balancer.hosts["c0"].warm_at_us == net.now + 10_000_000
