"""Real processes of the program with faults put between them, judged by what clients and callers of control
saw."""
