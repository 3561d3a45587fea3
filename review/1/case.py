"""Servers of a service with keys crash and are at once started again under their names."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand"))
import stand

# Time for which a crashed server is down.
DOWN_S = 0.2
# How late the first check-in of a new life arrives; the next one is on time.
LATE_S = 2.0
# Longest time for which two servers may hold the same keys.
MAX_OVERLAP_S = 0.5


async def run(folder):
    deployment = stand.Deployment(folder, ["durum"] * 7)
    record = deployment.record
    try:
        servers = [stand.Server(record, node, f"i-{number}", is_keyed=True, work_s=0.05)
                   for number, node in enumerate(deployment.nodes)]
        deployment.start()
        for server in servers[:5]:
            await server.start()
        await deployment.configure(stand.config("r1", {"durum": True}, [("/status/", "idempotent", "durum")]), "0")
        client = stand.Client(record)

        async def is_served():
            keys = range(0, stand.KEYS, 4096)
            statuses = [await client.send(deployment.nodes[1], "GET", "/status/a", key) for key in keys]
            return all(status == 200 for status in statuses)

        await stand.wait_until("all keys are served", is_served)
        stop = asyncio.Event()
        watching = asyncio.create_task(stand.watch_holds(record, servers, stop))
        # Empty servers join.
        for server in servers[5:]:
            await server.start()
        await asyncio.sleep(stand.CONTACT_S)
        for server in servers[:5]:
            if stand.TROUBLE:
                server.crash()
                await asyncio.sleep(DOWN_S)
                server.sequence = 0
                await server.start(first_late_s=LATE_S)
            await asyncio.sleep(6.0)
        stop.set()
        overlap, key, holders = await watching
        is_served_again = await is_served()
        record("check: longest time for which two servers that are up hold the same key:", f"{overlap:.2f} s,",
               "key", key, "at", holders, "; served at the end:", is_served_again)
        print(f"two servers held key {key} for {overlap:.2f} s: {holders}")
        return overlap > MAX_OVERLAP_S
    finally:
        deployment.stop()


stand.main(FOLDER, run)
