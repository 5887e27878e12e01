"""Control: replicated storage and coordinated rollout of the policy of all balancers.

Control processes keep the policy in a replicated register. Each of them has an acceptor
(`acceptor`) and a proposer (`proposer`), drives the pending proposal to its decision
(`rollout_driver`) and grants leases to balancers (`lease_service`). A balancer renews its lease
(`lease_keeper`) and accepts requests only while it is permitted to serve (`guarded_node`).
Operators use `cli`. All of them communicate with `messages`.
"""
