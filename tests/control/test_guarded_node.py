"""A node accepts requests only while its guard permits it."""

from types import SimpleNamespace

import pytest

from orchidgap.control.guarded_node import LeaseGuardedNode
from orchidgap.decisions.repeat_safety import Idempotency
from orchidgap.net.node import Node
from orchidgap.net.traffic_counts import TrafficCounts


class Guard:
    """Returns these answers from `may_serve`; the last one is repeated."""

    def __init__(self, *answers):
        self.answers = list(answers)

    def may_serve(self):
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

    def retry_after_us(self):
        return 1_234_567


class Client:
    """Records its answers."""

    def __init__(self):
        self.answers = []

    def answer(self, status, body=b"", retry_after_us=0, length=None):
        self.answers.append((status, retry_after_us))


@pytest.fixture
def accepted(monkeypatch):
    """The requests that the guard passes to the node."""
    requests = []
    monkeypatch.setattr(Node, "handle_request", lambda node, *request: requests.append(request))
    monkeypatch.setattr(Node, "is_ready", lambda node: True)
    return requests


def make_node(guard, request_classes=("read",)):
    node = LeaseGuardedNode.__new__(LeaseGuardedNode)
    node.guard = guard
    node.traffic_counts = TrafficCounts()
    node.config = SimpleNamespace(settings=SimpleNamespace(request_classes=request_classes))
    return node


def send(node, request_class):
    """Handles a request as the protocols do: the request class is checked first."""
    client = Client()
    if not node.knows_request_class(request_class):
        return 404
    node.handle_request(
        client,
        b"id",
        request_class,
        1_000_000,
        False,
        b"key",
        "tenant",
        b"head",
        b"body",
        idempotency=Idempotency.KEYED,
    )
    return client.answers


def test_with_permission_requests_are_handled_as_without_a_guard(accepted):
    node = make_node(Guard(True))
    assert send(node, "read") == [] and len(accepted) == 1
    assert accepted[0][1:4] == (b"id", "read", 1_000_000)
    assert accepted[0][-4:] == (-1, None, False, Idempotency.KEYED)
    assert send(node, "unknown") == 404 and len(accepted) == 1
    assert node.is_ready()


def test_without_permission_every_request_is_denied(accepted):
    """A process was stopped for longer than its lease. A client sends a request class that a newer policy may
    have. 404 would follow the previous policy, so the answer is 503 with a time for a retry."""
    node = make_node(Guard(False))
    assert send(node, "read") == send(node, "unknown") == [(503, 1_234_567)]
    assert not accepted and not node.is_ready()


def test_an_unknown_class_is_denied_if_the_permission_is_regained_before_the_request(accepted):
    """Without permission every class counts as known. Before the request is handled the lease is renewed,
    under a policy that does not have the class."""
    node = make_node(Guard(False, True))
    assert send(node, "unknown") == [(503, 1_234_567)]
    assert not accepted


def test_the_permission_is_checked_for_each_request(accepted):
    """The lease expires between the check of the request class and the request itself."""
    node = make_node(Guard(True, False))
    assert send(node, "read") == [(503, 1_234_567)]
    assert not accepted


class Recorder:
    """A node that records how a policy is put into force."""

    def __init__(self):
        self.actions = []
        self.pools = SimpleNamespace(
            set_timeouts=lambda *us: self.actions.append(("timeouts", *us))
        )
        self.balancer = SimpleNamespace(on_settings="on_settings")
        self.settings = self.config = None

    def apply_config(self, config):
        self.actions.append(("apply", config))

    def call_decisions(self, method, settings):
        self.actions.append((method, settings))


CONFIG = SimpleNamespace(connect_timeout_us=3, idle_timeout_us=4, settings="parsed")


def test_a_policy_is_applied_like_a_reloaded_configuration():
    """The node accepts requests, so settings that need a restart are not applied. The next SIGHUP reloads the
    file with the policy's settings."""
    node = Recorder()
    LeaseGuardedNode.put_policy_into_force(node, {"a": 1}, CONFIG, accepting=True)
    assert node.actions == [("apply", CONFIG)] and node.settings == {"a": 1}


def test_before_the_listener_opens_all_settings_of_a_policy_are_applied():
    node = Recorder()
    LeaseGuardedNode.put_policy_into_force(node, {"a": 1}, CONFIG, accepting=False)
    assert node.actions == [("timeouts", 3, 4), ("on_settings", "parsed")]
    assert node.config is CONFIG and node.settings == {"a": 1}
