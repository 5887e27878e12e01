"""Command table: the positions of a command's keys, and whether it is a write.

The data is from the public command tables. Whether a read may be repeated is a property of its
request class. Every write counts as not idempotent whatever its class, and one that may have
executed is never resent: commands carry no idempotency key by which a server could recognize a
repeat. This includes writes such as SET, whose repetition would overwrite any write that another
client made between the two executions.
"""

from __future__ import annotations

from typing import NamedTuple

from orchidgap.decisions.repeat_safety import Idempotency

LAST_WORD = -1


class Command(NamedTuple):
    """The properties of one command.

    Attributes:
        name: the name in upper case.
        min_words: the minimum number of words, including the name.
        first_key: index of the word that is the first key.
        last_key: index of the word that is the last key, or `LAST_WORD`.
        key_step: distance in words between two keys.
        is_write: whether the command modifies data.
        join: how the answers of the parts are combined if the keys are in several slots: `list`
            or `sum`; empty if the command cannot be split.
    """

    name: bytes
    min_words: int
    first_key: int
    last_key: int
    key_step: int
    is_write: bool
    join: str = ""

    @property
    def idempotency(self) -> Idempotency:
        """What the command tells of repeats."""
        return Idempotency.NEVER if self.is_write else Idempotency.UNKEYED


# Commands with one key, each with its minimum number of words.
READS = """GET 2|STRLEN 2|TYPE 2|TTL 2|PTTL 2|EXPIRETIME 2|PEXPIRETIME 2|GETRANGE 4|GETBIT 3|
BITCOUNT 2|BITPOS 3|HGET 3|HMGET 3|HGETALL 2|HLEN 2|HKEYS 2|HVALS 2|HEXISTS 3|HSTRLEN 3|HSCAN 3|
LLEN 2|LRANGE 4|LINDEX 3|SCARD 2|SISMEMBER 3|SMISMEMBER 3|SMEMBERS 2|SSCAN 3|ZCARD 2|ZSCORE 3|
ZMSCORE 3|ZRANK 3|ZREVRANK 3|ZCOUNT 4|ZRANGE 4|ZRANGEBYSCORE 4|ZREVRANGE 4|ZSCAN 3|DUMP 2|XLEN 2|
XRANGE 4|PFCOUNT 2|GEOPOS 2|GEODIST 4"""
WRITES = """SET 3|SETNX 3|SETEX 4|PSETEX 4|GETSET 3|GETEX 2|GETDEL 2|APPEND 3|SETRANGE 4|SETBIT 4|
INCR 2|DECR 2|INCRBY 3|DECRBY 3|INCRBYFLOAT 3|EXPIRE 3|PEXPIRE 3|EXPIREAT 3|PEXPIREAT 3|PERSIST 2|
HSET 4|HSETNX 4|HDEL 3|HINCRBY 4|HINCRBYFLOAT 4|LPUSH 3|RPUSH 3|LPUSHX 3|RPUSHX 3|LPOP 2|RPOP 2|
LSET 4|LTRIM 4|LREM 4|LINSERT 5|SADD 3|SREM 3|SPOP 2|ZADD 4|ZREM 3|ZINCRBY 4|ZPOPMIN 2|ZPOPMAX 2|
ZREMRANGEBYSCORE 4|ZREMRANGEBYRANK 4|XADD 5|XDEL 3|XTRIM 4|PFADD 2|GEOADD 5|RESTORE 4"""
WITH_MANY_KEYS = (
    Command(b"MGET", 2, 1, LAST_WORD, 1, False, "list"),
    Command(b"EXISTS", 2, 1, LAST_WORD, 1, False, "sum"),
    Command(b"TOUCH", 2, 1, LAST_WORD, 1, False, "sum"),
    Command(b"DEL", 2, 1, LAST_WORD, 1, True, "sum"),
    Command(b"UNLINK", 2, 1, LAST_WORD, 1, True, "sum"),
    Command(b"MSET", 3, 1, LAST_WORD, 2, True),
    Command(b"MSETNX", 3, 1, LAST_WORD, 2, True),
)
# Known commands that the balancer does not support; their error differs from that of unknown ones.
UNSUPPORTED = frozenset(
    b"""MULTI EXEC DISCARD WATCH UNWATCH SUBSCRIBE PSUBSCRIBE SSUBSCRIBE UNSUBSCRIBE PUNSUBSCRIBE
PUBLISH SPUBLISH MONITOR BLPOP BRPOP BLMOVE BLMPOP BZPOPMIN BZPOPMAX BZMPOP BRPOPLPUSH XREAD
XREADGROUP WAIT EVAL EVALSHA FCALL SCRIPT FLUSHALL FLUSHDB KEYS SCAN SHUTDOWN CONFIG DEBUG SAVE
BGSAVE REPLICAOF SLAVEOF MIGRATE SORT""".split()
)


def command_table() -> dict[bytes, Command]:
    """Returns all supported commands that are forwarded to servers, by name.

    >>> COMMANDS[b"GET"].is_write, COMMANDS[b"INCR"].is_write, COMMANDS[b"MSET"].key_step
    (False, True, 2)
    >>> len(COMMANDS) > 90
    True
    """
    table = {command.name: command for command in WITH_MANY_KEYS}
    for text, is_write in ((READS, False), (WRITES, True)):
        for entry in text.replace("\n", "").split("|"):
            word, min_words = entry.split()
            name = word.encode()
            table[name] = Command(name, int(min_words), 1, 1, 1, is_write)
    return table


COMMANDS = command_table()


def keys_of(command: Command, words: list[bytes]) -> list[bytes]:
    """Returns the keys among the words of a command.

    >>> keys_of(COMMANDS[b"MSET"], [b"MSET", b"a", b"1", b"b", b"2"])
    [b'a', b'b']
    >>> keys_of(COMMANDS[b"GET"], [b"GET", b"a"])
    [b'a']
    """
    last = len(words) - 1 if command.last_key == LAST_WORD else command.last_key
    return words[command.first_key : last + 1 : command.key_step]


def has_valid_length(command: Command, words: list[bytes]) -> bool:
    """Returns whether the number of words is valid for the command."""
    if len(words) < command.min_words:
        return False
    return (len(words) - command.first_key) % command.key_step == 0
