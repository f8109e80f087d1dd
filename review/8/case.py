"""A wide job that waits for its team's limit keeps a narrow one of its team waiting, beside room and under the limit.

`case.py make` writes `store.json`: what real controllers have written when jobs were accepted while the cloud had no
machine, just before all controllers ended."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from kit import World, play  # noqa: E402

ORDINARY = ("murbox-16", "leoben-nord", False)
STORE = os.path.join(HERE, "store.json")
MACHINES, LONG = 5, 5
TEAM = "seismik-dienst-00"


async def make(record, _trouble):
    world = World(record, capacity={})
    try:
        await world.begin()
        world.start_nodes()
        if not await world.wait_healthy():
            return 2
        for _ in range(LONG):
            await world.submit(world.job(TEAM, vcpus=8.0, memory_gb=23.2, run_s=145.0, expected_s=58.0))
            await asyncio.sleep(0.5)
        await world.submit(world.job(TEAM, vcpus=16.0, memory_gb=46.4, run_s=30.0, workclass="noise-survey",
                                     precedence="idle"))
        await asyncio.sleep(0.5)
        for node in world.nodes:
            node.kill()
        await asyncio.sleep(4.0)   # the leader's lease ends
        values = {key: entry[0] for key, entry in world.state.kv.items()}
        with open(STORE, "w", encoding="utf-8") as f:
            json.dump({"store": values, "uploads": world.uploads, "run_s": world.run_s}, f, indent=1)
        return 0
    finally:
        world.end()


async def case(record, trouble):
    world = World(record, capacity={ORDINARY: MACHINES})
    try:
        with open(STORE, encoding="utf-8") as f:
            earlier = json.load(f)
        for key, value in earlier["store"].items():
            if not trouble and key.startswith("job/") and value["spec"]["workclass"] == "noise-survey":
                continue
            world.state.epoch += 1
            world.state.kv[key] = [value, world.state.epoch, None]
        world.uploads, world.run_s, world.next_id = earlier["uploads"], earlier["run_s"], 100
        await world.begin([ORDINARY] * MACHINES)
        world.start_nodes()
        if not await world.wait_healthy():
            return 2
        if not await world.wait_for(lambda: len(world.ledger.running()) == LONG, 15):
            return 2
        await asyncio.sleep(2.0)
        # From here on nothing else happens.
        job = world.job(TEAM, run_s=5.0, precedence="high", workclass="event-locate")
        if await world.submit(job) not in (200, 201):
            return 2
        if await world.waits_beside_room(job):
            return 1
        return 0
    finally:
        world.end()


if sys.argv[1:] == ["make"]:
    sys.exit(play(make, os.path.join(HERE, "make.txt")))
sys.exit(play(case, os.path.join(HERE, "record.txt")))
