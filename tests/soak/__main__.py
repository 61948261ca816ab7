"""The soak's commands.

    python3 -m tests.soak --seeds 50 --processes 4    many seeds, each in a process of its own; a row for each
    python3 -m tests.soak --seed 7                    one seed
    python3 -m tests.soak --plan FILE                 a plan, as a failed run prints it

Exit code 0 if nothing failed, 1 if something did, 2 for a wrong call or plan. Logs of a failed run are kept.
"""

import argparse
import json
import shutil
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict
from pathlib import Path
from typing import Any

from tests.soak import plan as plans

MOST_SEEDS, MOST_PROCESSES = 10_000, 16
LEAST_TROUBLES_S, MOST_TROUBLES_S = 5.0, 600.0
RUN_LIMIT_S = 900.0


def play(plan: plans.Plan) -> int:
    """Plays a plan in this process, and prints what came of it as a line of JSON."""
    from twisted.internet import reactor

    from tests.soak.cluster import SoakCluster

    cluster = SoakCluster(plan)
    reactor.callWhenRunning(cluster.begin)
    reactor.run()
    result = cluster.result
    if result.failures:
        print(f"plan: {plans.write(plan)}", file=sys.stderr)
        print(f"logs: {result.folder}", file=sys.stderr)
        for failure in result.failures:
            print(f"failed: {failure}", file=sys.stderr)
    else:
        shutil.rmtree(result.folder)
        result.folder = ""
    print(json.dumps(asdict(result)))
    return 1 if result.failures else 0


def play_seeds(first: int, count: int, processes: int, troubles_s: float) -> int:
    """Plays seeds side by side; prints a line for each, and what all of them come to."""
    results: list[dict[str, Any]] = []
    with ThreadPoolExecutor(processes) as pool:
        for result in pool.map(lambda seed: _play_apart(seed, troubles_s), range(first, first + count)):
            results.append(result)
            print(json.dumps(result), flush=True)
    failed = [result["seed"] for result in results if result["failures"]]
    total = {
        name: sum(result.get(name, 0) for result in results)
        for name in ("jobs", "cancelled", "cancelled_in_trouble", "refused_by_token", "refused_by_session", "starts")
    }
    for name in sorted({name for result in results for name in result.get("logged", {})}):
        total[name] = sum(result.get("logged", {}).get(name, 0) for result in results)
    longest = max(result.get("longest_part", 0.0) for result in results)
    print(json.dumps({"seeds": count, "failed": failed, "longest_part": longest, **total}))
    return 1 if failed else 0


def _play_apart(seed: int, troubles_s: float) -> dict[str, Any]:
    command = [sys.executable, "-m", "tests.soak", "--seed", str(seed), "--troubles-s", str(troubles_s)]
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=RUN_LIMIT_S)
    except subprocess.TimeoutExpired:
        return {"seed": seed, "failures": [f"did not end within {RUN_LIMIT_S} s"]}
    sys.stderr.write(done.stderr)
    try:
        result: dict[str, Any] = json.loads(done.stdout.splitlines()[-1])
    except (IndexError, ValueError):
        return {"seed": seed, "failures": [f"ended with code {done.returncode} and no result"]}
    return result


def _within(parser: argparse.ArgumentParser, name: str, value: float, least: float, most: float) -> None:
    if not least <= value <= most:
        parser.error(f"{name}: must be from {least:g} to {most:g}")


def main() -> None:
    """The command line."""
    from tests.loopback_cluster import LoopbackCluster

    parser = argparse.ArgumentParser(prog="python3 -m tests.soak", description="Random faults on real processes.")
    which = parser.add_mutually_exclusive_group(required=True)
    which.add_argument("--seed", type=int)
    which.add_argument("--seeds", type=int)
    which.add_argument("--plan", type=Path)
    parser.add_argument("--first", type=int, default=1, help="the first of --seeds")
    parser.add_argument("--processes", type=int, default=4, help="runs at once")
    parser.add_argument("--troubles-s", type=float, default=25.0, help="how long troubles begin")
    options = parser.parse_args()
    _within(parser, "processes", options.processes, 1, MOST_PROCESSES)
    _within(parser, "troubles-s", options.troubles_s, LEAST_TROUBLES_S, MOST_TROUBLES_S)
    _within(parser, "first", options.first, 0, 10**9)
    if options.seeds is not None:
        _within(parser, "seeds", options.seeds, 1, MOST_SEEDS)
        sys.exit(play_seeds(options.first, options.seeds, options.processes, options.troubles_s))
    if options.plan is not None:
        try:
            sys.exit(play(plans.read(options.plan)))
        except plans.InvalidPlanError as error:
            parser.error(str(error))
    _within(parser, "seed", options.seed, 0, 10**9)
    sys.exit(play(plans.draw(options.seed, options.troubles_s, LoopbackCluster.CANCEL_S)))


if __name__ == "__main__":
    main()
