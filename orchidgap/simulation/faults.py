"""Troubles as a plan names them: each sets something off at its time, and most end by themselves."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVar

from orchidgap.simulation.clients import rude
from orchidgap.simulation.operations import OPS_ACTS
from orchidgap.simulation.plan import Fault, seconds_to_us
from orchidgap.simulation.resp_cluster import failover, pointing, reshuffle
from orchidgap.simulation.servers import Store
from orchidgap.simulation.virtual_network import VirtualNetwork

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

LINGER = 2.5  # seconds that a draining host goes on with what it has, where the plan does not say

T = TypeVar("T")


def start_fault(environment: Environment, trouble: Fault) -> None:
    """Called at the trouble's time."""
    what = f"{trouble.kind} {trouble.target} {trouble.target_ratio:g} {trouble.magnitude:g}"
    environment.referee.record_event(environment.loop.now, " ".join(what.split()))
    if trouble.kind in OPS_ACTS:
        return OPS_ACTS[trouble.kind](environment, trouble, balancers(environment, trouble))
    FAULTS[trouble.kind](environment, trouble)


def some(
    environment: Environment, trouble: Fault, all_: list[T], name: Callable[[T], str]
) -> list[T]:
    """The target by name, or the part of all (one at least), drawn by the seed."""
    if trouble.target:
        return [one for one in all_ if name(one) == trouble.target]
    count = max(1, round(trouble.target_ratio * len(all_)))
    return environment.rng.sample(all_, min(count, len(all_)))


def caches(environment: Environment, trouble: Fault) -> list[Store]:
    """A cache host by name, also an origin; else a part of the caches that run."""
    there = [store for store in environment.servers.values() if store.alive]
    if trouble.target:
        return [store for store in there if store.id == trouble.target]
    return some(
        environment,
        trouble,
        [store for store in there if not store.is_origin],
        lambda store: store.id,
    )


def balancers(environment: Environment, trouble: Fault) -> list[str]:
    return some(environment, trouble, list(environment.balancers), str)


def later(
    environment: Environment, trouble: Fault, act: Callable[..., None], *args: object
) -> None:
    environment.loop.call_later(seconds_to_us(trouble.duration_s), act, *args)


def forget(what: dict[str, float], name: str) -> None:
    what.pop(name, None)


def for_a_time(
    environment: Environment,
    trouble: Fault,
    things: list[Any],
    name: str,
    value: object,
    usual: object,
) -> None:
    """One attribute of some things is another until the trouble ends, then the usual."""

    def put(what: object) -> None:
        for thing in things:
            setattr(thing, name, what)

    put(value)
    later(environment, trouble, put, usual)


def crash(environment: Environment, trouble: Fault) -> None:
    for store in caches(environment, trouble):
        store.stop()
        environment.listing.gone_later(store.id, environment.plan.discovery.removal_delay_s)
        later(environment, trouble, store.revive)


def vanish(environment: Environment, trouble: Fault) -> None:
    for store in caches(environment, trouble):
        store.vanish(True)
        environment.listing.gone_later(store.id, environment.plan.discovery.silent_removal_delay_s)
        later(environment, trouble, store.vanish, False)


def stall(environment: Environment, trouble: Fault) -> None:
    """Hosts stand still for `size` seconds (0.4 where it is 0), again and again until the trouble ends."""
    hosts, end = (
        caches(environment, trouble),
        environment.loop.now + seconds_to_us(trouble.duration_s),
    )
    length = seconds_to_us(trouble.magnitude or 0.4)

    def again() -> None:
        if environment.loop.now < end:
            for store in hosts:
                store.stand(environment.loop.now + length)
            environment.loop.call_later(
                length + environment.rng.randrange(length, 4 * length), again
            )

    again()


def slow(environment: Environment, trouble: Fault) -> None:
    for_a_time(
        environment, trouble, caches(environment, trouble), "slow", trouble.magnitude or 3.0, 1.0
    )


