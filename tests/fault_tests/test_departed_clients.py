"""Clients that close their connection: what runs afterwards, and what runs twice."""

import threading
import time
from collections import Counter

import pytest
from process_harness import BalancerProcess, StandInHost, read_answer, request_head

BEGUN_BY_S = 0.1  # an attempt may begin this long after its client has closed
WRITES = 100
WORK_S = 0.03
FULL_AFTER_S = 0.05
HEARD_WITHIN_S = 0.05  # from the balancer's write to the host's record


def write_twice(balancer, number):
    """Write, leave before the answer, and write again with the same id; return the last status."""
    text = request_head(f"/pay/k{number}", f"pay-{number}", "PUT", more="Content-Length: 1\r\n")
    first = balancer.connect()
    first.sendall(text + b"v")
    time.sleep(WORK_S / 2)
    first.close()
    time.sleep(WORK_S / 10)
    with balancer.connect() as second:
        second.sendall(text + b"v")
        return read_answer(second).split()[1]


def test_a_write_sent_again_with_its_id_after_its_client_left_runs_once():
    """A non-idempotent write ran twice where its id came again after its client had left."""
    host = StandInHost()
    host.work_s = WORK_S
    with BalancerProcess(host) as balancer:
        statuses = Counter(write_twice(balancer, number) for number in range(WRITES))
    runs = Counter(execution.request_id for execution in host.executions)
    assert not [name for name, count in runs.items() if count > 1], (len(runs), statuses)
    assert sum(statuses.values()) == WRITES


def test_requests_behind_much_unread_are_not_sent_on_after_their_client_closed():
    """A client wrote thousands of requests and closed: they were sent on for seconds."""
    host = StandInHost()
    host.work_s = 0.01
    text = b"".join(request_head(f"/read/k{i}", f"many-{i}", timeout_s=3) for i in range(20_000))
    with BalancerProcess(host) as balancer:
        sock = balancer.connect()
        sock.setblocking(False)
        closed_at_s = time.monotonic() + 0.3
        while time.monotonic() < closed_at_s:
            try:
                text = text[sock.send(text) :]
            except BlockingIOError:
                time.sleep(0.01)
        sock.close()
        closed_at_s = time.monotonic()
        time.sleep(1.5)
    begun_late = [
        execution.at_s - closed_at_s
        for execution in host.executions
        if execution.at_s - closed_at_s > BEGUN_BY_S + HEARD_WITHIN_S
    ]
    assert not begun_late, (len(host.executions), len(begun_late), begun_late[:3])


def write_until_full(sock, unit):
    """Write as much as the kernels of both sides hold; return the time of the last byte."""
    sock.setblocking(False)
    unsent = b""
    last_at_s = time.monotonic()
    while time.monotonic() - last_at_s < FULL_AFTER_S:
        unsent = unsent or unit * (1 << 10)
        try:
            unsent = unsent[sock.send(unsent) :]
            last_at_s = time.monotonic()
        except BlockingIOError:
            time.sleep(0.001)
    return last_at_s


def test_a_request_is_not_tried_again_after_a_close_behind_much_unread():
    """A close behind bytes that were not read was not seen, and further attempts were begun."""
    host = StandInHost()
    host.work_s = 0.5
    host.answer = lambda sock: sock.close()  # each attempt fails, and is followed by another
    with BalancerProcess(host) as balancer:
        sock = balancer.connect()
        sock.sendall(request_head("/read/k", "first", timeout_s=3))
        while not host.executions:
            time.sleep(0.01)
        write_until_full(sock, request_head("/read/more", "more", timeout_s=3))
        sock.close()
        closed_at_s = time.monotonic()
        time.sleep(2)
    begun_late = [
        (execution.request_id, round(execution.at_s - closed_at_s, 3))
        for execution in host.executions
        if execution.at_s - closed_at_s > BEGUN_BY_S + HEARD_WITHIN_S
    ]
    assert not begun_late


@pytest.mark.parametrize(("count", "least_served"), [(300, 300), (4_000, 1)])
def test_pipelined_requests_of_a_client_that_stays_are_all_answered(count, least_served):
    """Requests that are written at once are answered; refused only behind very many unread ones."""
    with BalancerProcess() as balancer, balancer.connect() as sock:
        text = b"".join(request_head(f"/read/k{i}", f"all-{i}", timeout_s=60) for i in range(count))
        threading.Thread(target=sock.sendall, args=(text,), daemon=True).start()
        received = b""
        while received.count(b"HTTP/1.1 ") < count and (part := sock.recv(1 << 16)):
            received += part
    assert received.count(b"HTTP/1.1 200") >= least_served
    assert received.count(b"HTTP/1.1 200") + received.count(b"HTTP/1.1 503") == count
