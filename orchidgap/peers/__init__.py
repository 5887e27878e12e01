"""Gossip between balancers: what each counted, told in datagrams.

Off unless the configuration has a part `pool`. `gossip_codec` has the datagrams' form,
`gossip_transport` the sockets and timers, `decisions.gossip_counts` what is made of the counts.
"""
