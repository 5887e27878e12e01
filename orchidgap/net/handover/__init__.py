"""Handover between two processes of one balancer, while a new version replaces an old one.

The new process connects to the serving one over a Unix packet socket and receives a snapshot of its
state. From then on each process sends the other its open requests and its attempts in flight. Once
the new process serves and the old one shuts down, the old one also hands over its connections.
`messages` defines the messages between the two, and `coordinator` runs the handover. A process that
does not share its listener loads none of these modules: it has a `NoHandover`.
"""
