"""The distribution of the clients' traffic over the balancers."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import accumulate
from random import Random

from orchidgap.simulation.plan import ClientModel

BUSY_WEIGHT = 10.0  # factor on the weight of a busy balancer
MIN_REST_RATIO = 0.01


class BalancerWeights:
    """The weights by which clients choose among balancers.

    Attributes:
        traffic_ratios: The ratio of all traffic that a balancer gets, if a fault sets it.
    """

    def __init__(self, names: Sequence[str], settings: ClientModel, rng: Random) -> None:
        """Draw the weights.

        Args:
            names: Names of all balancers.
            settings: The plan's settings for the spread of traffic.
            rng: The random generator to draw from.
        """
        self.traffic_ratios: dict[str, float] = {}
        self._weights = {name: 1.0 + settings.balancer_skew * rng.uniform(-1, 1) for name in names}
        if settings.busy_balancer_ratio:
            busy_count = round(settings.busy_balancer_ratio * len(names))
            for name in rng.sample(names, busy_count):
                self._weights[name] *= BUSY_WEIGHT
        self._summed_names: list[str] = []
        self._sums: list[float] = []

    def running_sums(self, names: list[str]) -> list[float]:
        """Return the running sums of the weights of these balancers.

        The last result is cached, as the accepting balancers rarely change.
        """
        if self.traffic_ratios:
            return list(accumulate(self._with_traffic_ratios(names)))
        if names != self._summed_names:
            self._summed_names = names
            self._sums = list(accumulate(self._weights[name] for name in names))
        return self._sums

    def _with_traffic_ratios(self, names: list[str]) -> list[float]:
        weights = [self._weights[name] for name in names]
        for index, name in enumerate(names):
            if name in self.traffic_ratios and len(names) > 1:
                others = sum(weights) - weights[index]
                ratio = self.traffic_ratios[name]
                weights[index] = others * ratio / max(MIN_REST_RATIO, 1 - ratio)
        return weights
