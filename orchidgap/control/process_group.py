"""Calls from one control process to all control processes."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from typing import Protocol

from orchidgap.control.messages import WireObject
from orchidgap.control.messages.base import AnswerT, RequestT, RpcMethod
from orchidgap.control.rpc_server import RpcServer
from orchidgap.decisions.cas_register import quorum_size
from orchidgap.net.loop import Loop

ANSWER_TIMEOUT_US = 500_000  # for an answer of a control process to another one or to itself


class Caller(Protocol):
    """Sends calls to one other process; implemented by `RpcClient`."""

    def call(
        self,
        method: RpcMethod[RequestT, AnswerT],
        request: RequestT,
        on_answer: Callable[[AnswerT | None], None],
    ) -> None:
        """Call a method; `on_answer` is called once, after this function has returned."""


class ProcessGroup:
    """Calls to all control processes at once.

    Attributes:
        loop: The loop that calls back.
        name: The name of this process.
        names: The names of all processes, sorted.
        others: The callers for the other processes, by name.
        server: This process's own server.
    """

    def __init__(
        self, loop: Loop, name: str, others: Mapping[str, Caller], server: RpcServer
    ) -> None:
        """Create a group of this process and the others."""
        self.loop = loop
        self.name = name
        self.names = sorted([name, *others])
        self.others = others
        self.server = server

    @property
    def quorum(self) -> int:
        """The number of processes in a majority."""
        return quorum_size(len(self.names))

    @property
    def rank(self) -> int:
        """The position of this process among all names, starting at 0."""
        return self.names.index(self.name)

    def call_all(
        self,
        method: RpcMethod[RequestT, AnswerT],
        request: RequestT,
        on_answer: Callable[[str, AnswerT | None], None],
    ) -> None:
        """Call a method of every process, including this one.

        Args:
            method: The method to call.
            request: The request.
            on_answer: Called once for each process with its name and its answer, None if there is
                no answer in time.
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
        """Call this process's own server, with the same timeout as for the others."""

        def on_wire_answer(wire: WireObject | None) -> None:
            if timer.callback is None:
                return  # timed out or already answered
            timer.cancel()
            on_answer(None if wire is None else method.answer_type.from_wire(wire))

        timer = self.loop.call_later(ANSWER_TIMEOUT_US, on_wire_answer, None)
        self.loop.call_soon(self.server.dispatch, method.path, request.to_wire(), on_wire_answer)
