"""The sum of all requests that were written to a process: one that has no end by name is lost, whoever excuses it."""

from types import SimpleNamespace

from orchidgap.fault_tests.request_ledger import RequestLedger
from orchidgap.simulation.invariant_checker import InvariantChecker
from orchidgap.simulation.observations import ClientAttempt, Operation
from orchidgap.simulation.plan_file import validate_plan
from orchidgap.simulation.request_end import ProcessEnd

NOW_US = 9_000_000


def make_ledger(tmp_path, traffic=None, end=ProcessEnd.EXITED):
    """A ledger of one balancer, whose first process has ended so and logged this."""
    log = tmp_path / "b0.log"
    log.write_text(f'{{"at": 8.0, "event": "traffic", {traffic}}}\nno event\n' if traffic else "")
    checker = InvariantChecker(validate_plan({"name": "x", "balancers": 1}), 0)
    cluster = SimpleNamespace(
        invariant_checker=checker,
        loop=SimpleNamespace(now=NOW_US),
        balancers=["b0"],
        process_end=lambda name, number: end,
        logs=SimpleNamespace(log_path=lambda name: log),
    )
    ledger = RequestLedger(cluster)
    for number, at_us in ((0, 5_000_000), (1, 8_500_000)):
        checker.on_balancer_ended("b0", number, at_us, end is ProcessEnd.KILLED)
    return ledger, checker


def write(ledger, number, status=0):
    """Write a request to the first process of the balancer."""
    request_class = ledger.cluster.invariant_checker.plan.request_classes()[0]
    operation = Operation(number, request_class, "north", 1, 1, 0)
    attempt = ClientAttempt(b"q%d" % number, operation, "b0", 1, 1, 2_000_000)
    ledger.cluster.invariant_checker.on_client_attempt(attempt)
    attempt.status = status
    return attempt


def test_a_request_without_an_end_by_name_is_lost(tmp_path):
    # whatever lets go of a request without a word to the checker
    ledger, checker = make_ledger(tmp_path, '"requests": {"arrived": 2}, "rejected": {}')
    write(ledger, 1, status=200)
    write(ledger, 2)
    figures = ledger.report()["ledger"]
    assert (figures["written"], figures["answered"], figures["remainder"]) == (2, 1, 1)
    assert "1 have no end by name" in checker.breaches[0][2]


def test_what_was_read_is_not_taken_for_unread(tmp_path):
    # a process that reads a request, says nothing and resets: its client sends it again
    ledger, checker = make_ledger(tmp_path, '"requests": {"arrived": 2}, "rejected": {}')
    write(ledger, 1, status=200)
    ledger.cluster.invariant_checker.on_client_attempt(write(ledger, 2))
    ledger.last_by_id[b"q2"].attempt.status = 200
    figures = ledger.report()["ledger"]
    assert (figures["written"], figures["crossed"]) == (3, 1)
    assert not checker.breaches  # of three that were written it read two
    ledger, checker = make_ledger(tmp_path, '"requests": {"arrived": 3}, "rejected": {}')
    write(ledger, 1, status=200)
    ledger.cluster.invariant_checker.on_client_attempt(write(ledger, 2))
    ledger.last_by_id[b"q2"].attempt.status = 200
    ledger.report()
    assert "3 were read, of 3 written and 1 taken for unread" in checker.breaches[0][2]


def test_what_was_never_read_has_an_end_that_tells_of_it(tmp_path):
    # a listener that is closed over its queue: lost by name, or else by this sum
    traffic = '"requests": {"arrived": 1}, "rejected": {"503": 1}'
    ledger, checker = make_ledger(tmp_path, traffic)
    for number, status in enumerate((200, 503, -1)):
        write(ledger, number, status)
    figures = ledger.report()["ledger"]
    assert (figures["lost"], figures["unread"]) == (1, 1)
    assert not checker.breaches
    ledger, checker = make_ledger(tmp_path, traffic)
    for number, status in enumerate((200, 503, 200)):
        write(ledger, number, status)
    ledger.report()
    assert "1 were never read" in checker.breaches[0][2]


def test_a_process_that_ended_by_itself_says_what_it_read(tmp_path):
    # one that crashes, and all that it had read with it
    ledger, checker = make_ledger(tmp_path)
    write(ledger, 1, status=200)
    ledger.report()
    assert "did not say what it read" in checker.breaches[0][2]


def test_a_killed_process_has_no_count_and_excuses_what_it_held(tmp_path):
    # only an outright kill does
    ledger, checker = make_ledger(tmp_path, end=ProcessEnd.KILLED)
    write(ledger, 1)
    assert ledger.report()["ledger"]["killed"] == 1
    assert not checker.breaches
    ledger, checker = make_ledger(tmp_path, end=ProcessEnd.KILLED_PAST_GRACE)
    write(ledger, 1)
    ledger.report()
    assert "1 have no end by name" in checker.breaches[0][2]
