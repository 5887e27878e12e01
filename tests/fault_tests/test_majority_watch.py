"""A drill once served nothing for ten seconds and was kept: its verdict did not tell that control had no majority."""

import os
import signal
import subprocess
import sys

from orchidgap.fault_tests.majority_watch import MajorityWatch, process_state


def test_only_the_time_without_a_majority_counts():
    running = {"k0", "k1", "k2"}
    watch = MajorityWatch(["k0", "k1", "k2"], running.__contains__)
    watch.look(1_000_000)
    running.discard("k2")
    watch.look(2_000_000)
    running.discard("k0")
    watch.look(3_000_000)
    watch.look(4_500_000)
    running.add("k0")
    watch.look(5_000_000)
    watch.look(9_000_000)
    assert watch.without_majority_us == 2_000_000


def test_a_process_that_is_stopped_does_not_run():
    with subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"]) as process:
        process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, process.pid, os.WSTOPPED)
        assert process_state(process.pid) == "T"
        process.kill()
    assert process_state(process.pid) == ""
