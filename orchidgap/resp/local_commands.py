"""Commands that the balancer answers itself, in the way a cluster node does.

To clients the balancer is a single server that owns all slots. The functions in `LOCAL_COMMANDS`
take the client's session and the command's words, and return the encoded reply.
"""

from __future__ import annotations

from binascii import crc_hqx

from orchidgap.decisions.hash_ranges import SLOT_COUNT
from orchidgap.decisions.slot_map import hash_tag
from orchidgap.resp.commands import COMMANDS, Command, has_valid_length, keys_of
from orchidgap.resp.config import DEFAULT_USER
from orchidgap.resp.session import Session
from orchidgap.resp.writers import (
    encode_array,
    encode_bulk,
    encode_error,
    encode_integer,
    encode_map,
)

OK = b"+OK\r\n"
SERVER_NAME = b"orchidgap"
COMPATIBLE_VERSION = b"7.0.0"
CLUSTER_BUS_OFFSET = 10_000  # offset from a server's port to its cluster bus port
WRONG_PASSWORD = "WRONGPASS invalid username-password pair or user is disabled."
LAST_SLOT = encode_integer(SLOT_COUNT - 1)
FIRST_SLOT = encode_integer(0)
# Categories, tips, key specifications and subcommands of COMMAND INFO: clients require the fields.
EMPTY_COMMAND_FIELDS = (encode_array([]),) * 4


def slot_of_key(key: bytes) -> int:
    """Returns the slot of a key by the public specification: CRC16 (XMODEM) of its hash tag.

    >>> slot_of_key(b"123456789")
    12739
    >>> slot_of_key(b"{user1000}.following") == slot_of_key(b"{user1000}.followers")
    True
    """
    return crc_hqx(hash_tag(key), 0) & (SLOT_COUNT - 1)


def subcommand(words: list[bytes]) -> bytes:
    """Returns the second word in upper case, or empty bytes if there is none."""
    return words[1].upper() if len(words) > 1 else b""


def unknown_subcommand(name: str) -> bytes:
    """Returns the error reply for an unsupported subcommand."""
    return encode_error(f"ERR unknown subcommand or wrong number of arguments for '{name}'")


def hello(session: Session, words: list[bytes]) -> bytes:
    """Handles HELLO [protover [AUTH user secret] [SETNAME name]]."""
    options = [word.upper() for word in words[2:]]
    if len(words) > 1 and words[1] not in (b"2", b"3"):
        return encode_error("NOPROTO unsupported protocol version")
    if b"AUTH" in options:
        position = 2 + options.index(b"AUTH")
        if len(words) < position + 3 or not session.log_in(*words[position + 1 : position + 3]):
            return encode_error(WRONG_PASSWORD)
    if session.user is None:
        return encode_error("NOAUTH HELLO must be called with the client already authenticated.")
    if b"SETNAME" in options and len(words) > 3 + options.index(b"SETNAME"):
        session.client_name = words[3 + options.index(b"SETNAME")]
    if len(words) > 1:
        session.uses_resp3 = words[1] == b"3"
    return encode_map(
        [
            (encode_bulk(b"server"), encode_bulk(SERVER_NAME)),
            (encode_bulk(b"version"), encode_bulk(COMPATIBLE_VERSION)),
            (encode_bulk(b"proto"), encode_integer(3 if session.uses_resp3 else 2)),
            (encode_bulk(b"id"), encode_integer(session.number)),
            (encode_bulk(b"mode"), encode_bulk(b"cluster")),
            (encode_bulk(b"role"), encode_bulk(b"master")),
            (encode_bulk(b"modules"), encode_array([])),
        ],
        session.uses_resp3,
    )


def auth(session: Session, words: list[bytes]) -> bytes:
    """Handles AUTH [user] secret."""
    if len(words) not in (2, 3):
        return encode_error("ERR wrong number of arguments for 'auth' command")
    user = words[1] if len(words) == 3 else DEFAULT_USER
    return OK if session.log_in(user, words[-1]) else encode_error(WRONG_PASSWORD)


def ping(session: Session, words: list[bytes]) -> bytes:
    """Handles PING [text]."""
    return encode_bulk(words[1]) if len(words) > 1 else b"+PONG\r\n"


def echo(session: Session, words: list[bytes]) -> bytes:
    """Handles ECHO text."""
    if len(words) == 2:
        return encode_bulk(words[1])
    return encode_error("ERR wrong number of arguments for 'echo' command")


def select(session: Session, words: list[bytes]) -> bytes:
    """Handles SELECT, which allows only database 0."""
    if words[1:] == [b"0"]:
        return OK
    return encode_error("ERR SELECT is not allowed in cluster mode")


def client(session: Session, words: list[bytes]) -> bytes:
    """Handles CLIENT ID, SETNAME and GETNAME; ignores SETINFO, NO-EVICT and NO-TOUCH."""
    requested = subcommand(words)
    if requested == b"ID":
        return encode_integer(session.number)
    if requested == b"SETNAME" and len(words) == 3:
        session.client_name = words[2]
        return OK
    if requested == b"GETNAME":
        return encode_bulk(session.client_name or None, session.uses_resp3)
    if requested in (b"SETINFO", b"NO-EVICT", b"NO-TOUCH"):
        return OK
    return unknown_subcommand("CLIENT")


