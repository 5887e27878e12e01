"""A balancer that spreads keys over cache hosts before one slow origin.

`decisions` is pure and has every rule; `net`, with the protocols in `http1` and `resp`,
moves bytes; `control` decides settings for all balancers at once. docs/architecture.md has the
whole.
"""

VERSION = "0.2.0"
