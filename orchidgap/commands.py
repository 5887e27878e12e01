"""Implements the commands of the command line. Each one imports only the modules that it needs.

A command returns the exit status for `sys.exit`: None for success, a number, or a text that is
printed to standard error.
"""

from __future__ import annotations

import os

from orchidgap import VERSION
from orchidgap.arguments import (
    CHANGE_COMMANDS,
    OPERATOR_CALLS,
    SIMULATION_COMMANDS,
    Arguments,
    selected_name,
)
from orchidgap.errors import ConfigError

ExitStatus = int | str | None


def run(arguments: Arguments) -> ExitStatus:
    """Run the command that the arguments select."""
    if arguments["version"]:
        print(f"orchidgap {VERSION}")
        return None
    if selected_name(arguments, SIMULATION_COMMANDS):
        return simulate(arguments)
    if arguments["drill"]:
        from orchidgap.fault_tests import commands as fault_tests

        return fault_tests.main(arguments)
    if arguments["change"]:
        from orchidgap.control import cli

        return cli.main(selected_name(arguments, CHANGE_COMMANDS), arguments)
    if arguments["admin"]:
        call = selected_name(arguments, OPERATOR_CALLS)
        return call_balancer(call, arguments["--addr"], arguments["--config"])
    try:
        return run_process(arguments)
    except ConfigError as error:
        return f"orchidgap: {error}"


def simulate(arguments: Arguments) -> ExitStatus:
    """Run a simulation command, or report that its dependencies are missing."""
    try:
        from orchidgap.simulation import commands as command
    except ModuleNotFoundError as error:
        return f"orchidgap: {error.name} is missing; `make tools` installs what this command needs"
    return command.main(arguments)


def run_process(arguments: Arguments) -> ExitStatus:
    """Run a control process or a balancer, or check a balancer's configuration.

    Raises:
        ConfigError: The process cannot start with its configuration.
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
            composition.create_protocol,
            make_guarded_node=composition.make_guarded_node,
            make_gossip=composition.make_gossip,
        )
        return None
    return check(path)


def check(path: str | None) -> ExitStatus:
    """Print a summary of the configuration. Raises ConfigError if it is not valid."""
    from orchidgap.composition import create_protocol
    from orchidgap.net import config
    from orchidgap.net.addresses import format_address

    balancer_config = config.read(path)
    create_protocol(balancer_config)
    _, _, entries, _ = balancer_config.initial_endpoints
    print(
        f"balancer {balancer_config.name} on {format_address(balancer_config.listen)}, list from "
        f"{format_address(balancer_config.discovery)}, {len(entries)} hosts known, "
        f"rule sets {', '.join(balancer_config.settings.request_classes)}, "
        f"{balancer_config.descriptors} descriptors, {balancer_config.memory_mb} MB"
    )
    return None


def call_balancer(call: str, address: str | None, path: str | None) -> ExitStatus:
    """Send an operator's call to a running balancer and print its answer."""
    from orchidgap.admin import client
    from orchidgap.net import config
    from orchidgap.net.addresses import parse_address

    try:
        text = address or (None if path else os.environ.get("GW_ADMIN_ADDR"))
        if text:
            target = parse_address(text)
        else:
            admin_address = config.read(path or os.environ.get("GW_CONFIG")).admin
            if admin_address is None:
                return (
                    "orchidgap: no admin address: give --addr, or admin_addr in the configuration"
                )
            target = admin_address
        answer = client.call(target, call)
    except (OSError, ValueError, ConfigError) as error:
        return f"orchidgap: {error}"
    print(answer.line)
    return 0 if answer.succeeded else 1
