"""Direct commands are held up for five seconds; afterwards the machines are idle, report and get no work."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from cluster import Cluster, NotRunError, run

WINDOW_S = 5.0
"""For how long direct commands are held up."""
HELD_S = 5.0
"""How late those commands are carried out."""
WAIT_S = 90.0
"""The rule's time."""
MACHINES = 2


async def case(cluster: Cluster, trouble: bool) -> list[str]:
    """Plays the case and returns what was broken."""
    machines = [
        await cluster.cloud.add("jigsaw-small", "austin-east", loaner=False, boot_s=0.5) for _ in range(MACHINES)
    ]
    await cluster.start()
    await cluster.ready()
    await asyncio.sleep(2.0)
    ends_at = cluster.record.now() + WINDOW_S
    if trouble:
        cluster.record.write("trouble: direct commands are held up")
        for machine in machines:
            machine.hold_commands = lambda: HELD_S if cluster.record.now() < ends_at else 0.0
    await cluster.submit("j-000001", 2 * MACHINES)
    if not await cluster.done("j-000001", 30.0):
        raise NotRunError("the first job isn't done")
    await asyncio.sleep(max(0.0, ends_at + HELD_S - cluster.record.now()))
    cluster.record.write("no trouble from here on")
    accepted_at = await cluster.submit("j-000002", 2 * MACHINES)
    while cluster.record.now() < accepted_at + WAIT_S:
        if any(task.startswith("j-000002/") for _, task, _ in cluster.world.starts):
            return []
        if all(machine.gone for machine in machines):
            raise NotRunError("the machines are gone")
        await asyncio.sleep(0.5)
    await cluster.phase("j-000002")
    free = [machine.name for machine in machines if not machine.gone and not machine.tasks]
    return [f"left waiting: j-000002 has waited for {WAIT_S:.0f} s while {free} are empty"] if free else []


if __name__ == "__main__":
    sys.exit(run(Path(__file__).resolve().parent, MACHINES, case))
