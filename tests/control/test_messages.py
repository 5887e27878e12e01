"""The JSON of control's messages: keys, their order, values, and tolerance of other versions."""

import json
import subprocess
import sys

import orjson
import pytest

from orchidgap.control import messages
from orchidgap.control.messages import (
    AcceptAnswer,
    ChangeAnswer,
    ChangeState,
    DiskState,
    EvictAnswer,
    LeaseAnswer,
    LeaseRequest,
    MemberRequest,
    PrepareAnswer,
    ProgressAnswer,
    ProposalMessage,
    ProposalNotice,
    ProposalStatus,
    ProposeRequest,
    StatusAnswer,
    acceptor_state_from_wire,
    acceptor_state_to_wire,
    policy_state_from_wire,
    policy_state_to_wire,
)
from orchidgap.decisions.cas_register import AcceptorState
from orchidgap.decisions.leases import PendingMember, Refusal
from orchidgap.decisions.policy_rollout import (
    INITIAL_STATE,
    decide,
    drop,
    propose,
    register_member,
)

DOCUMENT = {"settings": {"b": 1.5, "a": [None, True, "\u2028"]}}

LEASE_REQUEST = (
    '{"name":"b0","life":"a1","alone":"leave","runs":0,"promised":0,"refused":0,"why":"","heard":7}'
)
LEASE_ANSWER = (
    '{"ballot":[0,""],"grants":true,"at":5,"lease":1000000,"again":250000,"size":1,"n":0,"id":"",'
    '"try":0,"stay":{"b0":null},"next":null}'
)
PROPOSAL = '{"id":"x","doc":{"settings":{"b":1.5,"a":[null,true,"\u2028"]}},"try":1,"n":1}'
NOTICE = '{"try":1,"n":1,"id":"x"}'
STATUS = (
    '{"name":"k0","controls":["k0"],"lost":false,"lease":1000000,"disk":"slow","ballot":[2,"k0"],'
    '"n":1,"id":"x","stay":{"b1":"ff"},"past":[[1,"x","decided",""]],"next":{"id":"y","n":2,"try":2},'
    '"try":2,"late":[["b0",900]],"refused":[["b1","disk: full"]],"rows":[{"name":"b0","life":"a1",'
    '"alone":"leave","runs":1,"promised":0,"refused":0,"why":"","heard":10,"until":900}]}'
)

# message type and its JSON, as written by an earlier version
EXAMPLES = [
    (LeaseRequest, LEASE_REQUEST),
    (LeaseAnswer, LEASE_ANSWER),
    (LeaseAnswer, LEASE_ANSWER.replace('"next":null}', '"next":null,"doc":null}')),
    (LeaseAnswer, LEASE_ANSWER.replace('"next":null', f'"next":{PROPOSAL}')),
    (LeaseAnswer, LEASE_ANSWER.replace('"next":null', f'"next":{NOTICE}')),
    (MemberRequest, '{"name":"b1","life":"ff"}'),
    (messages.EmptyMessage, "{}"),
    (messages.PrepareRequest, '{"ballot":[1,"k0"]}'),
    (PrepareAnswer, '{"ok":false,"promised":[99,"k1"]}'),
    (
        PrepareAnswer,
        '{"ok":true,"promised":[1,"k0"],"ballot":[0,""],"value":{"n":0,"id":"","try":0,"doc":null,'
        '"next":null,"tries":0,"stay":{},"past":[]}}',
    ),
    (messages.AcceptRequest, '{"ballot":[1,"k1"],"value":{}}'),
    (AcceptAnswer, '{"ok":true}'),
    (AcceptAnswer, '{"ok":false}'),
    (AcceptAnswer, '{"ok":false,"late":[["b1",0]]}'),
    (ProgressAnswer, '{"try":1,"late":[["b0",893346]],"refused":[["b1","no"]]}'),
    (messages.CheckRequest, '{"doc":{"settings":{}}}'),
    (messages.CheckAnswer, '{"why":"settings must be an object"}'),
    (ProposeRequest, '{"id":"x0","doc":{},"again":false,"after":0}'),
    (messages.ChangeRequest, '{"id":"x1"}'),
    (ChangeAnswer, '{"state":"unknown","why":"no such change","tries":0}'),
    (ChangeAnswer, '{"state":"unfit","why":"settings must be an object"}'),
    (ChangeAnswer, '{"state":"proposed","n":1,"try":1,"late":[],"refused":[],"tries":1}'),
    (ChangeAnswer, '{"state":"decided","n":1,"now":1,"lease":1000000,"tries":1}'),
    (ChangeAnswer, '{"state":"nowhere","why":"b2: no","tries":2}'),
    (ChangeAnswer, '{"state":"busy","why":"y is proposed and not decided yet","tries":2}'),
    (EvictAnswer, '{"struck":true}'),
    (StatusAnswer, STATUS),
    (StatusAnswer, STATUS.replace('"disk":"slow"', '"disk":""')),
    (StatusAnswer, STATUS.replace('{"id":"y","n":2,"try":2}', "null")),
]


