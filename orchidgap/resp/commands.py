"""What the front knows of commands: where their keys stand, and whether they may run twice.

From the public command tables: least words with the name, first key, last key (-1: the last word), step.
A read is replayable. Every write is non-replayable: one that may have run is never sent again, also where
the same write twice would do no harm by itself, since what came between would be lost.
"""

from __future__ import annotations

from typing import NamedTuple


class Command(NamedTuple):
    name: bytes
    least: int  # words, the name included
    first: int  # where its keys begin
    last: int  # where they end: -1 for the last word
    step: int
    write: bool
    split: str = (
        ""  # how answers of parts are joined where its keys lie in several slots: list, sum, or not
    )


READS = """GET 2|STRLEN 2|TYPE 2|TTL 2|PTTL 2|EXPIRETIME 2|PEXPIRETIME 2|GETRANGE 4|GETBIT 3|BITCOUNT 2|
BITPOS 3|HGET 3|HMGET 3|HGETALL 2|HLEN 2|HKEYS 2|HVALS 2|HEXISTS 3|HSTRLEN 3|HSCAN 3|LLEN 2|
LRANGE 4|LINDEX 3|SCARD 2|SISMEMBER 3|SMISMEMBER 3|SMEMBERS 2|SSCAN 3|ZCARD 2|ZSCORE 3|ZMSCORE 3|
ZRANK 3|ZREVRANK 3|ZCOUNT 4|ZRANGE 4|ZRANGEBYSCORE 4|ZREVRANGE 4|ZSCAN 3|DUMP 2|XLEN 2|XRANGE 4|
PFCOUNT 2|GEOPOS 2|GEODIST 4"""
WRITES = """SET 3|SETNX 3|SETEX 4|PSETEX 4|GETSET 3|GETEX 2|GETDEL 2|APPEND 3|SETRANGE 4|SETBIT 4|INCR 2|
DECR 2|INCRBY 3|DECRBY 3|INCRBYFLOAT 3|EXPIRE 3|PEXPIRE 3|EXPIREAT 3|PEXPIREAT 3|PERSIST 2|HSET 4|HSETNX 4|
HDEL 3|HINCRBY 4|HINCRBYFLOAT 4|LPUSH 3|RPUSH 3|LPUSHX 3|RPUSHX 3|LPOP 2|RPOP 2|LSET 4|LTRIM 4|
LREM 4|LINSERT 5|SADD 3|SREM 3|SPOP 2|ZADD 4|ZREM 3|ZINCRBY 4|ZPOPMIN 2|ZPOPMAX 2|
ZREMRANGEBYSCORE 4|ZREMRANGEBYRANK 4|XADD 5|XDEL 3|XTRIM 4|PFADD 2|GEOADD 5|RESTORE 4"""
MANY = (
    Command(b"MGET", 2, 1, -1, 1, False, "list"),
    Command(b"EXISTS", 2, 1, -1, 1, False, "sum"),
    Command(b"TOUCH", 2, 1, -1, 1, False, "sum"),
    Command(b"DEL", 2, 1, -1, 1, True, "sum"),
    Command(b"UNLINK", 2, 1, -1, 1, True, "sum"),
    Command(b"MSET", 3, 1, -1, 2, True),
    Command(b"MSETNX", 3, 1, -1, 2, True),
)
REFUSED = frozenset(
    b"""MULTI EXEC DISCARD WATCH UNWATCH SUBSCRIBE PSUBSCRIBE SSUBSCRIBE UNSUBSCRIBE PUNSUBSCRIBE PUBLISH
SPUBLISH MONITOR BLPOP BRPOP BLMOVE BLMPOP BZPOPMIN BZPOPMAX BZMPOP BRPOPLPUSH XREAD XREADGROUP WAIT
EVAL EVALSHA FCALL SCRIPT FLUSHALL FLUSHDB KEYS SCAN SHUTDOWN CONFIG DEBUG SAVE BGSAVE REPLICAOF
SLAVEOF MIGRATE SORT""".split()
)


def table() -> dict[bytes, Command]:
    """
    >>> COMMANDS[b"GET"].write, COMMANDS[b"INCR"].write, COMMANDS[b"MSET"].step, len(COMMANDS) > 90
    (False, True, 2, True)
    """
    found = {command.name: command for command in MANY}
    for text, write in ((READS, False), (WRITES, True)):
        for entry in text.replace("\n", "").split("|"):
            name, least = entry.split()
            found[name.encode()] = Command(name.encode(), int(least), 1, 1, 1, write)
    return found


COMMANDS = table()


def keys(command: Command, words: list[bytes]) -> list[bytes]:
    """
    >>> keys(COMMANDS[b"MSET"], [b"MSET", b"a", b"1", b"b", b"2"]), keys(COMMANDS[b"GET"], [b"GET", b"a"])
    ([b'a', b'b'], [b'a'])
    """
    last = len(words) - 1 if command.last < 0 else command.last
    return words[command.first : last + 1 : command.step]


def fits(command: Command, words: list[bytes]) -> bool:
    """Whether the count of words is one that the command can have."""
    return len(words) >= command.least and (
        command.step == 1 or (len(words) - command.first) % command.step == 0
    )
