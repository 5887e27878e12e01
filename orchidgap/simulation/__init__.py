"""Stand-in peers, plans, troubles, a referee, baselines, hunts and reports: how the balancer is tried.

Nobody in `serve` imports this; it needs the libraries of `requirements-tools.txt`.
"""
