import socket
import subprocess
import sys
import threading

import pytest
from node_harness import NodeHarness, heard

from orchidgap.admin.client import call
from orchidgap.admin.server import MOST, MOST_LINE, Operators

UP = b"GET /up HTTP/1.1\r\n\r\n"


def door(net):
    return Operators(
        net.loop,
        {
            "health": net.node.health,
            "quiesce": net.node.quiesce,
            "resume": net.node.resume,
            "watch": net.node.shadow_report,
        },
    )


def caller(net, operators, text=b""):
    near, far = socket.socketpair()
    far.setblocking(False)
    net.kept.append(far)
    far.sendall(text)
    operators.let_in(near)
    net.turn()
    return far


def say(net, operators, text):
    return heard(caller(net, operators, text + b"\n"))


def test_a_drain_and_its_end_by_calls():
    net = NodeHarness()
    operators = door(net)
    assert say(net, operators, b"health") == "SUCCESS serving\n"
    assert say(net, operators, b"watch") == "FAILURE nothing is watched\n"
    assert (
        say(net, operators, b"quiesce") == "SUCCESS draining\n" == say(net, operators, b"quiesce")
    )
    assert say(net, operators, b"health") == "FAILURE draining\n"
    assert heard(net.client(UP)).startswith("HTTP/1.1 503")
    net.wait(1_100_000)
    assert say(net, operators, b"health") == "FAILURE drained\n"
    assert say(net, operators, b"resume") == "SUCCESS serving\n" == say(net, operators, b"resume")
    assert heard(net.client(UP)).startswith("HTTP/1.1 200")
    net.node.begin_shutdown()
    assert say(net, operators, b"quiesce") == "SUCCESS leaving\n"
    assert say(net, operators, b"resume") == "FAILURE leaving\n" == say(net, operators, b"health")


@pytest.mark.parametrize(
    ("text", "answer"),
    [
        (b"health\r\n", "SUCCESS serving\n"),
        (b"  health \n", "SUCCESS serving\n"),
        (b"health\nquiesce\n", "SUCCESS serving\n"),
        (b"\n", "FAILURE no such call: ''; known are health, quiesce, resume, watch\n"),
        (b"HEALTH\n", "FAILURE no such call: 'HEALTH'; known are health, quiesce, resume, watch\n"),
        (
            b"\x00\xff\x1b[2J\n",
            "FAILURE no such call: '???[2J'; known are health, quiesce, resume, watch\n",
        ),
        (
            b"x" * MOST_LINE + b"\n",
            "FAILURE no such call: '" + "x" * 32 + "'; known are health, quiesce, resume, watch\n",
        ),
        (b"x" * (MOST_LINE + 1), "FAILURE the call is too long\n"),
        (b"x" * 50_000, "FAILURE the call is too long\n"),
    ],
)
def test_whatever_is_called_gets_one_line_and_the_door(text, answer):
    net = NodeHarness()
    operators = door(net)
    far = caller(net, operators, text)
    assert heard(far) == answer and heard(far) == "", "one line, and nothing after it"
    far.close()
    net.turn()
    assert not operators.open and not operators.waiting


def test_a_call_in_pieces():
    net = NodeHarness()
    far = caller(net, operators := door(net))
    for piece in "health\n":
        assert heard(far) is None
        net.says(far, piece)
    assert heard(far) == "SUCCESS serving\n" and not operators.waiting


def test_a_hundred_callers_that_say_nothing_keep_nobody_out():
    net = NodeHarness()
    operators = door(net)
    silent = [caller(net, operators, b"heal" if i % 2 else b"") for i in range(100)]
    assert len(operators.open) == MOST, "descriptors are bounded"
    for _ in range(3):
        assert say(net, operators, b"health") == "SUCCESS serving\n"
    assert heard(silent[-1]) is None, "who came last has the longest to go on"
    net.says(silent[-1], "th\n")
    assert heard(silent[-1]) == "SUCCESS serving\n"
    net.wait(10_100_000)
    assert not operators.waiting and heard(silent[-2]) == "FAILURE no whole call came\n"


def test_calls_have_their_turn_before_clients():
    """Whatever else is ready in a turn of the loop."""
    net = NodeHarness()
    order, pairs = [], [socket.socketpair() for _ in range(20)]
    for number, (near, far) in enumerate(pairs):
        far.send(b"x")
        net.loop.watch(
            near, 1, lambda mask, number=number: order.append(number), first=number == 13
        )
    net.loop.run_once(0)
    assert len(order) == 20 and order[0] == 13
    for near, far in pairs:
        net.loop.unwatch(near)
        near.close()
        far.close()


@pytest.mark.parametrize("answer", [b"SUCCESS serving\n", b"FAILURE draining\n", b""])
def test_the_command_says_what_the_door_said(answer):
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            conn, _ = listener.accept()
            assert conn.recv(100) == b"health\n"
            conn.sendall(answer)
            conn.close()

        thread = threading.Thread(target=serve)
        thread.start()
        address = listener.getsockname()
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "orchidgap",
                "admin",
                "health",
                f"--addr=127.0.0.1:{address[1]}",
            ],
            capture_output=True,
            text=True,
            timeout=30,
        )
        thread.join()
    assert done.returncode == (0 if answer.startswith(b"SUCCESS") else 1)
    assert done.stdout.encode() == answer and (done.stderr == "") == bool(answer)


def test_nobody_there_is_one_plain_line():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
    with pytest.raises(OSError):
        call(address, "health")
