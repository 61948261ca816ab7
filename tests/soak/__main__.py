"""The soak's command line.

    python3 -m tests.soak --seeds 50 --processes 4    runs 50 seeds in 4 parallel processes; a line of JSON for each
    python3 -m tests.soak --seed 7                    runs one seed
    python3 -m tests.soak --plan FILE                 runs a plan file; a failed run prints its plan in this form

Exit codes: 0 if all runs passed, 1 if a run failed, 2 for invalid options or an invalid plan. The logs of a failed run
are kept.
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

MAX_SEEDS, MAX_PROCESSES = 10_000, 16
MIN_TROUBLES_S, MAX_TROUBLES_S = 5.0, 600.0
RUN_TIMEOUT_S = 900.0


def run_plan(plan: plans.Plan) -> int:
    """Runs a plan in this process, prints the result as a line of JSON and returns the exit code."""
    from twisted.internet import reactor

    from tests.soak.cluster import SoakCluster

    cluster = SoakCluster(plan)
    reactor.callWhenRunning(cluster.begin)
    reactor.run()
    result = cluster.result
    if result.failures:
        print(f"plan: {plans.encode(plan)}", file=sys.stderr)
        print(f"logs: {result.folder}", file=sys.stderr)
        for failure in result.failures:
            print(f"failed: {failure}", file=sys.stderr)
    else:
        shutil.rmtree(result.folder)
        result.folder = ""
    print(json.dumps(asdict(result)))
    return 1 if result.failures else 0


def run_seeds(first: int, count: int, processes: int, troubles_s: float) -> int:
    """Runs seeds in parallel processes, prints a line for each and one with the totals, and returns the exit code."""
    results: list[dict[str, Any]] = []
    with ThreadPoolExecutor(processes) as pool:
        for result in pool.map(lambda seed: _run_seed(seed, troubles_s), range(first, first + count)):
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


def _run_seed(seed: int, troubles_s: float) -> dict[str, Any]:
    """Runs a seed in a process of its own and returns its result."""
    command = [sys.executable, "-m", "tests.soak", "--seed", str(seed), "--troubles-s", str(troubles_s)]
    try:
        completed = subprocess.run(command, capture_output=True, text=True, timeout=RUN_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        return {"seed": seed, "failures": [f"the run did not end within {RUN_TIMEOUT_S} s"]}
    sys.stderr.write(completed.stderr)
    try:
        result: dict[str, Any] = json.loads(completed.stdout.splitlines()[-1])
    except (IndexError, ValueError):
        return {"seed": seed, "failures": [f"the run ended with exit code {completed.returncode} and without a result"]}
    return result


def _require_range(parser: argparse.ArgumentParser, name: str, value: float, minimum: float, maximum: float) -> None:
    """Ends the program with exit code 2 if an option is out of range."""
    if not minimum <= value <= maximum:
        parser.error(f"{name}: must be from {minimum:g} to {maximum:g}")


def main() -> None:
    from tests.loopback_cluster import LoopbackCluster

    parser = argparse.ArgumentParser(
        prog="python3 -m tests.soak", description="Runs real controller processes under random faults."
    )
    source = parser.add_mutually_exclusive_group(required=True)
    source.add_argument("--seed", type=int, help="run this seed")
    source.add_argument("--seeds", type=int, help="run this number of seeds")
    source.add_argument("--plan", type=Path, help="run this plan file")
    parser.add_argument("--first", type=int, default=1, help="the first seed of --seeds")
    parser.add_argument("--processes", type=int, default=4, help="parallel runs of --seeds")
    parser.add_argument("--troubles-s", type=float, default=25.0, help="the period in which troubles begin, in seconds")
    options = parser.parse_args()
    _require_range(parser, "processes", options.processes, 1, MAX_PROCESSES)
    _require_range(parser, "troubles-s", options.troubles_s, MIN_TROUBLES_S, MAX_TROUBLES_S)
    _require_range(parser, "first", options.first, 0, 10**9)
    if options.seeds is not None:
        _require_range(parser, "seeds", options.seeds, 1, MAX_SEEDS)
        sys.exit(run_seeds(options.first, options.seeds, options.processes, options.troubles_s))
    if options.plan is not None:
        try:
            sys.exit(run_plan(plans.read(options.plan)))
        except plans.InvalidPlanError as error:
            parser.error(str(error))
    _require_range(parser, "seed", options.seed, 0, 10**9)
    sys.exit(run_plan(plans.generate(options.seed, options.troubles_s, LoopbackCluster.CANCEL_S)))


if __name__ == "__main__":
    main()
