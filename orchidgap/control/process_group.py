"""All control processes, as one of them sees them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from typing import Protocol

from orchidgap.control.messages import WireObject
from orchidgap.control.messages.base import AnswerT, RequestT, RpcMethod
from orchidgap.control.rpc_server import RpcServer
from orchidgap.decisions.cas_register import quorum_size
from orchidgap.net.loop import Loop

ANSWER_TIMEOUT_US = 500_000  # for a control process to answer another, or itself


class Caller(Protocol):
    """Whoever brings calls to one other process; `RpcClient` does."""

    def call(
        self,
        method: RpcMethod[RequestT, AnswerT],
        request: RequestT,
        on_answer: Callable[[AnswerT | None], None],
    ) -> None:
        """Call a method; `on_answer` is called once, later."""


class ProcessGroup:
    """Calls to all control processes at once.

    Attributes:
        loop: The loop that calls back.
        name: This process.
        names: All of them, in their order.
        others: Whoever brings calls to each of the others.
        server: This process's own server.
    """

    def __init__(
        self, loop: Loop, name: str, others: Mapping[str, Caller], server: RpcServer
    ) -> None:
        """Make a group of this process and the others."""
        self.loop = loop
        self.name = name
        self.names = sorted([name, *others])
        self.others = others
        self.server = server

    @property
    def quorum(self) -> int:
        """How many processes are a majority."""
        return quorum_size(len(self.names))

    @property
    def rank(self) -> int:
        """This process's place among all, from 0."""
        return self.names.index(self.name)

    def call_all(
        self,
        method: RpcMethod[RequestT, AnswerT],
        request: RequestT,
        on_answer: Callable[[str, AnswerT | None], None],
    ) -> None:
        """Call a method of every process, this one among them.

        Args:
            method: What is called.
            request: The request.
            on_answer: Called once for each process with its name and its answer, None where there
                is none in time.
        """
        for other, caller in self.others.items():
            caller.call(method, request, partial(on_answer, other))
        self._call_self(method, request, partial(on_answer, self.name))

    def _call_self(
        self,
        method: RpcMethod[RequestT, AnswerT],
        request: RequestT,
        on_answer: Callable[[AnswerT | None], None],
    ) -> None:
        """Call this process's own server, which is given as long as the others."""

        def on_wire_answer(wire: WireObject | None) -> None:
            if timer.callback is None:
                return  # too late, or answered
            timer.cancel()
            on_answer(None if wire is None else method.answer_type.from_wire(wire))

        timer = self.loop.call_later(ANSWER_TIMEOUT_US, on_wire_answer, None)
        self.loop.call_soon(self.server.dispatch, method.path, request.to_wire(), on_wire_answer)
