"""A pytest plugin: the tests that KNOWN-RED.txt names are run, and their failure fails no run.

Each of them is reported by name as passed or failed. A line of the file that begins with `tests/`
is the id of one test; other lines are prose, or about something that no test run can play. An id
that names no test is an error: the list must not outlive what it is about.
"""

from pathlib import Path

import pytest

LIST_NAME = "KNOWN-RED.txt"
ID_PREFIX = "tests/"
REASON = f"in {LIST_NAME}"


def known_ids(text):
    """Return the ids of the tests that the list names, in its order."""
    return [line.strip() for line in text.splitlines() if line.startswith(ID_PREFIX)]


def pytest_configure(config):
    path = Path(config.rootpath) / LIST_NAME
    config.known_failures = known_ids(path.read_text()) if path.exists() else []


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    known = config.known_failures
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=REASON, strict=False))
    if not any("::" in argument for argument in config.args):
        refuse_unknown_ids(config, {item.nodeid for item in items})


def refuse_unknown_ids(config, collected):
    """Raise UsageError for an id that is no test of a file that is there to be judged."""
    files = {node_id.partition("::")[0] for node_id in collected}
    for node_id in config.known_failures:
        file = node_id.partition("::")[0]
        is_missing = not (Path(config.rootpath) / file).exists()
        if is_missing or (file in files and node_id not in collected):
            raise pytest.UsageError(f"{LIST_NAME}: no test {node_id}")


@pytest.hookimpl(optionalhook=True)
def pytest_handlecrashitem(crashitem, report, sched):
    """A test that ends its worker, as one does that takes too long, is judged like any other."""
    if crashitem in sched.config.known_failures:
        report.outcome = "skipped"
        report.wasxfail = f"reason: {REASON}"


def pytest_terminal_summary(terminalreporter):
    for outcome, word in (("xfailed", "failed"), ("xpassed", "passed")):
        for report in terminalreporter.stats.get(outcome, ()):
            if report.wasxfail.removeprefix("reason: ") == REASON:
                terminalreporter.write_line(f"{REASON}, {word}: {report.nodeid}")
