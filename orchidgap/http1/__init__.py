"""HTTP/1.1 on both sides of the balancer.

`messages`, `readers` and `writers` do no I/O. `server` implements the connections from clients,
`client` and `host_connection` those to hosts, `discovery` fetches the host list.
`request_migration`, with `parser_resume` and `chunked_encoding`, lets another process continue a
request. `protocol` combines them for a node. This file imports nothing, so that a module that needs
only a reader does not load a node.
"""
