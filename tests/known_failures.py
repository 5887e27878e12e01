"""Pytest plugin that runs the tests listed in KNOWN-RED.txt without letting them fail the run.

Each listed test is reported by name as passed or failed. A line of the file that begins with
`tests/` is the id of one test. Other lines are prose, or describe something that no test run can
reproduce. An id that names no test is an error, so that no entry outlives its test.
"""

from pathlib import Path

import pytest

LIST_NAME = "KNOWN-RED.txt"
ID_PREFIX = "tests/"
REASON = f"in {LIST_NAME}"


def listed_ids(text):
    """Return the test ids in the list, in order."""
    return [line.strip() for line in text.splitlines() if line.startswith(ID_PREFIX)]


def pytest_configure(config):
    path = Path(config.rootpath) / LIST_NAME
    config.known_failures = listed_ids(path.read_text()) if path.exists() else []


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    known = config.known_failures
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=REASON, strict=False))
    if not any("::" in argument for argument in config.args):
        reject_unknown_ids(config, {item.nodeid for item in items})


def reject_unknown_ids(config, collected):
    """Raise UsageError for a listed id whose file is missing or was collected without that test."""
    files = {node_id.partition("::")[0] for node_id in collected}
    for node_id in config.known_failures:
        file = node_id.partition("::")[0]
        is_missing = not (Path(config.rootpath) / file).exists()
        if is_missing or (file in files and node_id not in collected):
            raise pytest.UsageError(f"{LIST_NAME}: no test {node_id}")


@pytest.hookimpl(optionalhook=True)
def pytest_handlecrashitem(crashitem, report, sched):
    """Apply the list to a test that crashes its worker, for example by exceeding the time limit."""
    if crashitem in sched.config.known_failures:
        report.outcome = "skipped"
        report.wasxfail = f"reason: {REASON}"


def pytest_terminal_summary(terminalreporter):
    for outcome, result in (("xfailed", "failed"), ("xpassed", "passed")):
        for report in terminalreporter.stats.get(outcome, ()):
            if report.wasxfail.removeprefix("reason: ") == REASON:
                terminalreporter.write_line(f"{REASON}, {result}: {report.nodeid}")
