"""What outlives a process, on its disk."""
