"""Batches of the simulator's line protocol, with their replies and errors."""

import io
import subprocess
import sys

import pytest
from balancer_harness import SETTINGS, BalancerHarness

from orchidgap.wirehost.instance import Instance
from orchidgap.wirehost.messages import MalformedLineError, decode_message
from orchidgap.wirehost.server import serve

INFO = " ".join(f"{path}={value}" for path, value in SETTINGS.items())
START = (
    f"BATCH 1000 1\nABOUT 3\nPROVISION 5 {INFO} some.new=1\nBACKENDS_CHANGED restored 1 2\n"
    "M 1 - a cache Running 0 10.0.0.1:7\nM 1 - a origin Running 1 10.0.0.2:7\n"
)


def answer(text):
    sink = io.BytesIO()
    serve(io.BytesIO(text.encode()), sink)
    return sink.getvalue().decode()


def test_a_request_from_arrival_to_answer():
    output = answer(
        START + "QUERY 77 900000 0 read 5 0 - - -\nYOUR_TURN\nBATCH 2000 2\nABOUT 3\n"
        "ENDED 77 0 10.0.0.1:7 Miss 900 0 2 -\nYOUR_TURN\nBATCH 3000 3\nABOUT 3\nEXIT\nFIRED 1\nYOUR_TURN\n"
    )
    assert [line for line in output.splitlines() if not line.startswith("WAKE_ME")] == [
        "FOR 3",
        "ISSUE 77 10.0.0.1:7 0",
        "YIELD 1",
        "FOR 3",
        "ISSUE 77 10.0.0.2:7 0",
        "YIELD 2",
        "YIELD 3",
    ]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("HELLO\n", "batch"),
        ("BATCH x 1\n", "batch"),
        ("BATCH 1 1\nABOUT 3\n", "ended"),
        ("BATCH 1 1\nABOUT 3\nWHAT 1\n", "WHAT"),
        ("BATCH 1 1\nABOUT 3\nFIRED\n", "FIRED has 1"),
        (START + "FIRED x\n", "bad value in FIRED"),
        (START + "ENDED 7 0 h Fine 1 1 - -\n", "bad value in ENDED"),
        (START + "BACKENDS_CHANGED update 1 1\nM 1 -\n", "host entry"),
        ("BATCH 1 1\nFIRED 1\n", "before any ABOUT"),
        (START + "BACKENDS_CHANGED update 1 x\n", "count"),
    ],
)
def test_errors_quote_malformed_lines(text, message):
    """A simulator of another version sends unknown lines. The error quotes the line."""
    with pytest.raises(MalformedLineError, match=message):
        answer(text)


def test_a_fault_is_reported_with_its_message():
    """The decisions fail. The reply has a fault, which ends the simulation before wrong results."""
    assert "BAIL_OUT setting rule-sets.count is missing\nYIELD 1" in answer(
        "BATCH 1 1\nABOUT 3\nPROVISION 5 az=a\nYOUR_TURN\n"
    )
    assert "BAIL_OUT QUERY" in answer(START + "QUERY 77 900000 0 nosuch 5 0 - - -\nYOUR_TURN\n")


@pytest.mark.parametrize(
    ("raw", "message"), [(b"HELLO\n", "batch"), (b"BATCH 1 1\n\xff\xfe\n", "UTF-8")]
)
def test_the_command_exits_with_a_one_line_error(raw, message):
    """The input is not the simulator's protocol. The program exits with a one-line error."""
    result = subprocess.run(
        [sys.executable, "-m", "orchidgap.wirehost"], input=raw, capture_output=True, check=False
    )
    assert result.returncode == 1 and not result.stdout
    assert message in result.stderr.decode() and result.stderr.count(b"\n") == 1


@pytest.mark.parametrize(
    ("mode", "report", "request_rate", "in_flight"),
    [
        ("inline", "concurrent:7.5,tps:2", 2.0, 7.5),
        ("inline", "concurrent:7.5,mean_ms:80", -1.0, 7.5),
        ("inline", "-", -1.0, 0.0),
        ("off", "concurrent:7.5,tps:2", 2.0, 0.0),
    ],
)
def test_load_reports_are_used_according_to_the_settings(mode, report, request_rate, in_flight):
    balancer = BalancerHarness(2, **{"report.how": mode, "report.fields": "concurrent,tps"})
    instance = Instance()
    instance.balancer = balancer
    instance.handle(decode_message(["STATUS_BACK", "c1", "", "", report], []), balancer.now)
    host = balancer.hosts["c1"]
    assert (host.reported_request_rate, host.reported_in_flight) == (request_rate, in_flight)
    assert not balancer.hosts["c0"].reported_in_flight
