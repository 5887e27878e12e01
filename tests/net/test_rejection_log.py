"""The log of rejected requests by reason."""

from collections import Counter

import orjson
from loopback_harness import LoopbackHarness, received_or_reset, request_text

from orchidgap.decisions.rejections import RejectionReason
from orchidgap.net.rejection_log import LOG_INTERVAL_US, RejectionLog


def test_the_first_rejection_is_logged_at_once_and_later_ones_once_a_second():
    """An overload must not fill the log, and its beginning must not be logged late."""
    lines = []
    rejections = Counter()
    log = RejectionLog(lambda event, **facts: lines.append((event, facts["reasons"])), rejections)

    def reject(reason, now_us):
        rejections[reason] += 1
        log.on_rejected(now_us)

    reject(RejectionReason.ORIGIN_WAIT, 0)
    reject(RejectionReason.ORIGIN_WAIT, 1)
    reject(RejectionReason.SLOW_START, LOG_INTERVAL_US - 1)
    assert lines == [("rejections", {"origin_wait": 1})]
    reject(RejectionReason.SLOW_START, LOG_INTERVAL_US)
    assert lines[1:] == [("rejections", {"origin_wait": 1, "slow_start": 2})]
    assert log.log_fields() == {"reasons": {"origin_wait": 2, "slow_start": 2}}


def test_the_count_report_includes_the_reasons():
    net = LoopbackHarness(1)
    cache = net.node.balancer.placement.ring[0]
    cache.ejected_until_us = net.node.loop.now + 10_000_000
    for origin in net.node.balancer.origin.hosts:
        origin.ejected_until_us = cache.ejected_until_us
    client = net.connect_client(request_text())
    net.turn()
    assert "503" in received_or_reset(client)
    counts = orjson.loads(net.node.count_report()[1])
    assert counts["requests"]["denied"] == 1
    assert counts["reasons"] == {"cache_ejected": 1}