def drain_one(
    environment: Environment, store: Store, back: int | None, linger: float = LINGER
) -> None:
    """Listed as draining at once; it ends some seconds later, and may come back cold."""
    if not store.alive:
        return
    environment.listing.put(store.id, "Terminating")

    def end() -> None:
        if store.alive:
            store.stop()
            environment.listing.put(store.id, "Gone")
            if back is not None:
                environment.loop.call_later(back, store.revive)

    def refuse() -> None:
        store.draining = store.alive

    environment.loop.call_later(
        seconds_to_us(environment.plan.limits.drain_grace_ms / 1e3) + 200_000, refuse
    )
    environment.loop.call_later(seconds_to_us(linger), end)


def drain(environment: Environment, trouble: Fault) -> None:
    for store in caches(environment, trouble):
        drain_one(
            environment, store, seconds_to_us(trouble.duration_s), trouble.magnitude or LINGER
        )


def deploy(environment: Environment, trouble: Fault) -> None:
    """One batch of hosts after another, spread over the time; successors start cold."""
    hosts = caches(environment, trouble)
    for i, store in enumerate(hosts):
        at = seconds_to_us(trouble.duration_s) * i // len(hosts)
        environment.loop.call_later(at, drain_one, environment, store, 500_000)


def shrink(environment: Environment, trouble: Fault) -> None:
    hosts = caches(environment, trouble)
    for i, store in enumerate(hosts):
        environment.loop.call_later(
            seconds_to_us(trouble.duration_s) * i // len(hosts), drain_one, environment, store, None
        )


def flush(environment: Environment, trouble: Fault) -> None:
    for store in environment.servers.values():
        store.flush(trouble.target_ratio or 0.9)


def scan(environment: Environment, trouble: Fault) -> None:
    for_a_time(environment, trouble, [environment.clients], "scan", trouble.magnitude or 0.1, 0.0)


