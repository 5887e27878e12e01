"""The memory of commands with large values, on real processes with the limit of scored days."""

import threading
import time

import pytest
from process_harness import BalancerProcess, read_answer, request_head
from resp_process_harness import RespBalancerProcess, RespClient, SlotServer

MEMORY_MB = 192
CLIENTS = 12
SECONDS = 5
VALUES = 24  # in one command
VALUE_BYTES = 60_000
LARGE_VALUE_BYTES = 900_000
COMMANDS = {
    "joined": (VALUE_BYTES, [b"MGET", *(b"k%d" % number for number in range(VALUES))]),
    "read": (LARGE_VALUE_BYTES, [b"GET", b"k"]),
    "write": (1, [b"SET", b"k", b"v" * LARGE_VALUE_BYTES]),
}


def run_clients(balancer, ask):
    """Have clients ask one request after another on a connection each; return all answers."""
    end_s = time.monotonic() + SECONDS
    answers = []

    def run(number):
        with balancer.connect() as sock:
            while time.monotonic() < end_s:
                answers.append(ask(sock, number, len(answers)))

    clients = [threading.Thread(target=run, args=(number,)) for number in range(CLIENTS)]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    return answers


@pytest.mark.parametrize("name", COMMANDS)
def test_replies_that_were_sent_are_not_kept(name):
    """A second's replies stayed in memory, and the process was killed over its limit."""
    value_bytes, words = COMMANDS[name]
    with RespBalancerProcess(SlotServer(b"v" * value_bytes), MEMORY_MB) as balancer:
        replies = run_clients(balancer, lambda sock, *_: RespClient(sock).call(*words)[:1])
        peak_mb = balancer.peak_memory_mb()
        assert balancer.process.poll() is None, balancer.log()
    assert replies and set(replies) <= {b"*", b"$", b"+"}
    assert peak_mb < MEMORY_MB


def test_bodies_that_were_sent_are_not_kept():
    """The same over HTTP/1.1, where a request's attempts kept its body of up to 64 KB."""

    def ask(sock, number, count):
        body = b"v" * VALUE_BYTES
        more = f"Content-Length: {len(body)}\r\n"
        sock.sendall(request_head("/write/k", f"{number}-{count}", "PUT", more=more) + body)
        return read_answer(sock).split()[1]

    with BalancerProcess(memory_mb=MEMORY_MB) as balancer:
        answers = run_clients(balancer, ask)
        peak_mb = balancer.peak_memory_mb()
        assert balancer.process.poll() is None, balancer.log()
    assert answers.count(b"200") > len(answers) / 2
    assert peak_mb < MEMORY_MB
