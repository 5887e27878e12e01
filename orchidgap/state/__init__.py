"""Durable state: what outlives a process, on its disk."""
