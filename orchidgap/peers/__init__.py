"""Gossip between balancers: each one sends its counts to others in datagrams.

Disabled unless the configuration has a section `pool`. `gossip_codec` defines the format of the
datagrams, `gossip_transport` has the sockets and timers, and `decisions.gossip_counts` evaluates
the counts.
"""
