"""Simulations: the balancer among stand-in peers and faults, checked, compared and reported.

Nobody in `serve` imports this; it needs the libraries of `requirements-tools.txt`.
"""
