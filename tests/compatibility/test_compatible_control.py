"""Control's messages and files, byte for byte as the program wrote them before its modules were renamed."""

import json
import time
from pathlib import Path

import exchanges
import other_sides
import program
import pytest

DATA = Path(__file__).parent / "data"


def recorded(name):
    return json.loads((DATA / f"{name}.json").read_text())


def test_every_call_to_control_gets_the_recorded_answer(tmp_path):
    """An old balancer or an operator's old shell would not understand what a new control process answers."""
    assert exchanges.control_calls(tmp_path) == recorded("control-calls")


def test_a_control_process_without_its_disk_gives_the_recorded_answers(tmp_path):
    """A balancer or another control process would count an answer of one that has forgotten its promises."""
    assert exchanges.lost_control_calls(tmp_path) == recorded("lost-control-calls")


def test_a_control_process_writes_the_recorded_files(tmp_path):
    """An old control process would not find its promises and the decided version in a folder that a new one
    has written."""
    for name, content in exchanges.control_folders(tmp_path).items():
        assert content == (DATA / name).read_bytes(), name


def test_control_processes_say_the_recorded_words_to_each_other(tmp_path):
    """Old and new control processes of one group could not decide anything together."""
    assert exchanges.between_control_processes(tmp_path) == recorded("between-control-processes")


def test_a_balancer_says_the_recorded_words_to_control_and_writes_the_recorded_files(tmp_path):
    """An old control process would grant a new balancer no lease, or an old balancer would not find its
    version and its promise in the folder of a new one."""
    transcript, files = exchanges.balancer_and_control(tmp_path)
    assert transcript == recorded("balancer-and-control")
    for name, content in files.items():
        assert content == (DATA / name).read_bytes(), name


def test_a_balancer_that_is_told_different_things_asks_for_one_truth_in_the_recorded_words(
    tmp_path,
):
    """After a crash in the middle of a decision old control processes would not hear a new balancer's call to
    settle it."""
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
def test_a_recorded_file_is_read_and_written_again_as_it_was(name, tmp_path):
    """A new program would take an old one's file for damaged, set it aside and begin without it."""
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
    """A real control process on a recorded folder; the process and its address."""
    address = other_sides.free_address()
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
    return other_sides.start_process(
        "control", f"--config={path}", log=log
    ), f"--at=127.0.0.1:{address[1]}"


def status(process, at):
    """As the command line tells it, once control answers."""
    until = time.monotonic() + other_sides.PATIENCE_S
    while time.monotonic() < until:
        assert process.poll() is None
        done = other_sides.run_command("change", "status", "--json", at)
        if done["exit"] == 0:
            return json.loads(done["out"])
    raise AssertionError("control did not answer")


def test_a_process_goes_on_from_a_recorded_decided_version(tmp_path):
    """Control that is upgraded on its folder would forget the version that was decided."""
    folder = exchanges.copy_folder(DATA, "control-decided", tmp_path)
    process, at = start_control(folder, tmp_path / "log")
    try:
        said = status(process, at)
    finally:
        other_sides.stop_process(process)
    assert {key: said[key] for key in ("n", "id", "next", "stay", "past")} == {
        "n": 1,
        "id": "x1",
        "next": None,
        "stay": {},
        "past": [[1, "x1", "decided", ""]],
    }
    assert list(said) == list(json.loads(recorded("change-commands")["status --json"]["out"]))
    assert (folder / "register").read_bytes() == (DATA / "control-decided/register").read_bytes()


def test_a_process_decides_what_the_recorded_folder_has_proposed(tmp_path):
    """A change that was proposed under the old program would hang or be lost when control is upgraded."""
    folder = exchanges.copy_folder(DATA, "control-proposed", tmp_path)
    process, at = start_control(folder, tmp_path / "log")
    try:
        until = time.monotonic() + other_sides.PATIENCE_S
        while status(process, at)["n"] != 1 and time.monotonic() < until:
            pass
    finally:
        other_sides.stop_process(process)
    assert (folder / "register").read_bytes() == (DATA / "control-decided/register").read_bytes()


@pytest.mark.parametrize("damage", [False, True])
def test_a_balancer_finds_the_recorded_version_that_it_ran(tmp_path, damage):
    """A balancer that is upgraded on its folder would not know which version it ran, or would end at a
    damaged file."""
    folder = exchanges.copy_folder(DATA, "balancer", tmp_path)
    if damage:
        (folder / "policy").write_bytes((DATA / "balancer/policy").read_bytes()[:-1])
    dead = f"127.0.0.1:{other_sides.free_address()[1]}"
    listen = other_sides.free_address()
    path, log = tmp_path / "c.json", tmp_path / "log"
    held = {"at": [dead], "dir": str(folder)}
    path.write_text(json.dumps(exchanges.serve_config(listen, control=held)))
    process = other_sides.start_process("serve", f"--config={path}", log=log)
    try:
        until = time.monotonic() + other_sides.PATIENCE_S
        while program.CALLS_CONTROL not in log.read_text() and time.monotonic() < until:
            assert process.poll() is None
            time.sleep(0.02)
    finally:
        other_sides.stop_process(process)
    first = json.loads(log.read_text().splitlines()[0])
    if damage:
        assert first["event"] == program.VERSION_DAMAGED
        assert (folder / "policy.damaged").exists() and not (folder / "policy").exists()
    else:
        assert (first["event"], first[program.VERSION_FACT]) == (program.VERSION_FOUND, 1)


def test_each_change_command_prints_exits_and_calls_as_recorded(tmp_path):
    """An operator's script that reads JSON or exit codes would take a change that is decided for one that is
    not, or the new shell would not be understood by old control."""
    found = exchanges.change_commands(tmp_path)
    for name, told in recorded("change-commands").items():
        assert found[name] == told, name


def test_each_configuration_is_judged_in_the_recorded_words(tmp_path):
    """A file that was good would be refused after an upgrade, or a bad one let through."""
    assert exchanges.check_commands(tmp_path) == recorded("check-commands")
