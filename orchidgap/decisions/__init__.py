"""All rules of the balancer, without sockets, files, clocks or randomness of their own.

A request passes down the pipeline admission, coalescing, placement, origin, dispatch; the outcomes
of its attempts pass up it. `balancer` has the entry points, `ports` the interface of the host
program.

| rule                                   | module              | inputs                          |
| -------------------------------------- | ------------------- | ------------------------------- |
| which requests are admitted            | `admission`         | queue times, latencies, tenants |
| one fetch of a key at a time           | `coalescing`        | keys that are being fetched     |
| which cache serves a key               | `placement`         | ranges, limits, ejections       |
| which cache owns which slots           | `hash_ranges`       | ready caches, their loads       |
| when ranges are resized                | `rebalancing`       | attempts, reported rates        |
| which keys need several caches         | `hot_keys`          | reads of each key               |
| how many attempts a cold cache gets    | `slow_start`        | its start, attempts, answers    |
| when an origin gets writes and misses  | `origin`            | origins' limits and latencies   |
| overdue attempts: hedge or cancel      | `dispatch`          | a host's last response          |
| how many attempts a host may have      | `concurrency_limit` | latencies of its attempts       |
| which cache has far more load          | `load_reports`      | what caches report              |
| which host is ejected for a while      | `outlier_ejection`  | failures, its retry budget      |
| whether a request may be retried       | `retry_policy`      | its safety and attempts         |
| whether a repeat of it does harm       | `repeat_safety`     | its class and idempotency key   |
| which server owns a slot               | `slot_map`          | slot maps and redirections      |
| which state a listed address has       | `listed_addresses`  | hosts that are listed there     |
| what other settings would decide       | `shadow`            | each decision                   |

`request_table` lists why and by which function a request is rejected, `rejections` the names under
which rejections are counted.

The failure that each module prevents:

| module              | without it                                                        |
| ------------------- | ----------------------------------------------------------------- |
| `admission`         | one tenant uses the others' share; all are queued and none denied |
| `coalescing`        | after a flush all requests fetch the same keys from the origin    |
| `placement`         | a host that fails keeps its keys; keys scatter in overload        |
| `hash_ranges`       | keys move and are fetched again when caches join or leave         |
| `rebalancing`       | an overloaded range stays overloaded                              |
| `hot_keys`          | the owner of a hot key is overloaded, whatever its range          |
| `slow_start`        | a cold cache is overloaded as it starts                           |
| `origin`            | the origin is overloaded by misses                                |
| `dispatch`          | requests stay at a silent host until their clients' deadlines     |
| `concurrency_limit` | a slow host is overloaded until it answers nothing in time        |
| `load_reports`      | many balancers, each with little traffic, overload one cache      |
| `outlier_ejection`  | requests go to a failed host until the list removes it            |
| `retry_policy`      | a write is executed twice; retries multiply an overload           |
| `repeat_safety`     | a repeat that no host recognizes counts as deduplicated           |

Outside the path of a request: `host_list` (discovery's list), `warm_snapshot` and `lifecycle`
(handover between processes), `connection_demand`, `gossip_counts` and `load_skew` (cooperation of
balancers), and `cas_register`, `policy_rollout` and `config_compatibility` (settings agreed on by
control processes).
"""
