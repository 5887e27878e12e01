"""What operators ask of a running balancer: one command a connection, one line in answer."""
