"""The command `orchidgap change`: requests of operators to control from a shell.

Each command prints text or JSON and exits with an `ExitCode`.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Mapping
from enum import IntEnum
from hashlib import blake2b
from pathlib import Path
from typing import Any

import orjson

from orchidgap.control.messages import (
    CHANGE,
    CHECK,
    EVICT,
    PROPOSE,
    STATUS,
    ChangeAnswer,
    ChangeRequest,
    ChangeState,
    CheckRequest,
    EmptyMessage,
    EvictAnswer,
    MemberRequest,
    ProposeRequest,
    StatusAnswer,
)
from orchidgap.control.messages.base import AnswerT, RequestT, RpcMethod
from orchidgap.control.messages.reports import change_report_to_wire
from orchidgap.control.rpc_client import RpcClient
from orchidgap.control.status_report import (
    format_history,
    format_pending_members,
    format_status,
    merge_status,
)
from orchidgap.decisions.policy_rollout import Document
from orchidgap.net.addresses import Address, parse_address
from orchidgap.net.loop import Loop

CALL_TIMEOUT_US = 3_000_000  # a control process may have to call the others first
POLL_INTERVAL_S = 0.1
EVICT_COMMAND = "strike"  # the name of the command for operators
CHANGE_ID_BYTES = 6  # size of the digest that is the default id of a change


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    DONE = 0
    BAD_INPUT = 1
    DROPPED = 2
    UNKNOWN = 3


class ControlClient:
    """Sends calls to control from outside an event loop.

    Attributes:
        answer_lost: Whether a call had no answer; it may have been processed nevertheless.
    """

    def __init__(self, addresses: list[Address]) -> None:
        """Create a client of these control processes."""
        loop = Loop()
        self.clients = [RpcClient(loop, address, CALL_TIMEOUT_US) for address in addresses]
        self.answer_lost = False

    def call_any(self, method: RpcMethod[RequestT, AnswerT], request: RequestT) -> AnswerT | None:
        """Return the first answer of any process; each knows or determines the chosen state."""
        for client in list(self.clients):
            answer = client.call_and_wait(method, request)
            if answer is not None:
                return answer
            self.answer_lost = True
            self.clients.append(self.clients.pop(0))
        return None

    def status_of_all(self) -> list[StatusAnswer]:
        """Return the status of each process that answers."""
        answers = [client.call_and_wait(STATUS, EmptyMessage()) for client in self.clients]
        return [answer for answer in answers if answer is not None]


def main(command: str, arguments: Mapping[str, Any]) -> int:
    """Run one command.

    Args:
        command: check, propose, status, history or strike.
        arguments: The arguments as parsed by docopt.

    Returns:
        The exit code.
    """
    try:
        addresses = [parse_address(text.strip()) for text in arguments["--at"].split(",")]
        wait_s = float(arguments["--wait"])
        file_name = arguments["FILE"]
        document = orjson.loads(Path(file_name).read_bytes()) if file_name else None
    except (OSError, ValueError) as error:
        print(f"orchidgap: {error}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    control = ControlClient(addresses)
    as_json = bool(arguments["--json"])
    if command == "check":
        return check(control, document, as_json)
    if command == "propose":
        change_id = arguments["--id"] or _digest(document)
        propose_command = ProposeCommand(
            control, change_id, document, arguments["--again"], as_json
        )
        return propose_command.run(wait_s)
    if command == EVICT_COMMAND:
        return evict(control, arguments["NAME"], as_json)
    return status(control, command == "history", as_json)


def _digest(document: Document) -> str:
    text = orjson.dumps(document, option=orjson.OPT_SORT_KEYS)
    return blake2b(text, digest_size=CHANGE_ID_BYTES).hexdigest()


def _show(wire: dict[str, object], as_json: bool, text: str) -> None:
    print(json.dumps(wire) if as_json else text)


def _show_unknown(as_json: bool) -> ExitCode:
    answer = ChangeAnswer(state=ChangeState.UNKNOWN, reason="control does not answer")
    text = "not known: control does not answer, or too few of its processes do; ask again"
    _show(answer.to_wire(), as_json, text)
    return ExitCode.UNKNOWN


def check(control: ControlClient, document: Document, as_json: bool) -> ExitCode:
    """Print whether a policy could be proposed."""
    answer = control.call_any(CHECK, CheckRequest(document=document))
    if answer is None:
        return _show_unknown(as_json)
    if answer.reason:
        _show(answer.to_wire(), as_json, f"cannot be: {answer.reason}")
        return ExitCode.DROPPED
    _show(answer.to_wire(), as_json, "can be proposed; each balancer looks closer then")
    return ExitCode.DONE


class ProposeCommand:
    """Proposes a change and waits for its result.

    The same request may be resent while there is no answer. Control applies it only once, because
    of the proposal count that it contains.
    """

    def __init__(
        self,
        control: ControlClient,
        change_id: str,
        document: Document,
        again: bool,
        as_json: bool,
    ) -> None:
        """Create a command; nothing is sent before `run`.

        Args:
            control: The client of control.
            change_id: The id of the change.
            document: The policy.
            again: Whether to propose the change even if it was decided before.
            as_json: Whether to print JSON instead of text.
        """
        self.control = control
        self.change_id = change_id
        self.document = document
        self.again = again
        self.as_json = as_json
        # The proposal count of the last answer; None before the first proposal.
        self.proposal_count: int | None = None
        # The pending balancers of the last answer; empty before the change is proposed.
        self.waits_for = ""

    def run(self, wait_s: float) -> ExitCode:
        """Propose the change, wait for its result at most this long, and print the result."""
        give_up_at_s = time.monotonic() + wait_s
        answer = self._query_change()
        while True:
            exit_code = self._show_result(answer)
            if exit_code is not None:
                return exit_code
            if answer and answer.state is ChangeState.PROPOSED:
                self._show_progress(answer)
            if time.monotonic() > give_up_at_s:
                return _show_unknown(self.as_json)
            answer = self._next_answer(answer)

    def _query_change(self) -> ChangeAnswer | None:
        return self.control.call_any(CHANGE, ChangeRequest(change_id=self.change_id))

    def _propose(self) -> ChangeAnswer | None:
        assert self.proposal_count is not None
        request = ProposeRequest(
            change_id=self.change_id,
            document=self.document,
            again=self.again,
            known_proposal_count=self.proposal_count,
        )
        return self.control.call_any(PROPOSE, request)

    def _next_answer(self, answer: ChangeAnswer | None) -> ChangeAnswer | None:
        """Query the state of the change, or propose it."""
        if self.waits_for:
            time.sleep(POLL_INTERVAL_S)
            return self._query_change()
        if answer is None and self.proposal_count is not None:
            # It is unknown whether the request arrived: resend it, as it is applied only once.
            time.sleep(POLL_INTERVAL_S)
            return self._propose()
        if answer is None:
            time.sleep(POLL_INTERVAL_S)
            answer = self._query_change()
        if answer is None:
            return None
        self.proposal_count = answer.proposal_count
        self.control.answer_lost = False
        return self._propose()

    def _show_result(self, answer: ChangeAnswer | None) -> ExitCode | None:
        """Print the result of the change; return None if it is not known yet."""
        if answer is None:
            return None
        state = answer.state
        sent = self.proposal_count is not None
        # Whether the answer may refer to this proposal, not to an earlier one with the same id.
        concerns_this_proposal = sent and (bool(self.waits_for) or self.control.answer_lost)
        in_force = answer.current_version == answer.version
        if state is ChangeState.DECIDED and (concerns_this_proposal or not self.again or in_force):
            return self._show_decided(answer)
        has_failed = (
            state is ChangeState.INVALID
            or (state is ChangeState.BUSY and sent)
            or (state is ChangeState.DROPPED and concerns_this_proposal)
        )
        if not has_failed:
            return None
        self._show_answer(answer, f"{self.change_id} holds nowhere: {answer.reason}")
        return ExitCode.DROPPED

    def _show_decided(self, answer: ChangeAnswer) -> ExitCode:
        replaced = ""
        if answer.current_version != answer.version:
            replaced = f"; {answer.current_version} counts now, --again decides it anew"
        lease_s = (answer.lease_us or 0) / 1e6
        text = (
            f"{self.change_id} decided as version {answer.version}, in force everywhere "
            f"within {lease_s:g} s{replaced}"
        )
        self._show_answer(answer, text)
        return ExitCode.DONE

    def _show_progress(self, answer: ChangeAnswer) -> None:
        """Record the pending balancers, and print them if they have changed."""
        self.proposal_count = answer.proposal_count
        pending_members = answer.pending_members or ()
        waits_for = ", ".join(member.name for member in pending_members) or "the decision"
        if waits_for != self.waits_for and not self.as_json:
            details = format_pending_members(pending_members) or waits_for
            text = f"{self.change_id} proposed as version {answer.version}; waits for {details}"
            print(text, flush=True)
        self.waits_for = waits_for

    def _show_answer(self, answer: ChangeAnswer, text: str) -> None:
        _show(change_report_to_wire(self.change_id, answer), self.as_json, text)


def evict(control: ControlClient, name: str, as_json: bool) -> ExitCode:
    """Evict a balancer that serves without a quorum, so that no change waits for it."""
    known = control.call_any(STATUS, EmptyMessage())
    if known is None:
        return _show_unknown(as_json)
    incarnation = known.members_without_quorum.get(name)
    answer: EvictAnswer | None = EvictAnswer(evicted=False)
    if incarnation:
        answer = control.call_any(EVICT, MemberRequest(name=name, incarnation=incarnation))
    if answer is None:
        return _show_unknown(as_json)
    if not answer.evicted:
        text = f"{name} is not among those that stay alone; a lease runs out by itself"
        _show(answer.to_wire(), as_json, text)
        return ExitCode.DROPPED
    text = (
        f"{name} struck off: no change waits for it. Make sure that it serves no client: it "
        "goes on under the old version until it hears of control"
    )
    _show(answer.to_wire(), as_json, text)
    return ExitCode.DONE


def status(control: ControlClient, history_only: bool, as_json: bool) -> ExitCode:
    """Print the merged status of all control processes that answer, or only the history."""
    answers = control.status_of_all()
    if not answers:
        return _show_unknown(as_json)
    report = merge_status(answers)
    if as_json:
        print(json.dumps(report.to_wire()))
        return ExitCode.DONE
    lines = format_history(report.history) if history_only else format_status(report)
    for line in lines:
        print(line)
    return ExitCode.DONE
