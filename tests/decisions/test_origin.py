"""How long requests wait for an origin."""

from desk import Desk


def test_misses_wait_no_longer_than_the_response_target():
    desk = Desk()
    reqs = [desk.put(key, "mark") for key in range(9)]
    desk.wait(850_000)
    assert desk.did("deny", reqs[8]) == [(reqs[8], 1_000_000)]
    assert not desk.did("deny", reqs[0]), "one that is out may still be answered"
