"""Every message of control and the register's file, typed, with the words that stand in their JSON.

No other module of control knows a JSON key, a path or a word of the wire. A message's fields stand
in the order in which JSON has them. Who reads one passes over keys that it doesn't know, as a
newer program may have sent them.

Balancers and the command line call control; control processes call each other. An `RpcMethod`
names each call with its request and its answer. Times are whole microseconds.
"""

from orchidgap.control.messages.base import (
    EmptyMessage,
    ErrorAnswer,
    MemberRequest,
    RpcMethod,
    WireMessage,
    WireObject,
)
from orchidgap.control.messages.consensus import (
    ACCEPT,
    PREPARE,
    PROGRESS,
    AcceptAnswer,
    AcceptRequest,
    PrepareAnswer,
    PrepareRequest,
    ProgressAnswer,
)
from orchidgap.control.messages.lease import (
    DEREGISTER,
    LEASE,
    REGISTER,
    SETTLE,
    LeaseAnswer,
    LeaseRequest,
    ProposalNotice,
)
from orchidgap.control.messages.operators import (
    CHANGE,
    CHECK,
    EVICT,
    PROPOSE,
    STATUS,
    ChangeAnswer,
    ChangeRequest,
    ChangeState,
    CheckAnswer,
    CheckRequest,
    DiskState,
    EvictAnswer,
    HolderStatus,
    ProposalStatus,
    ProposeRequest,
    StatusAnswer,
)
from orchidgap.control.messages.register import (
    PolicyStateMessage,
    ProposalMessage,
    RecordMessage,
    acceptor_state_from_wire,
    acceptor_state_to_wire,
    policy_state_from_wire,
    policy_state_to_wire,
)

__all__ = [
    "ACCEPT",
    "CHANGE",
    "CHECK",
    "DEREGISTER",
    "EVICT",
    "LEASE",
    "PREPARE",
    "PROGRESS",
    "PROPOSE",
    "REGISTER",
    "SETTLE",
    "STATUS",
    "AcceptAnswer",
    "AcceptRequest",
    "ChangeAnswer",
    "ChangeRequest",
    "ChangeState",
    "CheckAnswer",
    "CheckRequest",
    "DiskState",
    "EmptyMessage",
    "ErrorAnswer",
    "EvictAnswer",
    "HolderStatus",
    "LeaseAnswer",
    "LeaseRequest",
    "MemberRequest",
    "PolicyStateMessage",
    "PrepareAnswer",
    "PrepareRequest",
    "ProgressAnswer",
    "ProposalMessage",
    "ProposalNotice",
    "ProposalStatus",
    "ProposeRequest",
    "RecordMessage",
    "RpcMethod",
    "StatusAnswer",
    "WireMessage",
    "WireObject",
    "acceptor_state_from_wire",
    "acceptor_state_to_wire",
    "policy_state_from_wire",
    "policy_state_to_wire",
]
