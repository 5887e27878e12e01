"""Control: a change of policy is decided once for all balancers.

Control processes keep the policy in a register of which each has an acceptor (`acceptor`,
`proposer`), drive what is proposed (`rollout_driver`) and grant leases to balancers
(`lease_service`). A balancer keeps its lease (`lease_keeper`) and serves by it (`guarded_node`).
Operators act through `cli`. All of them speak by `messages`.
"""
