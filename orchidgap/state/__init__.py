"""Durable state: files that survive a restart of the process."""
