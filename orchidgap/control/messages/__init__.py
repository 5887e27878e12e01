"""Typed messages of control and of the register's file, with the names that their JSON uses.

No other module of control uses a JSON key, a path or an enum value of the wire format. The fields
of a message are declared in the order of their JSON keys. Unknown keys are ignored on reading,
because a newer version may have sent them.

Balancers and the command line call control processes; control processes call each other. Each call
is described by an `RpcMethod` with its request and answer types. Times are integer microseconds.
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
