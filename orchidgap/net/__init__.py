"""The balancer on sockets. By peer: clients, hosts, registry; `node` joins them to the decisions."""
