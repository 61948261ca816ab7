"""Case 3: one accepted job with a tiny amount of memory stops all renting, so that no job of anybody ever runs."""

import asyncio
import sys

from deployment import BLUEBONNET, Deployment, case, running

TINY_GB = 1e-308
"""A decimal number that a body can hold; the page names no lower limit."""
JOBS = 5
OBSERVED_UNTIL_S = 110.0
"""Machines boot in 35 s, 53 s at the most, so that first tasks start within about a minute."""


async def main(deployment: Deployment, trouble: bool) -> int:
    """Runs the case; returns the exit code."""
    with running(deployment):
        await deployment.start()
        mistaken = deployment.job(1, crew="museum-guest", pieces=1, vcpus=1.0, memGb=TINY_GB if trouble else 1.0)
        await deployment.submit(mistaken)
        jobs = [deployment.job(2 + number, pieces=1, guessS=10.0) for number in range(JOBS)]
        accepted = [await deployment.submit(job) for job in jobs]
        if not all(accepted):
            return 2
        while deployment.now() < OBSERVED_UNTIL_S:
            await asyncio.sleep(5.0)
            for job in jobs:
                await deployment.poll(job["nameId"])
        started = deployment.world.started
        deployment.record("tasks started", started, "machines rented", len(deployment.cloud.all_machines))
        return 0 if started else 1


if __name__ == "__main__":
    sys.exit(case(main, BLUEBONNET))