def hot_key(environment: Environment, trouble: Fault) -> None:
    """`size` of all reqs ask for one to three keys."""
    keys = environment.rng.sample(
        range(environment.plan.keys.count // 4, environment.plan.keys.count),
        environment.rng.randrange(1, 4),
    )
    hot = (trouble.magnitude or 0.2, [int(trouble.target)] if trouble.target.isdigit() else keys)
    for_a_time(environment, trouble, [environment.clients], "hot", hot, (0.0, []))


def hot_tenant(environment: Environment, trouble: Fault) -> None:
    name = trouble.target or environment.plan.tenants()[0].name
    environment.clients.swell[name] = trouble.magnitude or 4.0
    later(environment, trouble, forget, environment.clients.swell, name)


def lopsided(environment: Environment, trouble: Fault) -> None:
    """One balancer suddenly carries `size` of all traffic."""
    name = balancers(environment, trouble)[0]
    environment.clients.lop[name] = min(0.95, trouble.magnitude or 0.7)
    later(environment, trouble, forget, environment.clients.lop, name)


def balancer_kill(environment: Environment, trouble: Fault) -> None:
    for name in balancers(environment, trouble):
        environment.balancers[name].kill()
        later(environment, trouble, again, environment, name)


def again(environment: Environment, name: str) -> None:
    """It starts anew under its name, with nothing but the list it last had."""
    post = environment.balancers[name]
    if not post.alive:
        seq, hosts = environment.listing.agents[name].last
        if not hosts:
            _, hosts = environment.listing.since(None, seq)
        post.start({"seq": seq, "whole": True, "hosts": hosts})


def balancer_roll(environment: Environment, trouble: Fault) -> None:
    """One after another gets SIGTERM and starts again."""
    names = balancers(environment, trouble)
    for i, name in enumerate(names):
        environment.loop.call_later(
            seconds_to_us(trouble.duration_s) * i // len(names), roll_one, environment, name
        )


def roll_one(environment: Environment, name: str) -> None:
    post = environment.balancers[name]
    post.shut_down()
    life = post.incarnation

    def look() -> None:
        if post.incarnation == life:
            if not post.alive:
                return again(environment, name)
            environment.loop.call_later(100_000, look)

    environment.loop.call_later(500_000, look)


def discovery(
    environment: Environment,
    trouble: Fault,
    gone: bool = False,
    late: int = 0,
    frozen: bool = False,
) -> None:
    agents = [
        environment.listing.agents[name]
        for name in (
            balancers(environment, trouble)
            if trouble.target or trouble.target_ratio
            else environment.balancers
        )
    ]
    for agent in agents:
        agent.set(gone, late, frozen)

    def end() -> None:
        for agent in agents:
            agent.set()

    later(environment, trouble, end)


def discovery_crowded(environment: Environment, trouble: Fault) -> None:
    """`size` of the calls for the list are turned away (0.9)."""
    agents = list(environment.listing.agents.values())
    for_a_time(environment, trouble, agents, "crowded", trouble.magnitude or 0.9, 0.0)
    for agent in agents:  # a watch that is under way ends, too
        for link in list(agent.links):
            link.conn.close()
            agent.links.pop(link, None)


def cut(environment: Environment, trouble: Fault, hosts: list[Store], names: list[str]) -> None:
    if not isinstance(environment.network, VirtualNetwork):
        for store in hosts:  # no way between two processes can be cut: the host is silent to all
            store.vanish(True)
            later(environment, trouble, store.vanish, False)
        return
    for name in names:
        for store in hosts:
            environment.network.cut[name, store.address] = True
            store.part(name, True)

    def end() -> None:
        assert isinstance(environment.network, VirtualNetwork)
        for name in names:
            for store in hosts:
                environment.network.cut.pop((name, store.address), None)
                store.part(name, False)

    later(environment, trouble, end)


def link_loss(environment: Environment, trouble: Fault) -> None:
    """A share of the ways between balancers and hosts falls silent, drawn one by one."""
    part = trouble.target_ratio or 0.2
    for store in environment.servers.values():
        if not store.is_origin:
            names = [name for name in environment.balancers if environment.rng.random() < part]
            if names:
                cut(environment, trouble, [store], names)


def partition(environment: Environment, trouble: Fault) -> None:
    """Some balancers lose a part of the hosts."""
    names = (
        [trouble.target]
        if trouble.target
        else environment.rng.sample(
            list(environment.balancers), max(1, len(environment.balancers) // 2)
        )
    )
    hosts = [store for store in environment.servers.values() if not store.is_origin]
    count = max(1, round((trouble.target_ratio or 0.4) * len(hosts)))
    cut(environment, trouble, environment.rng.sample(hosts, count), names)


def spoilt(environment: Environment, trouble: Fault) -> None:
    for_a_time(
        environment, trouble, caches(environment, trouble), "spoilt", trouble.magnitude or 0.2, 0.0
    )


def bad_clients(environment: Environment, trouble: Fault) -> None:
    """`size` a second."""
    rude(
        environment.clients,
        environment.loop.now + seconds_to_us(trouble.duration_s),
        round(1e6 / (trouble.magnitude or 20.0)),
    )


def origins(environment: Environment) -> list[Store]:
    return [store for store in environment.servers.values() if store.is_origin]


def slow_origin(environment: Environment, trouble: Fault) -> None:
    for_a_time(environment, trouble, origins(environment), "slow", trouble.magnitude or 4.0, 1.0)


def stopped_origin(environment: Environment, trouble: Fault) -> None:
    for store in origins(environment):
        store.stop()
        later(environment, trouble, store.revive, False)


def load(environment: Environment, trouble: Fault) -> None:
    for_a_time(environment, trouble, [environment.clients], "load", trouble.magnitude or 4.0, 1.0)


FAULTS: dict[str, Callable[[Environment, Fault], None]] = {
    "crash": crash,
    "vanish": vanish,
    "stall": stall,
    "slow": slow,
    "deploy": deploy,
    "shrink": shrink,
    "drain": drain,
    "flush": flush,
    "scan": scan,
    "hot-key": hot_key,
    "hot-tenant": hot_tenant,
    "lopsided": lopsided,
    "balancer-kill": balancer_kill,
    "balancer-roll": balancer_roll,
    "discovery-gone": lambda environment, trouble: discovery(environment, trouble, gone=True),
    "discovery-late": lambda environment, trouble: discovery(
        environment, trouble, late=seconds_to_us(trouble.magnitude or 4.0)
    ),
    "discovery-stale": lambda environment, trouble: discovery(environment, trouble, frozen=True),
    "discovery-crowded": discovery_crowded,
    "link-loss": link_loss,
    "partition": partition,
    "spoilt": spoilt,
    "bad-clients": bad_clients,
    "slow-origin": slow_origin,
    "stopped-origin": stopped_origin,
    "load": load,
    "reshuffle": reshuffle,
    "failover": failover,
    "pointing": pointing,
}
