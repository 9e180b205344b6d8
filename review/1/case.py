"""More than 500 tasks of one worker end while the store is down."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from platform_standin import Cell, main

FOLDER = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS = [f"5c0e7a21d94b3{number:03x}" for number in range(12)]
TASKS_OF_A_JOB = 50
OUTAGE_S = 4.5


async def case():
    async with Cell(FOLDER, workers=2) as cell:
        done = {}      # task -> (worker, number of the end, lapses of the lease by then)
        broken = []
        for worker in cell.workers:
            watch(worker, done, broken, cell.record)
        await cell.until("an owner", lambda: cell.owner() is not None)
        await asyncio.sleep(3.0)
        phases = [{"count": TASKS_OF_A_JOB, "cpu": 50, "mem_mb": 64, "est_runtime_ms": 6000}]
        for job in JOBS:
            await cell.submit(cell.hosts[0], job, phases, run_s=6.0, step_s=0.002)
            await asyncio.sleep(0.25)
        await cell.until("all tasks run",
                         lambda: len(cell.runs_of("")) == len(JOBS) * TASKS_OF_A_JOB)
        await cell.until("the first end", lambda: len(done) > 0)
        if TROUBLE:
            cell.record.line(f"trouble: the store is down for {OUTAGE_S} s")
            cell.store.is_down = True
            await asyncio.sleep(OUTAGE_S)
            cell.store.is_down = False
            cell.record.line("trouble: the store is back")
        await asyncio.sleep(10.0)
        # Such an end counts if ack_cursor has reached it and the lease did not lapse in between.
        taken_note_of = [(task, worker, number) for task, worker, number, lapses in broken
                         if worker.taken_note_of.get(number) == lapses]
        cell.record.line(f"{len(done)} tasks ended done; {len(taken_note_of)} started again after "
                         "such an end, which was taken note of")
        if taken_note_of:
            task, worker, number = taken_note_of[0]
            return (f"TWICE: {task} started again after a run had ended done on {worker.id} as "
                    f"number {number}; its ack_cursor reached {worker.cursor} "
                    f"({len(taken_note_of)} such tasks)")
        return ""


def watch(worker, done, broken, record):
    """Notes the ends and starts of a worker's runs."""
    end, start = worker.end, worker.start_run

    def noted_end(task, how):
        end(task, how)
        if how == "done":
            done.setdefault(task, (worker, worker.last_number, worker.lapses))

    def noted_start(body):
        known = body["task"] in worker.running
        answer = start(body)
        if answer[0] == 200 and not known and body["task"] in done:
            broken.append((body["task"], *done[body["task"]]))
        return answer

    worker.end, worker.start_run = noted_end, noted_start


main(case)
