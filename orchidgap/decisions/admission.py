"""The first stage: admits or rejects requests, and rejects those that no other stage can serve.

Other stages reject requests too: `request_table` has the table of all reasons.

Two rules reject requests early, while a quick answer still helps their clients:

- While the oldest request queued for a cache has waited over half of the latency objective, all
  requests are rejected; if servers own their slots, only those for the server that it waits for.
- Under overload, a random part of the requests of a tenant that exceeds its share of admitted
  requests is shed until the tenant keeps to its share. This applies only to a single balancer: one
  of several may happen to serve one tenant alone.
"""

from __future__ import annotations

from orchidgap.decisions.origin import Origin
from orchidgap.decisions.pipeline import PipelineContext, Stage
from orchidgap.decisions.placement import Placement
from orchidgap.decisions.records import Attempt, AttemptOutcome, HostState, Request
from orchidgap.decisions.rejections import RejectionReason

# A host with a higher ratio of its latency to its slow threshold means overload.
OVERLOAD_SLOWNESS_RATIO = 1.5
# A tenant with a higher ratio of its part of admitted requests to its quota is shed.
MAX_SHARE_RATIO = 1.15
# A wait for a cache longer than the latency objective divided by this rejects all requests.
MAX_WAIT_DIVISOR = 2
# A wait for any host longer than the latency objective divided by this means overload.
OVERLOAD_WAIT_DIVISOR = 4
MAX_SHED_RATIO = 0.9  # highest fraction of a tenant's requests that is shed
# The part of a tenant's excess over `MAX_SHARE_RATIO` that each tick adds to its shed ratio.
SHED_GAIN_RATIO = 1 / 4
SHED_DECAY_RATIO = 0.02  # subtracted from shed ratios at each tick without overload
ADMITTED_DECAY_RATIO = 0.8  # part of the counts of admitted requests that is kept at each tick


class Admission(Stage):
    """Sheds load at the entrance of the pipeline.

    Attributes:
        admitted: Admitted requests by tenant, decaying at each tick.
        shed_ratios: The fraction of each tenant's requests that is rejected.
        overloaded: Whether shares are enforced.
    """

    def __init__(self, context: PipelineContext, placement: Placement, origin: Origin) -> None:
        """Measure the load by the queues and hosts of these two stages."""
        super().__init__(context)
        self.placement = placement
        self.origin = origin
        self.admitted: dict[str, float] = {}
        self.shed_ratios: dict[str, float] = {}
        self.overloaded = False
        self._worst_wait_us = 0  # longest wait in a queue since the last tick
        self.update_tenants()

    def update_tenants(self) -> None:
        """Apply the tenants of new settings, and keep the counts of those that remain."""
        tenants = self.context.settings.tenants
        self.admitted = {name: self.admitted.get(name, 0.0) for name in tenants}
        self.shed_ratios = {name: self.shed_ratios.get(name, 0.0) for name in tenants}

    def forward(self, request: Request, host: HostState | None = None) -> None:
        """Pass the request down, or reject it at once."""
        context = self.context
        shed_ratio = self.shed_ratios.get(request.tenant)
        if shed_ratio is not None:
            if context.rng.random() < shed_ratio:
                context.reject(request, RejectionReason.TENANT_SHARE)
                return
            if context.settings.balancer_count == 1:
                self.admitted[request.tenant] += 1
        # A wait for the origin is no reason to reject: the caches can still serve most keys.
        cache_wait_us = self.placement.oldest_wait_us()
        self._worst_wait_us = max(self._worst_wait_us, cache_wait_us, self.origin.oldest_wait_us())
        max_wait_us = context.latency_objective_us // MAX_WAIT_DIVISOR
        if cache_wait_us > max_wait_us and self._would_wait_too_long(request, max_wait_us):
            context.reject(request, RejectionReason.LONG_QUEUE)
            return
        self.next_stage.forward(request)

    def _would_wait_too_long(self, request: Request, max_wait_us: int) -> bool:
        """Return whether the request would queue behind one that has waited too long.

        If servers own their slots, only requests for its own server count, and a wait of one
        answer's latency there is not too long, as no other server can answer sooner.
        """
        if self.context.slot_map is None:
            return True
        owner = self.context.slot_owner(request)
        answer_us = owner.smoothed_latency_us if owner else 0
        wait_us = self.placement.oldest_wait_for_owner_us(owner)
        return wait_us > max(max_wait_us, answer_us)

    def on_attempt_done(self, request: Request, attempt: Attempt) -> None:
        """Reject the request, as no stage started another attempt, unless it is queued."""
        if not request.queued:  # else another of its attempts failed while it was queued
            reason = request.retry_refusal or _outcome_reason(attempt)
            self.context.reject_if_idle(request, reason)

    def tick(self) -> None:
        """Detect overload since the last tick, and adjust the shed ratios."""
        worst_wait_us = self._worst_wait_us
        self._worst_wait_us = 0
        slow_hosts = [
            host
            for host in (self.placement.all_caches, *self.origin.hosts)
            if self.context.limiter.slowness(host) > OVERLOAD_SLOWNESS_RATIO
        ]
        max_wait_us = self.context.latency_objective_us // OVERLOAD_WAIT_DIVISOR
        overloaded = worst_wait_us > max_wait_us or bool(slow_hosts)
        if overloaded != self.overloaded:
            self.overloaded = overloaded
            self._log_overload(worst_wait_us, slow_hosts)
        self._adjust_shed_ratios()

    def _adjust_shed_ratios(self) -> None:
        tenants = self.context.settings.tenants
        total = sum(self.admitted.values())
        for name, count in self.admitted.items():
            if self.overloaded:
                over_share = (
                    count / total / tenants[name].quota_ratio - MAX_SHARE_RATIO if total else 0.0
                )
                change = over_share * SHED_GAIN_RATIO
            else:
                change = -SHED_DECAY_RATIO
            shed_ratio = min(MAX_SHED_RATIO, self.shed_ratios[name] + change)
            self.shed_ratios[name] = max(0.0, shed_ratio)
            self.admitted[name] *= ADMITTED_DECAY_RATIO

    def _log_overload(self, worst_wait_us: int, slow_hosts: list[HostState]) -> None:
        state = "on" if self.overloaded else "off"
        queue_lengths = len(self.placement.queue), len(self.origin.queue)
        latencies_ms = [host.smoothed_latency_us // 1000 for host in slow_hosts]
        shed_ratio = max(self.shed_ratios.values(), default=0)
        self.context.port.log(
            f"overload {state}: waited {worst_wait_us // 1000} ms, held for caches, origin "
            f"{queue_lengths}, lags of all caches, origin {latencies_ms} ms, shed {shed_ratio:.2f}"
        )


def _outcome_reason(attempt: Attempt) -> RejectionReason:
    """Return the reason to reject a request after this last attempt, which no stage retries."""
    if attempt.outcome == AttemptOutcome.TIMED_OUT:
        return RejectionReason.ATTEMPT_TIMED_OUT
    return RejectionReason.ATTEMPT_FAILED
