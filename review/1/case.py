"""Case 1: a leader that stands still while it applies a scaling plan never goes on."""

import asyncio
import os
import signal
import sys
from http import HTTPStatus
from typing import Any

from deployment import KUOROVUORO, Deployment, case, running
from wire import call

FREEZE_S = 3.0
"""How long a controller stands still."""
NEXT_PLAN_S, PLAN_WITHIN_S, ONE_PLAN_S = 1.985, 0.2, 0.5
"""A leader plans scaling every 2 s: the first cycle that long after a rental also plans scaling."""
LAST_FREEZE_S = 33.0
"""No freeze begins later, in seconds after the start."""
UNANSWERED_S = 75.0
"""From the page "When troubles meet"."""
POLL_S = 5.0
MACHINES = 12
"""Machines that are up at the start."""
WATCHED_JOBS = 3
PLACED = b"task placed"


class Freezer:
    """Follows the controllers' logs, and stops the leader at a line of a placement while it is armed."""

    def __init__(self, wanted: bool) -> None:
        self.wanted = wanted
        self.armed = False
        self.stopped: str | None = None

    def on_log(self, member: str, pid: int, data: bytes) -> None:
        """Stops a controller that has just written that it placed a task."""
        if self.armed and PLACED in data:
            self.armed = False
            if self.wanted:
                os.kill(pid, signal.SIGSTOP)
            self.stopped = member


async def load(deployment: Deployment) -> None:
    """Submits arrays of short tasks, which keep the machines busy, and jobs that need new machines."""
    for number in range(100, 1000):
        body = deployment.job(
            number, lane="harjoitus-batch", pieces=3, vcpus=40.0, memGb=35.0, guessS=60.0, builds=["urut-iso"]
        )
        deployment.background.append(asyncio.ensure_future(deployment.submit(body)))
        if number % 3 == 1:
            body = deployment.job(
                1000 + number, lane="muistutus-ajo", pieces=150, vcpus=1.0, memGb=0.5, imageGb=0.1, guessS=2.0
            )
            deployment.background.append(asyncio.ensure_future(deployment.submit(body)))
        await asyncio.sleep(1.0)


async def freeze_in_turn(deployment: Deployment, freezer: Freezer) -> dict[str, float]:
    """Freezes leaders one after the other; returns when each controller that was frozen went on."""
    hired = asyncio.Event()
    rent = deployment.cloud.rent

    names: set[str] = set()
    planned_at = -NEXT_PLAN_S

    def observed(body: Any) -> Any:
        nonlocal planned_at
        # A repeated request says nothing about the time of a plan, nor does a further one of the same plan.
        if body["hire"] not in names and deployment.now() > planned_at + ONE_PLAN_S:
            planned_at = deployment.now()
            hired.set()
        names.add(body["hire"])
        return rent(body)

    deployment.cloud.rent = observed  # type: ignore[method-assign]
    went_on: dict[str, float] = {}
    while deployment.now() < LAST_FREEZE_S and len(went_on) < len(deployment.members):
        if deployment.now() > planned_at + NEXT_PLAN_S:
            hired.clear()
        try:
            async with asyncio.timeout(max(0.0, LAST_FREEZE_S - deployment.now())):
                await hired.wait()
                await asyncio.sleep(planned_at + NEXT_PLAN_S - deployment.now())
        except TimeoutError:
            break
        freezer.stopped, freezer.armed = None, True
        await asyncio.sleep(PLAN_WITHIN_S)
        freezer.armed = False
        if freezer.stopped is None:
            continue
        member = freezer.stopped
        deployment.record("stands still", member, freezer.wanted)
        await asyncio.sleep(FREEZE_S - PLAN_WITHIN_S)
        if freezer.wanted:
            deployment.signal(member, signal.SIGCONT)
        answered = await call(deployment.public[member], "GET", "/healthz", None, 1.0)
        deployment.record("healthz after it", member, answered)
        if answered is None:
            went_on[member] = deployment.now()
    return went_on


async def ask(deployment: Deployment, job: str, answered_at: dict[str, float]) -> None:
    """Polls a job, as its user does, and keeps the time of its last answer."""
    while True:
        reply = await deployment.poll(job)
        if reply is not None and reply.status == HTTPStatus.OK:
            answered_at[job] = deployment.now()
        await asyncio.sleep(POLL_S)


async def main(deployment: Deployment, trouble: bool) -> int:
    """Runs the case; returns the exit code."""
    with running(deployment):
        await deployment.start()
        freezer = Freezer(trouble)
        deployment.on_log = freezer.on_log
        for number in range(MACHINES):
            deployment.cloud.add("kantele-pieni", deployment.site.zones[number % 4], True, 0.0)
        jobs = [deployment.job(number, pieces=1, guessS=20.0) for number in range(WATCHED_JOBS)]
        accepted = [await deployment.submit(job) for job in jobs]
        if not all(accepted):
            return 2
        answered_at = dict.fromkeys((job["nameId"] for job in jobs), deployment.now())
        for job in answered_at:
            deployment.background.append(asyncio.ensure_future(ask(deployment, job, answered_at)))
        deployment.world.vary = 0.5
        loading = asyncio.ensure_future(load(deployment))
        await freeze_in_turn(deployment, freezer)
        over_at = deployment.now()
        loading.cancel()
        deployment.record("the last trouble is over")
        await asyncio.sleep(UNANSWERED_S + 1.0)
        ended = deployment.now()
        result = 0
        for job, at in answered_at.items():
            since = max(at, over_at)
            deployment.record("last answer about", job, f"{at:.1f}", f"unanswered for {ended - since:.1f} s")
            if ended - since > UNANSWERED_S:
                result = 1
        probes = [call(deployment.public[m], "GET", "/healthz", None, 1.0) for m in deployment.members]
        for member, reply in zip(deployment.members, await asyncio.gather(*probes), strict=True):
            deployment.record("at the end", member, "exit code", deployment.processes[member].poll(), "healthz", reply)
            if reply is None:
                result = 1
        return result


if __name__ == "__main__":
    sys.exit(case(main, KUOROVUORO))
