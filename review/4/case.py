"""A check-in from before the end of a server arrives late, at a node that was stopped in order and started again."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand"))
import stand

# How late the check-in arrives.
DELAY_S = 4.0
# Time from the ack to the stop of the node.
STOP_S = 0.2
# How much longer than `drain` the server goes on serving.
LINGER_S = 8.0


async def run(folder):
    deployment = stand.Deployment(folder, ["durum"] * 3)
    record = deployment.record
    try:
        servers = [stand.Server(record, node, f"i-{number}", is_keyed=True, work_s=0.2)
                   for number, node in enumerate(deployment.nodes)]
        deployment.start()
        for server in servers:
            await server.start()
        await deployment.configure(stand.config("r1", {"durum": True}, [("/status/", "idempotent", "durum")]), "0")
        client = stand.Client(record)

        async def is_served():
            keys = range(0, stand.KEYS, 4096)
            statuses = [await client.send(deployment.nodes[1], "GET", "/status/a", key) for key in keys]
            return all(status == 200 for status in statuses) and all(server.runs for server in servers)

        await stand.wait_until("all keys are served", is_served)
        stop = asyncio.Event()

        async def press(node, first):
            key = first
            while not stop.is_set():
                await client.send(node, "GET", "/status/a", key)
                key = (key + 4099) % stand.KEYS
                await asyncio.sleep(0.1)

        pressing = [asyncio.create_task(press(node, 5000 * number))
                    for node in deployment.nodes[1:] for number in range(12)]
        await asyncio.sleep(stand.CONTACT_S)
        # The last check-in before the end is held up on its way.
        server = servers[0]
        server.beats = False
        target, body = server.check_in()
        record("server:", server.name, "sends a check-in, state ready, sequence", server.sequence)
        arriving = asyncio.create_task(server.tell_late(DELAY_S, target, body))
        acknowledged = await server.deregister()
        if stand.TROUBLE:
            await asyncio.sleep(STOP_S)
            await deployment.nodes[0].gateway.restart()
            started = record.now()
        await arriving
        await asyncio.sleep(acknowledged + stand.DRAIN_S + LINGER_S - record.now())
        server.exit()
        stop.set()
        await asyncio.gather(*pressing)
        # Only what was run while all machines were in touch again counts.
        in_touch = (started if stand.TROUBLE else 0.0) + stand.CONTACT_S + 0.1
        late = [at for at, _, _ in server.runs if at > max(acknowledged + stand.DRAIN_S, in_touch)]
        record("check:", len(late), "requests reached", server.name, "later than drain after its ack at",
               f"{acknowledged:.3f}, from {in_touch:.3f} on")
        print(f"{len(late)} requests later than {stand.DRAIN_S} s after the ack, by machines in touch")
        return bool(late)
    finally:
        deployment.stop()


stand.main(FOLDER, run)
