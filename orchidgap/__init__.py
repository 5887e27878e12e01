"""A balancer that spreads keys over cache hosts in front of one slow origin.

`decisions` has all rules, as code without I/O. `net` does the network I/O, with the protocols in
`http1` and `resp`. `control` decides settings for all balancers together. See docs/architecture.md
for an overview.
"""

VERSION = "0.2.0"
