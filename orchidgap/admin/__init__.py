"""The operators' door: one line to a connection, answered by one line that begins with SUCCESS or FAILURE."""
