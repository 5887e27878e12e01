"""Tests that the admin command prints the balancer's line, and exits with 1 on a failure."""

import socket
import subprocess
import sys
import threading

import pytest

from orchidgap.admin.client import call


@pytest.mark.parametrize("answer", [b"SUCCESS serving\n", b"FAILURE draining\n", b""])
def test_the_command_prints_what_the_balancer_answered(answer):
    """Scripts depend on the exit code, including when the balancer closes without an answer."""
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


def test_a_refused_connection_is_an_error():
    """The balancer is down when an operator sends a command."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
    with pytest.raises(OSError):
        call(address, "health")
