"""Two processes of one balancer, while a new version takes the place of an old one.

The new process calls the serving one on a Unix socket of packets and is told what that one
knows. From then on each tells the other what it has in flight; once the new one serves and the old
one leaves, its connections are handed over too. What the two say to each other stands in
`messages`; `coordinator` brings them together. A process that shares its listener with no other
loads none of that: it has a `NoHandover`.
"""
