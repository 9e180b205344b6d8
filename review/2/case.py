"""A draining worker loses its way to the store while the owner is stopped as planned."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from platform_standin import Cell, main

FOLDER = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = "5c0e7a21d94b36f8"
CUT_S = 5.0
DRAIN_S = 10.0


async def case():
    async with Cell(FOLDER, workers=5) as cell:
        await cell.until("an owner", lambda: cell.owner() is not None)
        await asyncio.sleep(3.0)
        phases = [{"count": 2, "cpu": 1000, "mem_mb": 256, "est_runtime_ms": 12000}]
        await cell.submit(cell.hosts[0], JOB, phases, run_s=12.0)
        await cell.until("both tasks run", lambda: len(cell.runs_of(JOB)) == 2)
        leaver = cell.runs_of(JOB)[0][0]
        await asyncio.sleep(1.0)
        await leaver.drain(DRAIN_S)
        if TROUBLE:
            cell.record.line(f"trouble: {leaver.id} is partitioned from the store for {CUT_S} s, "
                             "not from the entry hosts")
            leaver.reports = False
        await asyncio.sleep(2.2)
        owner = cell.owner()
        cell.record.line(f"platform: SIGTERM to the owner {owner.name}")
        owner.signal(signal.SIGTERM)
        broken = ""
        for step in range(600):
            await asyncio.sleep(0.01)
            if step == 280 and TROUBLE:
                leaver.reports = True
                cell.record.line("trouble: the partition ends")
            seen = {}
            for worker, task, run in cell.runs_of(JOB):
                if task in seen and not broken:
                    broken = (f"TWICE: {task} runs at the same time as attempt {seen[task][1]} on "
                              f"{seen[task][0]} and as attempt {run[0]} on {worker.id}")
                    cell.record.line(broken)
                seen[task] = (worker.id, run[0])
        return broken


main(case)
