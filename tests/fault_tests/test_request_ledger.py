"""Guards against lost requests: each request written to a process needs a known end, or it counts as lost."""

from types import SimpleNamespace

from orchidgap.fault_tests.request_ledger import RequestLedger
from orchidgap.simulation.invariant_checker import InvariantChecker
from orchidgap.simulation.observations import ClientAttempt, Operation
from orchidgap.simulation.plan_file import validate_plan
from orchidgap.simulation.request_end import ProcessEnd

NOW_US = 9_000_000


def make_ledger(tmp_path, traffic=None, end=ProcessEnd.EXITED):
    """Return a ledger of one balancer whose first process has this end and logged this traffic."""
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


def test_a_request_without_a_known_end_is_lost(tmp_path):
    # any code path that drops a request without reporting it to the checker
    ledger, checker = make_ledger(tmp_path, '"requests": {"arrived": 2}, "rejected": {}')
    write(ledger, 1, status=200)
    write(ledger, 2)
    figures = ledger.report()["ledger"]
    assert (figures["written"], figures["answered"], figures["remainder"]) == (2, 1, 1)
    assert "1 have no known end" in checker.breaches[0][2]


def test_a_request_that_was_read_may_not_be_resent_as_unread(tmp_path):
    # a process reads a request, sends no answer and resets the connection: its client resends it
    ledger, checker = make_ledger(tmp_path, '"requests": {"arrived": 2}, "rejected": {}')
    write(ledger, 1, status=200)
    ledger.cluster.invariant_checker.on_client_attempt(write(ledger, 2))
    ledger.last_by_id[b"q2"].attempt.status = 200
    figures = ledger.report()["ledger"]
    assert (figures["written"], figures["crossed"]) == (3, 1)
    assert not checker.breaches  # three were written, and two of them read
    ledger, checker = make_ledger(tmp_path, '"requests": {"arrived": 3}, "rejected": {}')
    write(ledger, 1, status=200)
    ledger.cluster.invariant_checker.on_client_attempt(write(ledger, 2))
    ledger.last_by_id[b"q2"].attempt.status = 200
    ledger.report()
    assert "3 were read, of 3 written and 1 resent as unread" in checker.breaches[0][2]


def test_an_unread_request_needs_an_end_that_explains_it(tmp_path):
    # a listener closed with a non-empty accept queue: reported as lost, or found by this count
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


def test_a_process_that_exits_by_itself_has_to_log_what_it_read(tmp_path):
    # a process that crashes loses all requests that it had read
    ledger, checker = make_ledger(tmp_path)
    write(ledger, 1, status=200)
    ledger.report()
    assert "without logging what it read" in checker.breaches[0][2]


def test_a_process_that_exits_before_a_request_was_written_to_it_has_logged_that(tmp_path):
    # a process that is told to end as it starts was reported as lost, though it logged no request
    ledger, checker = make_ledger(tmp_path, '"requests": {}, "rejected": {}')
    figures = ledger.report()["ledger"]
    assert (figures["written"], figures["counted"]) == (0, 0)
    assert not checker.breaches


def test_a_killed_process_has_no_count_and_its_open_requests_are_excused(tmp_path):
    # a kill after the time for a shutdown excuses nothing
    ledger, checker = make_ledger(tmp_path, end=ProcessEnd.KILLED)
    write(ledger, 1)
    assert ledger.report()["ledger"]["killed"] == 1
    assert not checker.breaches
    ledger, checker = make_ledger(tmp_path, end=ProcessEnd.KILLED_PAST_GRACE)
    write(ledger, 1)
    ledger.report()
    assert "1 have no known end" in checker.breaches[0][2]
