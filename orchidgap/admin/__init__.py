"""Operators' commands for a running balancer: one command per connection, one line in answer."""
