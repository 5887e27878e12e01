"""Makes the helpers beside the tests importable from the folders below."""

pytest_plugins = ["known_failures"]
