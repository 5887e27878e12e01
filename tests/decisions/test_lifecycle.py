from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from orchidgap.decisions.lifecycle import LAST_CALL, MEANS, NEXT, UNUSED_FOR, Lifecycle, State

EVENTS = ("able", "quiesce", "empty", "resume", "leave")


def test_every_state_means_something_and_only_serving_says_yes():
    assert set(MEANS) == set(State)
    assert [state for state in State if MEANS[state].yes] == [State.SERVING]
    for state, means in MEANS.items():
        assert means.last == (means.quiet_after is not None), (
            "who is let go with an answer is let go idle too"
        )
        assert means.last or means.admits_for is None, f"{state}: who is let in is kept"


def test_each_call_in_each_state_leads_where_the_table_says():
    table = {  # able, quiesce, empty, resume, leave
        "starting": ("serving", "draining", "starting", "starting", "leaving"),
        "serving": ("serving", "draining", "serving", "serving", "leaving"),
        "draining": ("draining", "draining", "drained", "serving", "leaving"),
        "drained": ("drained", "drained", "drained", "serving", "leaving"),
        "leaving": ("leaving",) * 5,
    }
    assert {key[0].value for key in NEXT} <= set(table)
    for state in State:
        for event, to in zip(EVENTS, table[state.value]):
            life = Lifecycle(0)
            life.enter(state, 0)
            life.able = state is not State.STARTING
            assert life.on(event, 5) == (to != state.value), (state, event)
            assert life.state.value == to and life.since == (5 if to != state.value else 0)


class Lives(RuleBasedStateMachine):
    """Any order of calls and signals."""

    def __init__(self):
        super().__init__()
        self.life, self.now, self.told, self.able, self.left = Lifecycle(0), 0, False, False, None

    @rule(micros=st.sampled_from((0, 1, 1000, LAST_CALL, UNUSED_FOR, 10_000_000)))
    def time_passes(self, micros):
        self.now += micros

    @rule(event=st.sampled_from(EVENTS))
    def something_happens(self, event):
        life, before = self.life, (self.life.state, self.life.changes, self.life.since)
        moved = life.on(event, self.now)
        assert moved == (life.state is not before[0]) == (life.changes != before[1])
        assert moved or life.since == before[2], "what changes nothing starts no time anew"
        self.able = self.able or event == "able"
        if event == "leave" and self.left is None:
            self.left = self.now
        if event in ("quiesce", "resume") and self.left is None:
            self.told = event == "quiesce"

    @precondition(lambda self: self.left is None)
    @rule()
    def a_resume_brings_all_back(self):
        self.life.on("quiesce", self.now)
        self.life.on("resume", self.now)
        self.told = False
        assert self.life.state is (State.SERVING if self.able else State.STARTING)
        assert self.life.admits(self.now) and not self.life.lets_go(self.now + 10**9)

    @invariant()
    def yes_only_when_it_serves(self):
        assert self.life.means.yes == (self.able and not self.told and self.left is None)

    @invariant()
    def whoever_is_let_go_is_told_no_first(self):
        assert not (self.life.means.last and self.life.means.yes)
        assert not self.life.lets_go(self.now) or self.life.means.last

    @invariant()
    def leaving_has_no_way_back(self):
        assert (self.life.state is State.LEAVING) == (self.left is not None)
        if self.left is not None:
            assert self.life.admits(self.now) == (self.now - self.left < LAST_CALL)


TestLives = Lives.TestCase
