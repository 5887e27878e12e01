"""Everything that is decided, free of sockets, files, clocks and chance of its own."""
