"""Leases as balancers ask for them."""

from control_cluster import LEASE_US


def test_who_hears_no_answer_is_waited_for_no_longer_than_its_lease(cluster):
    """A balancer is heard, and hears no answers. It goes on asking, and gets no further lease that a change
    would have to wait for; once it hears again, it gets one."""
    cluster.run(2 * LEASE_US)
    assert cluster.ask_lease("k0", "b0").granted
    for _ in range(8):
        cluster.run(LEASE_US // 2)
        cluster.ask_lease("k0", "b0")
    assert not cluster.ask_lease("k0", "b0").granted
    holders = cluster.processes["k0"].leases.holders
    assert all(holder.lease_expires_at_us < cluster.loop.now for holder in holders.values())
    assert cluster.ask_lease("k0", "b0", last_answer_at_us=cluster.loop.now).granted
