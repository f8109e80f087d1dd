"""A job that was submitted with a mistake fails on the only machine with room; the machine is never used again."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from kit import World, play  # noqa: E402

ORDINARY = ("murbox-16", "leoben-nord", False)
FAILURES = 4


async def case(record, trouble):
    world = World(record, capacity={ORDINARY: 3})
    try:
        await world.begin([ORDINARY] * 3)
        world.start_nodes()
        if not await world.wait_healthy():
            return 2
        workers = [m["worker"] for m in world.cloud.machines.values()]
        # Two of the three machines are full for the whole test.
        full = world.job("seismik-dienst-11", shards=2, vcpus=16.0, memory_gb=46.4, run_s=300.0)
        await world.submit(full)
        if not await world.wait_for(lambda: sum(1 for w in workers if w.tasks) == 2, 10):
            return 2
        # A service stands on the third.
        service = world.job("seismik-dienst-10", shards=3, vcpus=1.0, memory_gb=3.2, shape="daemon", precedence="prod",
                            loaner=False, expected_s=0.0, workclass="bulletin-feed")
        await world.submit(service)
        if not await world.wait_for(lambda: len(world.ledger.running()) == 5, 10):
            return 2
        # The disruption: this job fails on every machine, until its user cancels it.
        mistake = world.job("seismik-dienst-12", run_s=0.5)
        if trouble:
            world.mistakes.add(mistake["uid"])
        await world.submit(mistake)
        shard = mistake["uid"] + "/0"
        wanted = FAILURES if trouble else 1
        if not await world.wait_for(lambda: world.ledger.starts[shard] >= wanted and not world.ledger.on[shard], 20):
            return 2
        await asyncio.sleep(1.0)
        await world.cancel(mistake["uid"])
        # From here on there is no trouble.
        job = world.job("seismik-dienst-08", run_s=5.0, precedence="high", workclass="event-locate")
        if await world.submit(job) not in (200, 201):
            return 2
        if await world.waits_beside_room(job):
            return 1
        return 0
    finally:
        world.end()


sys.exit(play(case, os.path.join(HERE, "record.txt")))
