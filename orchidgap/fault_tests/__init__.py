"""Real processes of the program with faults between them, and checks on what clients saw."""
