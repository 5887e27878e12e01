"""A control process's configuration: one JSON file, whose keys are used only in this module."""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from orchidgap.errors import ConfigError
from orchidgap.net.addresses import Address, format_address, parse_address

NAME = "name"
PROCESSES = "control"
FOLDER = "dir"
LEASE = "lease-ms"
GIVE_UP = "give-up-ms"
BEYOND_LOOPBACK = "beyond-loopback"

PROCESS_COUNTS = (1, 3, 5)
DEFAULT_LEASE_MS = 10_000
DEFAULT_GIVE_UP_LEASES = 6
MIN_LEASE_US = 1_000_000
MAX_LEASE_US = 600_000_000


@dataclass(frozen=True)
class ProcessConfig:
    """A control process's configuration.

    Attributes:
        name: The name of this process.
        addresses: The listen address of each process by name, including this one.
        folder: The folder of its register.
        lease_us: The duration of a lease.
        give_up_us: How long a proposal may wait for balancers before it is dropped.
        beyond_loopback: Whether the process may listen on an address other than loopback.
    """

    name: str
    addresses: Mapping[str, Address]
    folder: str
    lease_us: int
    give_up_us: int
    beyond_loopback: bool

    @property
    def listen_address(self) -> Address:
        """The listen address of this process."""
        return self.addresses[self.name]


def read_process_config(path: str) -> ProcessConfig:
    """Read and check a configuration file.

    Raises:
        ConfigError: The file cannot be read or is invalid.
    """
    try:
        config = _parse(orjson.loads(Path(path).read_bytes()))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}", location=path) from None
    except KeyError as error:
        key = error.args[0]
        raise ConfigError(f"{path}: {key} is missing", location=path, key=key) from None
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}", location=path) from None
    _check(path, config)
    return config


def _parse(wire: Any) -> ProcessConfig:
    name = str(wire[NAME])
    addresses = {str(other): parse_address(text) for other, text in wire[PROCESSES].items()}
    lease_us = int(wire.get(LEASE, DEFAULT_LEASE_MS)) * 1000
    folder = str(wire[FOLDER])
    give_up_us = int(wire.get(GIVE_UP, lease_us // 1000 * DEFAULT_GIVE_UP_LEASES)) * 1000
    beyond_loopback = wire.get(BEYOND_LOOPBACK, False) is True
    return ProcessConfig(name, addresses, folder, lease_us, give_up_us, beyond_loopback)


def _check(path: str, config: ProcessConfig) -> None:
    if config.name not in config.addresses:
        raise ConfigError(
            f"{path}: control contains no address for {config.name}", location=path, key=PROCESSES
        )
    if len(config.addresses) not in PROCESS_COUNTS:
        raise ConfigError(
            f"{path}: {len(config.addresses)} control processes; must be 1, 3 or 5",
            location=path,
            key=PROCESSES,
            expected="1, 3 or 5",
        )
    if not MIN_LEASE_US <= config.lease_us <= MAX_LEASE_US or config.give_up_us < config.lease_us:
        raise ConfigError(
            f"{path}: lease-ms must be from 1000 to 600000, and give-up-ms at least lease-ms",
            location=path,
            key=LEASE,
            expected="1000 to 600000",
        )
    host = config.listen_address[0]
    if not ipaddress.IPv4Address(host).is_loopback and not config.beyond_loopback:
        raise ConfigError(
            f"{path}: {format_address(config.listen_address)} is not a loopback address; "
            "set beyond-loopback to true to allow it; anyone who reaches it can change the policy",
            location=path,
            key=BEYOND_LOOPBACK,
            expected="true",
        )
