"""Compares control's messages and files byte for byte with records made before modules were renamed."""

import json
import time
from pathlib import Path

import exchanges
import program
import pytest
import scripted_peers

DATA = Path(__file__).parent / "data"


def recorded(name):
    return json.loads((DATA / f"{name}.json").read_text())


def test_every_call_to_control_gets_the_recorded_answer(tmp_path):
    """Otherwise an old balancer or an old command line would not understand a new control process's answers."""
    assert exchanges.control_calls(tmp_path) == recorded("control-calls")


def test_a_control_process_without_its_disk_gives_the_recorded_answers(tmp_path):
    """Otherwise a balancer or another control process would count the answer of one that has lost its promises."""
    assert exchanges.lost_control_calls(tmp_path) == recorded("lost-control-calls")


def test_a_control_process_writes_the_recorded_files(tmp_path):
    """Otherwise an old control process would not find its promises and the decided version in a folder that a
    new one has written."""
    for name, content in exchanges.control_folders(tmp_path).items():
        assert content == (DATA / name).read_bytes(), name


def test_control_processes_send_each_other_the_recorded_messages(tmp_path):
    """Otherwise old and new control processes of one group could not decide anything together."""
    assert exchanges.between_control_processes(tmp_path) == recorded("between-control-processes")


def test_a_balancer_sends_control_the_recorded_calls_and_writes_the_recorded_files(tmp_path):
    """Otherwise an old control process would grant a new balancer no lease, or an old balancer would not find
    its version and its promise in the folder of a new one."""
    transcript, files = exchanges.balancer_and_control(tmp_path)
    assert transcript == recorded("balancer-and-control")
    for name, content in files.items():
        assert content == (DATA / name).read_bytes(), name


def test_a_balancer_that_receives_different_answers_sends_the_recorded_settle_call(
    tmp_path,
):
    """Otherwise old control processes would reject a new balancer's call to complete a decision that a crash
    has interrupted."""
    assert exchanges.settle_call(tmp_path) == recorded("settle-call")


@pytest.mark.parametrize(
    "name",
    [
        "control-new/register",
        "control-proposed/register",
        "control-decided/register",
        "balancer/policy",
        "balancer/promise",
    ],
)
def test_a_recorded_file_is_read_and_written_back_unchanged(name, tmp_path):
    """Otherwise a new program would treat an old one's file as damaged, set it aside and start without it."""
    folder, file = name.split("/")
    copy = exchanges.copy_folder(DATA, folder, tmp_path)
    content = program.read_folder_file(copy, file)
    program.write_folder_file(tmp_path, "again", content)
    assert (tmp_path / "again").read_bytes() == (DATA / name).read_bytes()
    damaged = bytearray((DATA / name).read_bytes())
    damaged[-2] ^= 1
    (copy / file).write_bytes(damaged)
    with pytest.raises(program.CorruptFile):
        program.read_folder_file(copy, file)


def start_control(folder, log):
    """Starts a real control process on a recorded folder; returns the process and its `--at` option."""
    address = scripted_peers.free_address()
    path = folder.parent / "control.json"
    path.write_text(
        json.dumps(
            {
                "name": "k0",
                "dir": str(folder),
                "control": {"k0": f"127.0.0.1:{address[1]}"},
                "lease-ms": 1_000,
            }
        )
    )
    return scripted_peers.start_process(
        "control", f"--config={path}", log=log
    ), f"--at=127.0.0.1:{address[1]}"


def status(process, at_option):
    """Returns the report of `orchidgap change status`, once control answers."""
    until = time.monotonic() + scripted_peers.TIMEOUT_S
    while time.monotonic() < until:
        assert process.poll() is None
        result = scripted_peers.run_command("change", "status", "--json", at_option)
        if result["exit"] == 0:
            return json.loads(result["out"])
    raise AssertionError("control did not answer")


def test_a_process_resumes_from_a_recorded_decided_version(tmp_path):
    """Otherwise a control process that is upgraded in place would lose the decided version."""
    folder = exchanges.copy_folder(DATA, "control-decided", tmp_path)
    process, at = start_control(folder, tmp_path / "log")
    try:
        report = status(process, at)
    finally:
        scripted_peers.stop_process(process)
    assert {key: report[key] for key in ("n", "id", "next", "stay", "past")} == {
        "n": 1,
        "id": "x1",
        "next": None,
        "stay": {},
        "past": [[1, "x1", "decided", ""]],
    }
    assert list(report) == list(json.loads(recorded("change-commands")["status --json"]["out"]))
    assert (folder / "register").read_bytes() == (DATA / "control-decided/register").read_bytes()


def test_a_process_decides_the_proposal_in_the_recorded_folder(tmp_path):
    """Otherwise a change proposed under the old program would hang or be lost when control is upgraded."""
    folder = exchanges.copy_folder(DATA, "control-proposed", tmp_path)
    process, at = start_control(folder, tmp_path / "log")
    try:
        until = time.monotonic() + scripted_peers.TIMEOUT_S
        while status(process, at)["n"] != 1 and time.monotonic() < until:
            pass
    finally:
        scripted_peers.stop_process(process)
    assert (folder / "register").read_bytes() == (DATA / "control-decided/register").read_bytes()


@pytest.mark.parametrize("damage", [False, True])
def test_a_balancer_finds_the_recorded_version_that_it_ran(tmp_path, damage):
    """Otherwise a balancer that is upgraded in place would not know which version it ran, or would exit at a
    damaged file."""
    folder = exchanges.copy_folder(DATA, "balancer", tmp_path)
    if damage:
        (folder / "policy").write_bytes((DATA / "balancer/policy").read_bytes()[:-1])
    unreachable = f"127.0.0.1:{scripted_peers.free_address()[1]}"
    listen = scripted_peers.free_address()
    path, log = tmp_path / "c.json", tmp_path / "log"
    control_config = {"at": [unreachable], "dir": str(folder)}
    path.write_text(json.dumps(exchanges.serve_config(listen, control=control_config)))
    process = scripted_peers.start_process("serve", f"--config={path}", log=log)
    try:
        until = time.monotonic() + scripted_peers.TIMEOUT_S
        while program.LEASE_REQUESTED not in log.read_text() and time.monotonic() < until:
            assert process.poll() is None
            time.sleep(0.02)
    finally:
        scripted_peers.stop_process(process)
    first_event = json.loads(log.read_text().splitlines()[0])
    if damage:
        assert first_event["event"] == program.VERSION_CORRUPT
        assert (folder / "policy.damaged").exists() and not (folder / "policy").exists()
    else:
        assert (first_event["event"], first_event[program.VERSION_FIELD]) == (
            program.VERSION_FOUND,
            1,
        )


def test_each_change_command_has_the_recorded_output_exit_code_and_calls(tmp_path):
    """Otherwise an operator's script that reads JSON or exit codes would mistake a decided change for one that
    is not, or old control would not understand the new command line."""
    found = exchanges.change_commands(tmp_path)
    for name, result in recorded("change-commands").items():
        assert found[name] == result, name


def test_each_configuration_is_checked_with_the_recorded_messages(tmp_path):
    """Otherwise a valid file would be rejected after an upgrade, or an invalid one accepted."""
    assert exchanges.check_commands(tmp_path) == recorded("check-commands")
