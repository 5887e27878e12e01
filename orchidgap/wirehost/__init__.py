"""Runs the decisions on the simulator's wire: many instances in one process, sharing nothing."""
