"""A worker with a standing task fails what it starts for a few seconds, and is sound afterwards."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from platform_standin import Cell, main

FOLDER = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STANDING = "a0000000000000aa"
LAST = "f0000000000000ff"
WORKERS = 12          # one of them is of kind b: a share of 0.083
EPISODE_S = 5.0
FINISH_S = 14.0       # bound `finish_s`
STUCK_S = 3.0         # "for 3 s"


def phase(seconds, **more):
    return [{"count": 1, "cpu": 1000, "mem_mb": 256, "est_runtime_ms": int(seconds * 1000),
             "constraints": "b", **more}]


async def case():
    async with Cell(FOLDER, workers=WORKERS, labels={5: "b"}) as cell:
        grey = cell.workers[5]
        await cell.until("an owner", lambda: cell.owner() is not None)
        await asyncio.sleep(3.0)
        await cell.submit(cell.hosts[0], STANDING, phase(3600, long_running=True), run_s=3600)
        await cell.until("the standing task runs", lambda: cell.runs_of(STANDING))
        number = 0

        async def traffic(seconds):
            nonlocal number
            end = cell.record.now() + seconds
            while cell.record.now() < end:
                number += 1
                await cell.submit(cell.hosts[number % 3], f"b{number:015x}", phase(0.3), run_s=0.3)
                await asyncio.sleep(0.25)

        await traffic(2.0)
        if TROUBLE:
            cell.record.line(f"trouble: worker {grey.id} fails all that it starts for {EPISODE_S} s")
            grey.fails_starts = True
        await traffic(EPISODE_S)
        if TROUBLE:
            grey.fails_starts = False
            cell.record.line("trouble: the worker is sound again")
        await asyncio.sleep(5.0)
        # The last submission is sent long after the trouble; the traffic ends with it.
        await cell.submit(cell.hosts[0], LAST, phase(0.3), run_s=0.3)
        for _ in range(int(FINISH_S)):
            await asyncio.sleep(1.0)
        waiting = True
        for _ in range(int(STUCK_S * 10) + 1):
            status, state = await cell.state_of(cell.hosts[1], LAST)
            waiting &= state == "queued" and not cell.runs_of(LAST)
            if not waiting:
                break
            await asyncio.sleep(0.1)
        in_use = sum(1000 for worker in cell.workers for _ in worker.running)
        cell.record.line(f"worker {grey.id}: {len(grey.running)} run of 1 core, 32 cores; in use in "
                         f"the whole service: {in_use / 1000} of {WORKERS * 32} cores")
        if waiting:
            return (f"LOST: {LAST} was accepted {FINISH_S} s before and nothing of it has run for "
                    f"{STUCK_S} s more, though {grey.id} has 31 of 32 cores free")
        return ""


main(case)
