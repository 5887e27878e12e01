"""What is made of what hosts report to hold."""

import pytest
from desk import Desk


def test_a_host_that_tells_of_much_more_than_others_gets_less():
    desk = Desk(
        4, instances="200", **{"report.how": "inline", "report.fields": "concurrent,mean_ms"}
    )
    for id, held in (("c0", 1.0), ("c1", 2.0), ("c2", 2.0), ("c3", 8.0)):
        desk.on_load_report(id, None, held)
    desk.wait(600_000)
    desk.on_load_report("c3", None, 7.9)  # three times the median and two
    assert desk.hosts["c3"].concurrency_limit >= 1
    desk.on_load_report("c3", None, 80.0)
    assert (
        desk.hosts["c3"].concurrency_limit == pytest.approx(0.1, abs=0.05)
        and desk.hosts["c1"].concurrency_limit >= 1
    )
    desk.on_load_report("nobody", 1.0, 80.0)
