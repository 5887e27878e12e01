"""The cluster dialect of RESP, both sides of it."""