@pytest.mark.parametrize(("message_type", "text"), EXAMPLES)
def test_a_message_is_written_as_it_was_read(message_type, text):
    """The other process has an older version. It receives each key in the same order and each value as before."""
    message = message_type.from_wire(json.loads(text))
    assert orjson.dumps(message.to_wire()).decode() == text


@pytest.mark.parametrize(("message_type", "text"), EXAMPLES)
def test_unknown_keys_of_a_newer_version_are_ignored(message_type, text):
    """The other process has a newer version, which sends keys unknown to this one."""
    wire = json.loads(text)
    assert message_type.from_wire(wire | {"more": {"n": 1}}) == message_type.from_wire(wire)


def test_keys_are_read_into_their_fields():
    """One example of each message with many fields is checked field by field."""
    request = LeaseRequest.from_wire(json.loads(LEASE_REQUEST))
    assert (request.incarnation, request.on_lost_quorum, request.last_answer_at_us) == (
        "a1",
        "leave",
        7,
    )
    status = StatusAnswer.from_wire(json.loads(STATUS))
    assert status.disk_state is DiskState.SLOW and status.ballot == (2, "k0")
    assert status.proposal == ProposalStatus(change_id="y", version=2, proposal_number=2)
    assert status.pending_members == (PendingMember("b0", 900),)
    assert status.refusals == (Refusal("b1", "disk: full"),)
    assert status.holders[0].lease_remaining_us == 900
    assert status.history[0].to_record().change_id == "x"
    answer = ChangeAnswer.from_wire({"state": "nowhere", "why": "no", "tries": 3})
    assert answer.state is ChangeState.DROPPED and answer.version is None


def test_a_lease_answer_contains_the_proposal_or_a_notice():
    """A balancer that has promised a proposal receives it again without the document."""
    whole = LeaseAnswer.from_wire(json.loads(LEASE_ANSWER) | {"next": json.loads(PROPOSAL)})
    assert isinstance(whole.proposal, ProposalMessage)
    assert whole.proposal.to_proposal() == propose(INITIAL_STATE, "x", DOCUMENT).proposal
    notice = LeaseAnswer.from_wire(json.loads(LEASE_ANSWER) | {"next": json.loads(NOTICE)})
    assert notice.proposal == ProposalNotice(proposal_number=1, version=1, change_id="x")


def test_a_missing_key_is_named():
    """A caller omits a key. The error names the key as used in JSON."""
    with pytest.raises(KeyError, match="life"):
        MemberRequest.from_wire({"name": "b"})


def test_strings_and_numbers_are_converted():
    """A caller sends a number as a string, or a string as a number. Both are accepted."""
    wire = json.loads(LEASE_REQUEST) | {"name": 5, "runs": "2", "heard": 7.9}
    request = LeaseRequest.from_wire(wire)
    assert (request.name, request.version, request.last_answer_at_us) == ("5", 2, 7)
    with pytest.raises(ValueError, match="invalid literal"):
        LeaseRequest.from_wire(wire | {"runs": "two"})
    with pytest.raises(ValueError):
        messages.PrepareRequest.from_wire({"ballot": 7})


STATES = [
    INITIAL_STATE,
    propose(INITIAL_STATE, "x", DOCUMENT),
    decide(propose(INITIAL_STATE, "x", DOCUMENT), 1),
    drop(propose(register_member(INITIAL_STATE, "b1", "ff"), "x", DOCUMENT), 1, "b2: no"),
]


@pytest.mark.parametrize("state", STATES)
def test_a_policy_state_is_unchanged_by_wire_and_disk(state):
    """Control processes send the register's value to each other and read it from disk."""
    wire = orjson.loads(orjson.dumps(policy_state_to_wire(state)))
    assert list(wire) == ["n", "id", "try", "doc", "next", "tries", "stay", "past"]
    assert policy_state_from_wire(wire) == state
    stored = AcceptorState((3, "k1"), (2, "k0"), state)
    content = orjson.loads(orjson.dumps(acceptor_state_to_wire(stored)))
    assert content[:2] == [[3, "k1"], [2, "k0"]] and acceptor_state_from_wire(content) == stored


def test_a_policy_state_without_its_keys_is_refused():
    """A damaged or foreign value must not be read as version 0, which would revert a decided version."""
    with pytest.raises(KeyError):
        policy_state_from_wire({})


def test_a_balancer_without_control_does_not_load_the_messages():
    """A balancer without control must not pay for the import of the messages at startup."""
    check = (
        "import sys, orchidgap.__main__, orchidgap.composition, orchidgap.net.server, orchidgap.http1; "
        "sys.exit(any(name.startswith(('msgspec', 'orchidgap.control')) for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", check], timeout=30).returncode == 0
