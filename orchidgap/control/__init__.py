"""A change of policy, decided once for all balancers: control processes, what balancers say to them,
operators' acts."""