def command(session: Session, words: list[bytes]) -> bytes:
    """Handles COMMAND, and COMMAND COUNT, DOCS, GETKEYS and INFO."""
    requested = subcommand(words)
    if requested == b"COUNT":
        return encode_integer(len(COMMANDS))
    if requested == b"DOCS":
        return encode_map([], session.uses_resp3)
    if requested == b"GETKEYS" and len(words) > 2:
        return command_keys(words[2:])
    if requested in (b"", b"INFO"):
        names = [word.upper() for word in words[2:]] or list(COMMANDS)
        null = b"*-1\r\n"
        return encode_array(
            [command_info(COMMANDS[name]) if name in COMMANDS else null for name in names]
        )
    return unknown_subcommand("COMMAND")


def command_keys(words: list[bytes]) -> bytes:
    """Returns the reply to COMMAND GETKEYS."""
    spec = COMMANDS.get(words[0].upper())
    if spec is None or not has_valid_length(spec, words):
        return encode_error("ERR Invalid command specified")
    return encode_array([encode_bulk(key) for key in keys_of(spec, words)])


def command_info(spec: Command) -> bytes:
    """Returns the entry of a command in the reply to COMMAND INFO."""
    flag = b"+write\r\n" if spec.is_write else b"+readonly\r\n"
    return encode_array(
        [
            encode_bulk(spec.name.lower()),
            encode_integer(-spec.min_words),
            encode_array([flag]),
            encode_integer(spec.first_key),
            encode_integer(spec.last_key),
            encode_integer(spec.key_step),
            *EMPTY_COMMAND_FIELDS,
        ]
    )


def cluster(session: Session, words: list[bytes]) -> bytes:
    """Handles CLUSTER SLOTS, SHARDS, NODES, MYID, KEYSLOT and INFO."""
    requested = subcommand(words)
    if requested == b"SLOTS":
        return cluster_slots(session)
    if requested == b"SHARDS":
        return cluster_shards(session)
    if requested == b"NODES":
        return cluster_nodes(session)
    if requested == b"MYID":
        return encode_bulk(session.config.node_id)
    if requested == b"KEYSLOT" and len(words) == 3:
        return encode_integer(slot_of_key(words[2]))
    if requested == b"INFO":
        return encode_bulk(
            b"cluster_state:ok\r\ncluster_slots_assigned:%d\r\ncluster_known_nodes:1\r\n"
            b"cluster_size:1\r\n" % SLOT_COUNT
        )
    return unknown_subcommand("CLUSTER")


def cluster_slots(session: Session) -> bytes:
    """Returns the reply to CLUSTER SLOTS: one range with all slots."""
    host, port = session.config.advertised_address
    node = encode_array(
        [
            encode_bulk(host.encode()),
            encode_integer(port),
            encode_bulk(session.config.node_id),
            encode_array([]),
        ]
    )
    return encode_array([encode_array([FIRST_SLOT, LAST_SLOT, node])])


def cluster_shards(session: Session) -> bytes:
    """Returns the reply to CLUSTER SHARDS: one shard with all slots."""
    host, port = session.config.advertised_address
    address = encode_bulk(host.encode())
    node = encode_map(
        [
            (encode_bulk(b"id"), encode_bulk(session.config.node_id)),
            (encode_bulk(b"port"), encode_integer(port)),
            (encode_bulk(b"ip"), address),
            (encode_bulk(b"endpoint"), address),
            (encode_bulk(b"role"), encode_bulk(b"master")),
            (encode_bulk(b"replication-offset"), encode_integer(0)),
            (encode_bulk(b"health"), encode_bulk(b"online")),
        ],
        session.uses_resp3,
    )
    shard = encode_map(
        [
            (encode_bulk(b"slots"), encode_array([FIRST_SLOT, LAST_SLOT])),
            (encode_bulk(b"nodes"), encode_array([node])),
        ],
        session.uses_resp3,
    )
    return encode_array([shard])


def cluster_nodes(session: Session) -> bytes:
    """Returns the reply to CLUSTER NODES: one line for this balancer."""
    host, port = session.config.advertised_address
    return encode_bulk(
        b"%b %b:%d@%d myself,master - 0 0 1 connected 0-%d\n"
        % (
            session.config.node_id,
            host.encode(),
            port,
            port + CLUSTER_BUS_OFFSET,
            SLOT_COUNT - 1,
        )
    )


def acknowledge(session: Session, words: list[bytes]) -> bytes:
    """Handles READONLY, READWRITE and ASKING, which have no effect as one server owns all slots."""
    return OK


def reset(session: Session, words: list[bytes]) -> bytes:
    """Handles RESET."""
    session.reset()
    return b"+RESET\r\n"


LOCAL_COMMANDS = {
    b"HELLO": hello,
    b"AUTH": auth,
    b"PING": ping,
    b"ECHO": echo,
    b"SELECT": select,
    b"CLIENT": client,
    b"COMMAND": command,
    b"CLUSTER": cluster,
    b"READONLY": acknowledge,
    b"READWRITE": acknowledge,
    b"ASKING": acknowledge,
    b"RESET": reset,
}
