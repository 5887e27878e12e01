"""The configuration of a balancer under test, as the operators' platform would write it.

The words of the operators' files stand here and nowhere else in the simulation's core.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

from orchidgap.net.addresses import format_address
from orchidgap.simulation.balancer_instance import BalancerInstance
from orchidgap.simulation.plan import Plan, RequestClassSpec, milliseconds_to_us, seconds_to_us

RULE_SETS_LISTED_BEFORE_S = 1.5
RULE_SETS_LISTED_AFTER_S = 3.0
GOSSIP_KEY = "a key of this run"
EFFECTS = {"replayable": "retryable", "uniqued": "dedup", "non-replayable": "fragile"}


def is_listed_at(work: RequestClassSpec, second: float) -> bool:
    """Return whether settings written at this second of a run have the rule set.

    They have it from a little before clients name it until a little after.
    """
    begun = work.from_s - RULE_SETS_LISTED_BEFORE_S <= max(0.0, second)
    return begun and (not work.until_s or second < work.until_s + RULE_SETS_LISTED_AFTER_S)


def process_document(
    plan: Plan,
    balancer: BalancerInstance,
    seed: int,
    known: dict[str, Any],
    has_admin: bool,
) -> dict[str, Any]:
    """Return the part that is the process's own: addresses, seed, limits, endpoint list."""
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
    plan: Plan, max_attempts: int, works: Iterable[RequestClassSpec]
) -> dict[str, Any]:
    """Return the settings that the decisions run under, with the rule sets of `works`."""
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
        "rule-sets": [rule_set_document(work) for work in works],
    }


def ceilings_document(plan: Plan, max_attempts: int) -> dict[str, Any]:
    """Return what the decisions may at most do."""
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


def rule_set_document(work: RequestClassSpec) -> dict[str, Any]:
    """Return one rule set, with its times in microseconds."""
    return {
        "name": work.name,
        "effect": EFFECTS[work.effect],
        "group": work.deduplication_scope,
        "response-target": milliseconds_to_us(work.latency_objective_ms),
        "client-timeout": milliseconds_to_us(work.client_timeout_ms),
        "repeat-window": milliseconds_to_us(work.deduplication_window_ms),
    }


def resp_document(plan: Plan, seeds: list[str]) -> dict[str, Any]:
    """Return the part for RESP: the addresses that the slot map is first asked from."""
    return {
        "seeds": seeds,
        "timeout-ms": plan.request_classes()[0].client_timeout_ms,
        "tenant": plan.tenants()[0].name,
    }


def gossip_document(
    plan: Plan, balancer: BalancerInstance, others: Iterable[BalancerInstance]
) -> dict[str, Any]:
    """Return what a balancer is told of the others."""
    return {
        "listen": format_address(balancer.gossip_address),
        "key": GOSSIP_KEY,
        "draw-ms": round(plan.rebalance_interval_s * 1000),
        "peers": [format_address(other.gossip_address) for other in others],
    }
