"""A machine hangs near the end of an outage of the state service; its task is started on another machine."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from cluster import Cluster, run

MACHINES = 2
OUTAGE_S = 25.0
HANG_AFTER_S = 24.3
HANG_S = 20.0


async def case(cluster: Cluster, trouble: bool) -> list[str]:
    """Plays the case and returns what was broken."""
    for _ in range(MACHINES):
        await cluster.cloud.add("jigsaw-small", "austin-east", loaner=False, boot_s=0.5)
    await cluster.start()
    await cluster.ready()
    await asyncio.sleep(2.0)
    await cluster.submit("j-000001", 1, vcpus=8.0, guessS=90.0)
    while not cluster.world.where:
        await asyncio.sleep(0.1)
    await asyncio.sleep(2.0)
    began = cluster.record.now()
    machine = cluster.world.where["j-000001/0"]
    if trouble:
        cluster.state.begin_outage()
    await asyncio.sleep(HANG_AFTER_S)
    if trouble:
        cluster.record.write(f"trouble: {machine.name} hangs for {HANG_S} s")
        machine.hangs = True
    await asyncio.sleep(began + OUTAGE_S - cluster.record.now())
    if trouble:
        cluster.state.end_outage()
    await cluster.cloud.add("jigsaw-small", "austin-east", loaner=False, boot_s=0.0)
    await asyncio.sleep(began + HANG_AFTER_S + HANG_S - cluster.record.now())
    machine.hangs = False
    await asyncio.sleep(3.0)
    return list(cluster.world.broken)


if __name__ == "__main__":
    sys.exit(run(Path(__file__).resolve().parent, MACHINES + 1, case))
