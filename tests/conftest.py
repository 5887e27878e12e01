"""Makes the helpers beside the tests importable from the folders below."""
