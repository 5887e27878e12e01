"""Simulations: the balancer among simulated peers and faults, checked, compared and reported.

The server (`serve`) does not import this package, which needs `requirements-tools.txt`.
"""
