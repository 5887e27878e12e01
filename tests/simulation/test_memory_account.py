"""At the end of each simulated plan the memory account equals what open clients have booked."""

from pathlib import Path

import pytest

from orchidgap.net.memory_account import MemoryBooking
from orchidgap.simulation.plan_file import parse_plan
from orchidgap.simulation.simulation import Simulation

PLAN = Path(__file__).parents[2] / "trials" / "resp-calm.toml"


def play_plan():
    return Simulation(parse_plan(PLAN.read_text().replace("seconds = 30", "seconds = 4"))).play()


def keep_what_is_returned(booking, held_bytes):
    booking.account.booked_bytes += max(0, held_bytes - booking.booked_bytes)
    booking.booked_bytes = held_bytes


def book_nothing(booking, held_bytes):
    booking.account.booked_bytes -= max(0, booking.booked_bytes - held_bytes)
    booking.booked_bytes = held_bytes


def test_all_that_clients_have_booked_is_returned():
    assert play_plan()["faults"] == 0


@pytest.mark.parametrize("defect", [keep_what_is_returned, book_nothing])
def test_a_planted_defect_of_bookings_is_caught(monkeypatch, defect):
    monkeypatch.setattr(MemoryBooking, "book", defect)
    verdict = play_plan()
    assert verdict["verdict"] == "broken"
    assert "bytes are booked" in verdict["first_fault"]
