"""What each command does. A command imports what it needs, and only that.

Each returns what the process exits with: nothing for success, a number, or a text for standard
error.
"""

from __future__ import annotations

import os

from orchidgap import VERSION
from orchidgap.arguments import (
    CHANGE_COMMANDS,
    OPERATOR_CALLS,
    SIMULATION_COMMANDS,
    Arguments,
    chosen,
)
from orchidgap.errors import ConfigError

ExitStatus = int | str | None


def run(arguments: Arguments) -> ExitStatus:
    """Run the command that was asked for."""
    if arguments["version"]:
        print(f"orchidgap {VERSION}")
        return None
    if chosen(arguments, SIMULATION_COMMANDS):
        return simulate(arguments)
    if arguments["drill"]:
        from orchidgap.fault_tests import commands as fault_tests

        return fault_tests.main(arguments)
    if arguments["change"]:
        from orchidgap.control import cli

        return cli.main(chosen(arguments, CHANGE_COMMANDS), arguments)
    if arguments["admin"]:
        call = chosen(arguments, OPERATOR_CALLS)
        return call_balancer(call, arguments["--addr"], arguments["--config"])
    try:
        return run_process(arguments)
    except ConfigError as error:
        return f"orchidgap: {error}"


def simulate(arguments: Arguments) -> ExitStatus:
    """Play a simulation, or show one."""
    try:
        from orchidgap.simulation import commands as command
    except ModuleNotFoundError as error:
        return f"orchidgap: {error.name} is missing; `make tools` installs what this command needs"
    return command.main(arguments)


def run_process(arguments: Arguments) -> ExitStatus:
    """Be a control process or a balancer, or check that a balancer could start.

    Raises:
        ConfigError: It could not.
    """
    path = arguments["--config"] or os.environ.get("GW_CONFIG")
    if arguments["control"]:
        from orchidgap.control.process import run as run_control

        run_control(path, arguments["--new"])
        return None
    if arguments["serve"]:
        from orchidgap import composition
        from orchidgap.net.server import serve

        serve(
            path,
            composition.protocol_for,
            make_guarded_node=composition.make_guarded_node,
            make_gossip=composition.make_gossip,
        )
        return None
    return check(path)


def check(path: str | None) -> ExitStatus:
    """Say what the configuration holds. Raises ConfigError where it cannot be used."""
    from orchidgap.composition import protocol_for
    from orchidgap.net import config
    from orchidgap.net.addresses import format_address

    found = config.read(path)
    protocol_for(found)
    _, _, entries, _ = found.initial_endpoints
    print(
        f"balancer {found.name} on {format_address(found.listen)}, list from "
        f"{format_address(found.discovery)}, {len(entries)} hosts known, "
        f"rule sets {', '.join(found.settings.request_classes)}, "
        f"{found.descriptors} descriptors, {found.memory_mb} MB"
    )
    return None


def call_balancer(call: str, address: str | None, path: str | None) -> ExitStatus:
    """Make an operator's call and print the answer."""
    from orchidgap.admin import client
    from orchidgap.net import config
    from orchidgap.net.addresses import parse_address

    try:
        text = address or (None if path else os.environ.get("GW_ADMIN_ADDR"))
        if text:
            target = parse_address(text)
        else:
            found = config.read(path or os.environ.get("GW_CONFIG")).admin
            if found is None:
                return (
                    "orchidgap: no operators' address: "
                    "give --addr, or admin_addr in the configuration"
                )
            target = found
        answer = client.call(target, call)
    except (OSError, ValueError, ConfigError) as error:
        return f"orchidgap: {error}"
    print(answer.line)
    return 0 if answer.succeeded else 1
