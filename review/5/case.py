"""Workers go down and up by turns under their ids, and come back as another kind."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import bed as beds

WORKERS = 10  # one of them flaps: share 0.1
PERIOD_S = 1.4  # gap_s
DOWN_S = 0.7
TURNS = 4
KIND, OTHER = "k1", "k2"


async def scenario(bed, trouble):
    record = bed.record
    bed.config(3, [("holds", "/holds/", "svc")])
    for number in range(WORKERS):
        zone = "ab"[number % 2]
        kind = KIND if number < 2 else OTHER
        await bed.add_worker(zone, [kind, f"r-{zone}"], lambda task: 60, with_born=True)
    first, second = bed.add_edge("a"), bed.add_edge("a")
    bed.add_edge("b")
    for edge in bed.edges:
        await edge.start()
    await bed.ready()
    start = record.now()
    worker = bed.workers[0]

    async def flap():
        for turn in range(TURNS):
            await asyncio.sleep(max(0, start + 4.0 + turn * PERIOD_S - record.now()))
            await worker.crash()
            await asyncio.sleep(DOWN_S)
            kind = OTHER if turn % 2 == 0 else KIND
            await worker.restart(f"{bed.net}.101", [kind, "r-a"])

    flapping = asyncio.ensure_future(flap()) if trouble else None
    calls, number = [], 0
    while record.now() < start + 11.0:
        number += 1
        steps = [{"Count": 2, "Cpu": 1000, "MemMb": 64, "EstimateMs": 60, "Requires": KIND}]
        body = {"Spec": f"hold {number}", "Preemptible": True, "Steps": steps}
        edge = (first, second)[number % 2]
        call = beds.Call(record, edge.ip, 8161, "POST", f"/holds/{number:016x}", body, 1500)
        calls.append(await call.send())
        await asyncio.sleep(0.03)
    await asyncio.wait(calls, timeout=5)
    if flapping:
        await flapping
    return [f"task {task}, which requires {KIND}, starts on {worker.id} with the labels {labels} "
            f"at {at:.3f} s" for worker in bed.workers
            for at, _, labels, task, _, _ in worker.starts if KIND not in labels]


beds.main(scenario)
