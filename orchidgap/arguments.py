"""Parses the command line; `USAGE` defines its commands and options."""

from __future__ import annotations

from typing import Any

from docopt import docopt

USAGE = """\
orchidgap, a balancer that spreads keys over cache hosts in front of one slow origin.

Usage:
  orchidgap serve [--config=FILE]
  orchidgap check [--config=FILE]
  orchidgap admin (health | quiesce | resume | watch | counts) [--addr=ADDR] [--config=FILE]
  orchidgap control --config=FILE [--new]
  orchidgap change (check | propose) FILE [--at=ADDRS] [--id=ID] [--again] [--wait=N] [--json]
  orchidgap change strike NAME [--at=ADDRS] [--json]
  orchidgap change (status | history) [--at=ADDRS] [--json]
  orchidgap drill PLAN [--seed=N] [--balancers=N] [--policy=NAME] [--out=DIR] [--disk=DIR] [--defect=NAME]
  orchidgap version
  orchidgap try [--seed=N] [--real] [--policy=NAME] [--out=DIR]
  orchidgap trial PLAN [--seed=N] [--real] [--policy=NAME] [--out=DIR]
  orchidgap compare PLAN [--seed=N]
  orchidgap hunt PLAN [--runs=N] [--first=N] [--jobs=N] [--whole] [--out=DIR]
  orchidgap saturate [--seconds=N]
  orchidgap report DIR
  orchidgap (-h | --help)

Commands:
  serve     Run a balancer until SIGTERM or SIGINT; SIGHUP reloads the configuration.
  check     Read the configuration as serve does, print a summary, and exit.
  admin     Send a call to a running balancer: health, quiesce (drain), resume, watch (decisions that the watched
            settings would have taken differently) or counts (how connections and requests started and ended).
            Exit code 1 on FAILURE.
  control   Run a control process, which stores the version of policy in force; --new starts without one.
  change    Check a new version of policy, or propose it and wait for the decision; show which version each
            balancer runs and which balancers a decision waits for; strike: remove a balancer by name that will
            not return.
            propose: exit code 0 decided, 2 nowhere (dropped), 3 not known yet (repeat the call to find out).
  drill     Start real processes, inject faults between them, and check what clients observed; the last line is
            the verdict.
  version   Print the version.
  try       Simulate a small fleet for ten seconds, in which one cache fails, and write a report.
  trial     Run a plan and check the invariants; the last line is the verdict as JSON, exit code 1 if one was
            violated.
  compare   Run a plan with each policy: this balancer's, textbook ones, and an oracle that knows the whole state.
  hunt      Run many random variants of a plan; shrink one that violates an invariant, or loses most, to a plan
            file.
  saturate  Measure requests per second and CPU time per request of one balancer and of a plain relay, on real
            sockets.
  report    Write a report of the trial that was stored in DIR as one HTML file.

Options:
  --config=FILE  The configuration; without it, the file named by GW_CONFIG.
  --addr=ADDR    The admin address; without it, GW_ADMIN_ADDR or the address in the configuration.
  --new          Start without a decided version; only once, when control is set up.
  --at=ADDRS     Addresses of the control processes, separated by commas [default: 127.0.0.1:7500].
  --id=ID        The change's name; without it, a digest of the file.
  --again        Propose a change again that was decided before and replaced since.
  --wait=N       Seconds to wait for the decision [default: 60].
  --json         Print JSON.
  --disk=DIR     Where the processes store their files; without it, in memory, where writes take no time.
  --defect=NAME  Run balancers with a planted defect, to verify that it is detected.
  --seed=N       Use this seed instead of the plan's.
  --real         Run balancers as processes on loopback, in real time; without it, in one process on a virtual
                 clock.
  --balancers=N  Use this number of balancers instead of the plan's.
  --policy=NAME  The policy: orchidgap, random, ring, bounded-ring, least-out or oracle [default: orchidgap].
  --out=DIR      Where results are stored.
  --runs=N       The number of runs [default: 100].
  --first=N      The number of the first run [default: 0].
  --jobs=N       The number of concurrent runs; 0 for one per core [default: 0].
  --whole        Keep a plan that was found as it was generated, without shrinking it.
  --seconds=N    Seconds per measurement [default: 5].
"""  # noqa: E501 - printed as it is

OPERATOR_CALLS = ("health", "quiesce", "resume", "watch", "counts")
CHANGE_COMMANDS = ("check", "propose", "status", "history", "strike")
SIMULATION_COMMANDS = ("try", "trial", "compare", "hunt", "saturate", "report")

Arguments = dict[str, Any]  # as returned by docopt: commands, options and operands by name


def parse() -> Arguments:
    """Return the arguments of this process; exits with a message if they match no usage."""
    arguments: Arguments = docopt(USAGE)
    return arguments


def selected_name(arguments: Arguments, names: tuple[str, ...]) -> str:
    """Return the first of these command names that was given; empty if none was."""
    return next((name for name in names if arguments[name]), "")
