"""Keys and values of a simulation, and the initial contents of its caches."""

from __future__ import annotations

from binascii import crc_hqx
from random import Random

from orchidgap.decisions.hash_ranges import SLOT_COUNT
from orchidgap.net.request_key import key_number
from orchidgap.simulation.baselines import even_range_owner
from orchidgap.simulation.environment import PolicyFactory
from orchidgap.simulation.plan import Plan
from orchidgap.simulation.servers import SimulatedHost


def value_size_bytes(plan: Plan, key: int) -> int:
    """Return the size of a key's value: most are small, one in sixteen is large."""
    keys = plan.keys
    bodies = plan.large_bodies
    if bodies.large_key_ratio and key * 40_503 % 1_000 < bodies.large_key_ratio * 1_000:
        return bodies.body_bytes + key % 1_000
    return keys.max_value_bytes if key * 2_654_435_761 % 16 == 0 else keys.min_value_bytes


def client_key_of(number: int | None) -> int:
    """Return the clients' number of the key with this number in the decisions; -1 for none."""
    value = number or 0
    text = value.to_bytes((value.bit_length() + 7) // 8)
    return int(text[1:] or b"-1")


def slot_of(key: bytes) -> int:
    """Return the slot that the decisions compute for a key of the path."""
    return crc_hqx(b"%d" % (key_number(key) or 0), 0) & (SLOT_COUNT - 1)


def fill_caches(
    plan: Plan, rng: Random, policy_factory: PolicyFactory, caches: list[SimulatedHost]
) -> None:
    """Fill the caches with the hottest keys, as its policies would have spread them."""
    hot_count = min(plan.keys.count, plan.cache.capacity_keys * plan.cache_count)
    initial_owners = getattr(policy_factory, "initial_owners", even_range_owner)
    ids = [cache.id for cache in caches]
    for key in reversed(range(hot_count)):  # the hottest last, as they are evicted last
        if rng.random() < plan.keys.warm_ratio:
            for i in initial_owners(slot_of(b"k%d" % key), ids):
                caches[i].store_copy(key)
