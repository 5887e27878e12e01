"""The command line: what can be asked for, and with which options."""

from __future__ import annotations

from typing import Any

from docopt import docopt

USAGE = """\
orchidgap, a balancer that spreads keys over cache hosts before one slow origin.

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
  serve     Serve until told to stop (SIGTERM or SIGINT); SIGHUP has the configuration read anew.
  check     Read the configuration as serve would, say what it holds, and end.
  admin     Ask a running balancer whether it serves, to drain, to serve again, or what the settings that it
            watches would have decided otherwise, or how connections and requests came and ended; exit code 1 on
            FAILURE.
  control   Serve as a control process, which keeps the version of policy that counts; --new begins with none.
  change    Have a new version of policy checked, proposed and decided; see who runs what and who is waited
            for; strike off by name a balancer that will not come back.
            propose: exit code 0 decided, 2 nowhere, 3 not known yet (the same call again tells).
  drill     Start real processes, put faults between them, and judge what clients saw; the last line is the
            verdict.
  version   Print the version.
  try       Play ten seconds of a small fleet of stand-ins, in which one cache dies, and draw a report.
  trial     Play a plan and judge it; the last line is the verdict as JSON, exit code 1 where a rule broke.
  compare   Play a plan with this decider, the textbook ones and one that sees all.
  hunt      Play many plans drawn from this one; shrink what breaks a rule, or loses most, to a plan file.
  saturate  Measure reqs a second and CPU a req of one balancer beside a bare relay, on real sockets.
  report    Draw a trial that was kept in DIR as one HTML file.

Options:
  --config=FILE  The configuration; without it, the file named by GW_CONFIG.
  --addr=ADDR    The operators' address; without it GW_ADMIN_ADDR, or what the configuration says.
  --new          Begin with no version decided: once, when control is set up.
  --at=ADDRS     Control's addresses, with commas between [default: 127.0.0.1:7500].
  --id=ID        The change's name; without it, a digest of the file.
  --again        Decide anew what was decided before and replaced since.
  --wait=N       Seconds to wait for the end [default: 60].
  --json         Print JSON.
  --disk=DIR     Where the processes' disks are; without it in memory, which takes no time.
  --defect=NAME  Balancers with a planted defect, to see that it is caught.
  --seed=N       Another seed than the plan's.
  --real         Balancers as processes on loopback, in real time; else all in one process on a virtual clock.
  --balancers=N  Another number of balancers than the plan's.
  --policy=NAME  Who decides: orchidgap, random, ring, bounded-ring, least-out or oracle [default: orchidgap].
  --out=DIR      Where what was played or found is kept.
  --runs=N       How many runs [default: 100].
  --first=N      The first run's number [default: 0].
  --jobs=N       Runs at once; 0 for one a core [default: 0].
  --whole        Keep what is found as it was drawn, without shrinking it.
  --seconds=N    How long each measurement takes [default: 5].
"""  # noqa: E501 - printed as it stands

OPERATOR_CALLS = ("health", "quiesce", "resume", "watch", "counts")
CHANGE_COMMANDS = ("check", "propose", "status", "history", "strike")
SIMULATION_COMMANDS = ("try", "trial", "compare", "hunt", "saturate", "report")

Arguments = dict[str, Any]  # as docopt has them: commands, options and operands by name


def parse() -> Arguments:
    """The arguments of this process; ends it where they fit no usage."""
    arguments: Arguments = docopt(USAGE)
    return arguments


def chosen(arguments: Arguments, names: tuple[str, ...]) -> str:
    """The first of these commands that was asked for; empty for none."""
    return next((name for name in names if arguments[name]), "")
