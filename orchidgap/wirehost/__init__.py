"""The decisions on the simulator's wire: many balancers in one process, sharing nothing.

`words` has the wire's words, `messages` decodes what comes, `instance` is one balancer, `server`
answers batches.
"""
