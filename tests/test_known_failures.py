"""Tests that CI tolerates exactly the failures listed in KNOWN-RED.txt, runs them and reports each
result.
"""

import subprocess
import sys
from pathlib import Path

import pytest

TESTS = """
import pytest

def test_listed(): assert False
def test_listed_and_well(): pass
def test_other(): assert {other}

@pytest.mark.parametrize("what", ["a b", "c"])
def test_each(what): assert what == "c"
"""
WORKER_CRASH_TEST = """
def test_ends_its_worker():
    import os
    os._exit(1)
"""
LISTED_TESTS = (
    "tests/test_x.py::test_listed\n  what was seen\ntests/test_x.py::test_listed_and_well\n"
)
LISTED_PARAMETER = "tests/test_x.py::test_each[a b]\n"


@pytest.fixture
def run(tmp_path):
    (tmp_path / "tests").mkdir()
    plugin = Path(__file__).with_name("known_failures.py")
    (tmp_path / "tests" / "known_failures.py").write_text(plugin.read_text())
    (tmp_path / "tests" / "conftest.py").write_text('pytest_plugins = ["known_failures"]\n')
    (tmp_path / "pytest.ini").write_text("[pytest]\n")

    def run_pytest(listed, other="True", *arguments):
        (tmp_path / "tests" / "test_x.py").write_text(TESTS.format(other=other))
        (tmp_path / "KNOWN-RED.txt").write_text(listed)
        command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *arguments]
        done = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True)
        return done.returncode, done.stdout + done.stderr

    return run_pytest


def test_listed_tests_are_run_and_reported_and_do_not_fail_the_run(run):
    code, text = run("Prose.\n\n" + LISTED_TESTS + LISTED_PARAMETER)
    assert code == 0
    assert "in KNOWN-RED.txt, failed: tests/test_x.py::test_listed\n" in text
    assert "in KNOWN-RED.txt, passed: tests/test_x.py::test_listed_and_well\n" in text
    assert "in KNOWN-RED.txt, failed: tests/test_x.py::test_each[a b]\n" in text
    assert "2 passed, 2 xfailed, 1 xpassed" in text


def test_failures_of_unlisted_tests_fail_the_run(run):
    assert run(LISTED_TESTS)[0] == 1, "test_each[a b] is not listed"
    assert run(LISTED_TESTS + LISTED_PARAMETER, "False")[0] == 1
    assert run("")[0] == 1


@pytest.mark.parametrize("name", ["tests/test_x.py::test_gone", "tests/test_gone.py::test_listed"])
def test_an_entry_that_names_no_test_is_an_error(run, name):
    code, text = run(LISTED_TESTS + LISTED_PARAMETER + name + "\n")
    assert code not in (0, 1)
    assert f"no test {name}" in text


@pytest.mark.parametrize("is_listed", [True, False])
def test_a_test_that_crashes_its_worker_is_tolerated_only_if_listed(run, is_listed):
    name = "tests/test_x.py::test_ends_its_worker\n"
    listed = LISTED_TESTS + LISTED_PARAMETER + (name if is_listed else "")
    code, text = run(listed, "True" + WORKER_CRASH_TEST, "-n", "2")
    assert code == (0 if is_listed else 1)
    assert ("failed: " + name in text) is is_listed


def test_the_list_applies_with_workers_and_to_a_single_test_selected_by_id(run):
    assert run(LISTED_TESTS + LISTED_PARAMETER, "True", "-n", "2")[0] == 0
    assert run(LISTED_TESTS + LISTED_PARAMETER, "True", "tests/test_x.py::test_listed")[0] == 0
