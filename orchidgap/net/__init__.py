"""The balancer on sockets, whatever is spoken on them; `node` joins both sides to the decisions."""
