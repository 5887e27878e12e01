"""Tests of a process's state machine: it follows the transition table for any order of events."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from orchidgap.decisions.lifecycle import (
    DRAIN_IDLE_US,
    SHUTDOWN_ACCEPT_US,
    STATE_RULES,
    TRANSITIONS,
    Lifecycle,
    LifecycleEvent,
    State,
)

EVENTS = tuple(LifecycleEvent)


def test_every_state_has_rules_and_only_serving_is_ready():
    assert set(STATE_RULES) == set(State)
    assert [state for state in State if STATE_RULES[state].is_ready] == [State.SERVING]
    for state, rules in STATE_RULES.items():
        assert rules.closes_after_answer == (rules.closes_idle_after_us is not None), (
            "connections that close after an answer close when idle, too"
        )
        assert rules.closes_after_answer or rules.accepts_for_us is None, (
            f"{state}: an accepted connection is kept"
        )


def test_each_event_in_each_state_follows_the_table():
    table = {  # ready, drain, empty, resume, shut down
        "starting": ("serving", "draining", "starting", "starting", "leaving"),
        "serving": ("serving", "draining", "serving", "serving", "leaving"),
        "draining": ("draining", "draining", "drained", "serving", "leaving"),
        "drained": ("drained", "drained", "drained", "serving", "leaving"),
        "leaving": ("leaving",) * 5,
    }
    assert {key[0].value for key in TRANSITIONS} <= set(table)
    for state in State:
        for event, next_state in zip(EVENTS, table[state.value]):
            lifecycle = Lifecycle(0)
            lifecycle.enter(state, 0)
            lifecycle.can_serve = state is not State.STARTING
            assert lifecycle.handle(event, 5) == (next_state != state.value), (state, event)
            assert lifecycle.state.value == next_state and lifecycle.since_us == (
                5 if next_state != state.value else 0
            )


class LifecycleMachine(RuleBasedStateMachine):
    """Applies events in any order, with any time between them."""

    def __init__(self):
        super().__init__()
        self.lifecycle = Lifecycle(0)
        self.now = 0
        self.draining = False
        self.ready = False
        self.shut_down_at = None

    @rule(micros=st.sampled_from((0, 1, 1000, SHUTDOWN_ACCEPT_US, DRAIN_IDLE_US, 10_000_000)))
    def advance_time(self, micros):
        self.now += micros

    @rule(event=st.sampled_from(EVENTS))
    def handle_event(self, event):
        lifecycle = self.lifecycle
        state, count, since_us = lifecycle.state, lifecycle.transition_count, lifecycle.since_us
        changed = lifecycle.handle(event, self.now)
        assert changed == (lifecycle.state is not state)
        assert changed == (lifecycle.transition_count != count)
        assert changed or lifecycle.since_us == since_us, (
            "an event without a transition must not reset the state's start time"
        )
        self.ready = self.ready or event is LifecycleEvent.READY
        if event is LifecycleEvent.SHUT_DOWN and self.shut_down_at is None:
            self.shut_down_at = self.now
        if event in (LifecycleEvent.DRAIN, LifecycleEvent.RESUME) and self.shut_down_at is None:
            self.draining = event is LifecycleEvent.DRAIN

    @precondition(lambda self: self.shut_down_at is None)
    @rule()
    def drain_and_resume(self):
        self.lifecycle.handle(LifecycleEvent.DRAIN, self.now)
        self.lifecycle.handle(LifecycleEvent.RESUME, self.now)
        self.draining = False
        assert self.lifecycle.state is (State.SERVING if self.ready else State.STARTING)
        assert self.lifecycle.accepts_connections(self.now) and not self.lifecycle.closes_idle(
            self.now + 10**9
        )

    @invariant()
    def is_ready_only_while_serving(self):
        assert self.lifecycle.rules.is_ready == (
            self.ready and not self.draining and self.shut_down_at is None
        )

    @invariant()
    def reports_not_ready_while_it_closes_connections(self):
        assert not (self.lifecycle.rules.closes_after_answer and self.lifecycle.rules.is_ready)
        assert not self.lifecycle.closes_idle(self.now) or self.lifecycle.rules.closes_after_answer

    @invariant()
    def never_returns_from_leaving(self):
        assert (self.lifecycle.state is State.LEAVING) == (self.shut_down_at is not None)
        if self.shut_down_at is not None:
            assert self.lifecycle.accepts_connections(self.now) == (
                self.now - self.shut_down_at < SHUTDOWN_ACCEPT_US
            )


TestLifecycle = LifecycleMachine.TestCase
