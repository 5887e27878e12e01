"""Troubles as a plan names them: each sets something off at its time, and most end by themselves."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVar

from orchidgap.simulation.clients import rude
from orchidgap.simulation.operations import OPS_ACTS
from orchidgap.simulation.plan import Trouble, micros
from orchidgap.simulation.resp_cluster import failover, pointing, reshuffle
from orchidgap.simulation.servers import Store
from orchidgap.simulation.virtual_network import Pairs

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Scene

LINGER = 2.5  # seconds that a draining host goes on with what it has, where the plan does not say

T = TypeVar("T")


def set_off(scene: Scene, trouble: Trouble) -> None:
    """Called at the trouble's time."""
    what = f"{trouble.kind} {trouble.target} {trouble.part:g} {trouble.size:g}"
    scene.referee.event(scene.loop.now, " ".join(what.split()))
    if trouble.kind in OPS_ACTS:
        return OPS_ACTS[trouble.kind](scene, trouble, posts(scene, trouble))
    ACTS[trouble.kind](scene, trouble)


def some(scene: Scene, trouble: Trouble, all_: list[T], name: Callable[[T], str]) -> list[T]:
    """The target by name, or the part of all (one at least), drawn by the seed."""
    if trouble.target:
        return [one for one in all_ if name(one) == trouble.target]
    count = max(1, round(trouble.part * len(all_)))
    return scene.rng.sample(all_, min(count, len(all_)))


def caches(scene: Scene, trouble: Trouble) -> list[Store]:
    """A cache host by name, also an origin; else a part of the caches that run."""
    there = [store for store in scene.stores.values() if store.alive]
    if trouble.target:
        return [store for store in there if store.id == trouble.target]
    return some(
        scene, trouble, [store for store in there if not store.is_origin], lambda store: store.id
    )


def posts(scene: Scene, trouble: Trouble) -> list[str]:
    return some(scene, trouble, list(scene.posts), str)


def later(scene: Scene, trouble: Trouble, act: Callable[..., None], *args: object) -> None:
    scene.loop.call_later(micros(trouble.for_s), act, *args)


def forget(what: dict[str, float], name: str) -> None:
    what.pop(name, None)


def for_a_time(
    scene: Scene, trouble: Trouble, things: list[Any], name: str, value: object, usual: object
) -> None:
    """One attribute of some things is another until the trouble ends, then the usual."""

    def put(what: object) -> None:
        for thing in things:
            setattr(thing, name, what)

    put(value)
    later(scene, trouble, put, usual)


def crash(scene: Scene, trouble: Trouble) -> None:
    for store in caches(scene, trouble):
        store.stop()
        scene.listing.gone_later(store.id, scene.plan.listing.notice_s)
        later(scene, trouble, store.revive)


def vanish(scene: Scene, trouble: Trouble) -> None:
    for store in caches(scene, trouble):
        store.vanish(True)
        scene.listing.gone_later(store.id, scene.plan.listing.silent_s)
        later(scene, trouble, store.vanish, False)


def stall(scene: Scene, trouble: Trouble) -> None:
    """Hosts stand still for `size` seconds (0.4 where it is 0), again and again until the trouble ends."""
    hosts, end = caches(scene, trouble), scene.loop.now + micros(trouble.for_s)
    length = micros(trouble.size or 0.4)

    def again() -> None:
        if scene.loop.now < end:
            for store in hosts:
                store.stand(scene.loop.now + length)
            scene.loop.call_later(length + scene.rng.randrange(length, 4 * length), again)

    again()


def slow(scene: Scene, trouble: Trouble) -> None:
    for_a_time(scene, trouble, caches(scene, trouble), "slow", trouble.size or 3.0, 1.0)


def drain_one(scene: Scene, store: Store, back: int | None, linger: float = LINGER) -> None:
    """Listed as draining at once; it ends some seconds later, and may come back cold."""
    if not store.alive:
        return
    scene.listing.put(store.id, "Terminating")

    def end() -> None:
        if store.alive:
            store.stop()
            scene.listing.put(store.id, "Gone")
            if back is not None:
                scene.loop.call_later(back, store.revive)

    def refuse() -> None:
        store.draining = store.alive

    scene.loop.call_later(micros(scene.plan.ceilings.drain_grace_ms / 1e3) + 200_000, refuse)
    scene.loop.call_later(micros(linger), end)


def drain(scene: Scene, trouble: Trouble) -> None:
    for store in caches(scene, trouble):
        drain_one(scene, store, micros(trouble.for_s), trouble.size or LINGER)


def deploy(scene: Scene, trouble: Trouble) -> None:
    """One batch of hosts after another, spread over the time; successors start cold."""
    hosts = caches(scene, trouble)
    for i, store in enumerate(hosts):
        at = micros(trouble.for_s) * i // len(hosts)
        scene.loop.call_later(at, drain_one, scene, store, 500_000)


def shrink(scene: Scene, trouble: Trouble) -> None:
    hosts = caches(scene, trouble)
    for i, store in enumerate(hosts):
        scene.loop.call_later(
            micros(trouble.for_s) * i // len(hosts), drain_one, scene, store, None
        )


def flush(scene: Scene, trouble: Trouble) -> None:
    for store in scene.stores.values():
        store.flush(trouble.part or 0.9)


def scan(scene: Scene, trouble: Trouble) -> None:
    for_a_time(scene, trouble, [scene.callers], "scan", trouble.size or 0.1, 0.0)


