"""A change of the config adds a route before the one that was there."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))  # It is not a case: see REPORT.md.
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand"))
import stand

CONFIG_APPLY_S = 2.0
FIRST, ADDED = "/report/", "/status/"
# Path, kind, timeout and client's time budget.
ROUTES = {FIRST: ("non_idempotent", "10s", 8.0), ADDED: ("idempotent", "1000ms", 1.0)}
REQUESTS = 120


class Server(stand.Server):
    """A server at which the requests of the first route run for 2 to 4 s, and those of the other one for 0.1 s."""

    def work_of(self, path):
        return random.uniform(2.0, 4.0) if path.startswith(FIRST) else 0.1


def document(version, paths):
    config = stand.config(version, {"iade": False}, [(path, ROUTES[path][0], "iade") for path in paths])
    for rule, path in zip(config["virtualHosts"][0]["pathRules"], paths):
        rule["timeout"] = ROUTES[path][1]
        rule["targetLatency"] = ROUTES[path][1]
    return config


async def run(folder):
    deployment = stand.Deployment(folder, ["iade"] * 3)
    record = deployment.record
    try:
        servers = [Server(record, node, f"i-{number}") for number, node in enumerate(deployment.nodes)]
        deployment.start()
        for server in servers:
            await server.start()
        # Without the change, the first config has both routes, in the same order.
        await deployment.configure(document("r1", [FIRST] if stand.TROUBLE else [ADDED, FIRST]), "0")
        client = stand.Client(record)

        async def is_served():
            return await client.send(deployment.nodes[0], "POST", FIRST + "a", wait_s=8.0) == 200

        await stand.wait_until("the first route is served", is_served)
        stop = asyncio.Event()
        first = []

        async def press(node):
            while not stop.is_set():
                sent = record.now()
                first.append((sent, await client.send(node, "POST", FIRST + "a", wait_s=ROUTES[FIRST][2])))
                await asyncio.sleep(0.1)

        # Ten of 36 slots are in use.
        pressing = [asyncio.create_task(press(deployment.nodes[number % 3])) for number in range(10)]
        await asyncio.sleep(15.0)
        if stand.TROUBLE:
            await deployment.configure(document("r2", [ADDED, FIRST]), "r1")
        await asyncio.sleep(CONFIG_APPLY_S + 1.0)
        begin = record.now()
        added = []
        for number in range(REQUESTS):
            added.append(await client.send(deployment.nodes[number % 3], "GET", ADDED + "a", wait_s=ROUTES[ADDED][2]))
            await asyncio.sleep(0.15)
        stop.set()
        await asyncio.gather(*pressing)
        later = [status for sent, status in first if sent >= begin]
        served = added.count(200) / len(added)
        served_first = later.count(200) / len(later)
        record(f"check: served {added.count(200)} of {len(added)} requests on the added route, and {later.count(200)} of",
               f"{len(later)} on the first one")
        print(f"served {added.count(200)} of {len(added)} on {ADDED}, {later.count(200)} of {len(later)} on {FIRST}")
        return len(added) >= 20 and len(later) >= 20 and served < served_first / 4
    finally:
        deployment.stop()


stand.main(FOLDER, run)
