"""Models of the register and of the leases, over which every reachable state is checked."""
