"""Adapter that runs the balancer's decisions behind an external simulator's line protocol.

One process runs many balancers that share no state. `words` defines the protocol's keywords,
`messages` decodes messages, `instance` is one balancer, and `server` answers batches.
"""
