"""Models of the register and of leases, whose reachable states are all checked."""
