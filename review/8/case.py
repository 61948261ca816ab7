"""Two tasks of a job fail once on faulty machines; they wait beside room until the job's third task is done."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from cluster import Cluster, NotRunError, run

MACHINES = 5
WAIT_S = 90.0
"""The rule's time."""
RUN_S = 180.0
HINTS = {"lane": "hint-render", "urgency": "standard", "memGb": 10.0, "guessS": RUN_S}
FAILING = ("j-000002/1", "j-000002/2")


async def case(cluster: Cluster, trouble: bool) -> list[str]:
    """Plays the case and returns what was broken."""
    for _ in range(MACHINES):
        await cluster.cloud.add("jigsaw-small", "austin-east", loaner=False, boot_s=0.5)
    await cluster.start()
    await cluster.ready()
    await asyncio.sleep(2.0)
    await cluster.submit("j-000001", MACHINES, vcpus=4.5, **HINTS)
    while len(cluster.world.where) < MACHINES:
        await asyncio.sleep(0.1)
    if trouble:
        cluster.world.failing |= set(FAILING)
        cluster.record.write(f"trouble: {FAILING} fail once")
    await cluster.submit("j-000002", 3, vcpus=3.0, **HINTS)
    while {task for _, task, _ in cluster.world.starts} < set(FAILING):
        await asyncio.sleep(0.1)
    await asyncio.sleep(2.0)
    if cluster.world.failing:
        raise NotRunError("the tasks didn't fail")
    cluster.record.write("no trouble from here on")
    began = cluster.record.now()
    while cluster.record.now() < began + WAIT_S:
        if all(task in cluster.world.where for task in FAILING):
            return []
        await asyncio.sleep(0.5)
    waiting = [task for task in FAILING if task not in cluster.world.where]
    room = {machine.name: machine.kind["vcpus"] for machine in cluster.world.machines.values() if machine.up}
    for task, machine in cluster.world.where.items():
        room[machine.name] -= cluster.world.jobs[task.rpartition("/")[0]]["vcpus"]
    with_room = [name for name, free in room.items() if free >= cluster.world.jobs["j-000002"]["vcpus"]]
    return [f"left waiting: {waiting} have waited for {WAIT_S:.0f} s beside {with_room}"] if with_room else []


if __name__ == "__main__":
    sys.exit(run(Path(__file__).resolve().parent, MACHINES, case))
