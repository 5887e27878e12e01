"""The configuration of a balancer under test, as the operators' platform would write it.

The keys of the operators' files are used only here in the simulation's core.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

from orchidgap.net.addresses import format_address
from orchidgap.simulation.balancer_instance import BalancerInstance
from orchidgap.simulation.plan import Plan, RequestClassSpec, milliseconds_to_us, seconds_to_us

LISTED_BEFORE_USE_S = 1.5
LISTED_AFTER_USE_S = 3.0
GOSSIP_KEY = "a key of this run"
EFFECTS = {"replayable": "retryable", "uniqued": "dedup", "non-replayable": "fragile"}


def is_listed_at(request_class: RequestClassSpec, second: float) -> bool:
    """Return whether settings written at this second of a run include the request class.

    They include it from `LISTED_BEFORE_USE_S` before until `LISTED_AFTER_USE_S` after clients
    use it.
    """
    has_begun = request_class.from_s - LISTED_BEFORE_USE_S <= max(0.0, second)
    return has_begun and (
        not request_class.until_s or second < request_class.until_s + LISTED_AFTER_USE_S
    )


def process_document(
    plan: Plan,
    balancer: BalancerInstance,
    seed: int,
    known: dict[str, Any],
    has_admin: bool,
) -> dict[str, Any]:
    """Return the part that is specific to the process: addresses, seed, limits, endpoint list."""
    seed_text = f"{seed} {balancer.name} {balancer.incarnation}"
    document: dict[str, Any] = {
        "name": balancer.name,
        "listen": format_address(balancer.address),
        "discovery": format_address(balancer.discovery_address),
        "seed": f"{Random(seed_text).getrandbits(64):x}",
    }
    if has_admin:
        document["admin_addr"] = format_address(balancer.admin_address)
    document["limits"] = {
        "cores": 1.0,
        "memory_mb": plan.limits.max_memory_mb,
        "sockets": plan.limits.max_sockets,
    }
    document["known"] = known
    return document


def settings_document(
    plan: Plan, max_attempts: int, request_classes: Iterable[RequestClassSpec]
) -> dict[str, Any]:
    """Return the settings of the decisions, with rule sets for these request classes."""
    return {
        "instances": plan.balancer_count,
        "registry-mode": "subscribe",
        "kinds": ["cache", "origin"],
        "family-info": {
            "mode": "aside" if plan.protocol == "http" else "owned",
            "origin-kind": 1,
        },
        "ceilings": ceilings_document(plan, max_attempts),
        "guarantees": {
            "cold-from": plan.cache.cold_speed_ratio,
            "warm-after": seconds_to_us(plan.cache.warm_up_s),
        },
        "customers": [{"name": tenant.name, "share": tenant.quota} for tenant in plan.tenants()],
        "rule-sets": [rule_set_document(request_class) for request_class in request_classes],
    }


def ceilings_document(plan: Plan, max_attempts: int) -> dict[str, Any]:
    """Return the limits and permissions of the decisions."""
    ceilings = plan.limits
    return {
        "most-dispatches": max_attempts,
        "may-cancel": ceilings.may_cancel,
        "may-duplicate": ceilings.may_hedge,
        "retry-after": ceilings.retry_after,
        "max-retry-after": milliseconds_to_us(ceilings.max_retry_after_ms),
        "connect-timeout": milliseconds_to_us(plan.network.connect_timeout_ms),
        "conn-idle": seconds_to_us(plan.cache.idle_timeout_s),
    }


def rule_set_document(request_class: RequestClassSpec) -> dict[str, Any]:
    """Return the rule set of a request class, with times in microseconds."""
    return {
        "name": request_class.name,
        "effect": EFFECTS[request_class.effect],
        "group": request_class.deduplication_scope,
        "response-target": milliseconds_to_us(request_class.latency_objective_ms),
        "client-timeout": milliseconds_to_us(request_class.client_timeout_ms),
        "repeat-window": milliseconds_to_us(request_class.deduplication_window_ms),
    }


def resp_document(plan: Plan, seeds: list[str]) -> dict[str, Any]:
    """Return the part for RESP, with the servers that the slot map is first requested from."""
    return {
        "seeds": seeds,
        "timeout-ms": plan.request_classes()[0].client_timeout_ms,
        "tenant": plan.tenants()[0].name,
    }


def gossip_document(
    plan: Plan, balancer: BalancerInstance, others: Iterable[BalancerInstance]
) -> dict[str, Any]:
    """Return the gossip settings, with the addresses of the other balancers."""
    return {
        "listen": format_address(balancer.gossip_address),
        "key": GOSSIP_KEY,
        "draw-ms": round(plan.rebalance_interval_s * 1000),
        "peers": [format_address(other.gossip_address) for other in others],
    }