def hot_key(scene: Scene, trouble: Trouble) -> None:
    """`size` of all reqs ask for one to three keys."""
    keys = scene.rng.sample(
        range(scene.plan.keys.count // 4, scene.plan.keys.count), scene.rng.randrange(1, 4)
    )
    hot = (trouble.size or 0.2, [int(trouble.target)] if trouble.target.isdigit() else keys)
    for_a_time(scene, trouble, [scene.callers], "hot", hot, (0.0, []))


def hot_tenant(scene: Scene, trouble: Trouble) -> None:
    name = trouble.target or scene.plan.tenants()[0].name
    scene.callers.swell[name] = trouble.size or 4.0
    later(scene, trouble, forget, scene.callers.swell, name)


def lopsided(scene: Scene, trouble: Trouble) -> None:
    """One balancer suddenly carries `size` of all traffic."""
    name = posts(scene, trouble)[0]
    scene.callers.lop[name] = min(0.95, trouble.size or 0.7)
    later(scene, trouble, forget, scene.callers.lop, name)


def balancer_kill(scene: Scene, trouble: Trouble) -> None:
    for name in posts(scene, trouble):
        scene.posts[name].kill()
        later(scene, trouble, again, scene, name)


def again(scene: Scene, name: str) -> None:
    """It starts anew under its name, with nothing but the list it last had."""
    post = scene.posts[name]
    if not post.alive:
        seq, hosts = scene.listing.agents[name].last
        if not hosts:
            _, hosts = scene.listing.since(None, seq)
        post.begin({"seq": seq, "whole": True, "hosts": hosts})


def balancer_roll(scene: Scene, trouble: Trouble) -> None:
    """One after another gets SIGTERM and starts again."""
    names = posts(scene, trouble)
    for i, name in enumerate(names):
        scene.loop.call_later(micros(trouble.for_s) * i // len(names), roll_one, scene, name)


def roll_one(scene: Scene, name: str) -> None:
    post = scene.posts[name]
    post.leave()
    life = post.life

    def look() -> None:
        if post.life == life:
            if not post.alive:
                return again(scene, name)
            scene.loop.call_later(100_000, look)

    scene.loop.call_later(500_000, look)


def discovery(
    scene: Scene, trouble: Trouble, gone: bool = False, late: int = 0, frozen: bool = False
) -> None:
    agents = [
        scene.listing.agents[name]
        for name in (posts(scene, trouble) if trouble.target or trouble.part else scene.posts)
    ]
    for agent in agents:
        agent.set(gone, late, frozen)

    def end() -> None:
        for agent in agents:
            agent.set()

    later(scene, trouble, end)


def discovery_crowded(scene: Scene, trouble: Trouble) -> None:
    """`size` of the calls for the list are turned away (0.9)."""
    agents = list(scene.listing.agents.values())
    for_a_time(scene, trouble, agents, "crowded", trouble.size or 0.9, 0.0)
    for agent in agents:  # a watch that is under way ends, too
        for link in list(agent.links):
            link.conn.close()
            agent.links.pop(link, None)


def cut(scene: Scene, trouble: Trouble, hosts: list[Store], names: list[str]) -> None:
    if not isinstance(scene.ground, Pairs):
        for store in hosts:  # no way between two processes can be cut: the host is silent to all
            store.vanish(True)
            later(scene, trouble, store.vanish, False)
        return
    for name in names:
        for store in hosts:
            scene.ground.cut[name, store.address] = True
            store.part(name, True)

    def end() -> None:
        assert isinstance(scene.ground, Pairs)
        for name in names:
            for store in hosts:
                scene.ground.cut.pop((name, store.address), None)
                store.part(name, False)

    later(scene, trouble, end)


def link_loss(scene: Scene, trouble: Trouble) -> None:
    """A share of the ways between balancers and hosts falls silent, drawn one by one."""
    part = trouble.part or 0.2
    for store in scene.stores.values():
        if not store.is_origin:
            names = [name for name in scene.posts if scene.rng.random() < part]
            if names:
                cut(scene, trouble, [store], names)


def partition(scene: Scene, trouble: Trouble) -> None:
    """Some balancers lose a part of the hosts."""
    names = (
        [trouble.target]
        if trouble.target
        else scene.rng.sample(list(scene.posts), max(1, len(scene.posts) // 2))
    )
    hosts = [store for store in scene.stores.values() if not store.is_origin]
    count = max(1, round((trouble.part or 0.4) * len(hosts)))
    cut(scene, trouble, scene.rng.sample(hosts, count), names)


def spoilt(scene: Scene, trouble: Trouble) -> None:
    for_a_time(scene, trouble, caches(scene, trouble), "spoilt", trouble.size or 0.2, 0.0)


def bad_clients(scene: Scene, trouble: Trouble) -> None:
    """`size` a second."""
    rude(scene.callers, scene.loop.now + micros(trouble.for_s), round(1e6 / (trouble.size or 20.0)))


def origins(scene: Scene) -> list[Store]:
    return [store for store in scene.stores.values() if store.is_origin]


def slow_origin(scene: Scene, trouble: Trouble) -> None:
    for_a_time(scene, trouble, origins(scene), "slow", trouble.size or 4.0, 1.0)


def stopped_origin(scene: Scene, trouble: Trouble) -> None:
    for store in origins(scene):
        store.stop()
        later(scene, trouble, store.revive, False)


def load(scene: Scene, trouble: Trouble) -> None:
    for_a_time(scene, trouble, [scene.callers], "load", trouble.size or 4.0, 1.0)


ACTS: dict[str, Callable[[Scene, Trouble], None]] = {
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
    "discovery-gone": lambda scene, trouble: discovery(scene, trouble, gone=True),
    "discovery-late": lambda scene, trouble: discovery(
        scene, trouble, late=micros(trouble.size or 4.0)
    ),
    "discovery-stale": lambda scene, trouble: discovery(scene, trouble, frozen=True),
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
