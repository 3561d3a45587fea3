"""A server leaves while the core is down, and its node is killed before the core is back."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand"))
import stand

# How much longer than `drain` the server goes on serving.
LINGER_S = 10.0


async def run(folder):
    deployment = stand.Deployment(folder, ["iade"] * 3)
    record = deployment.record
    try:
        servers = [stand.Server(record, node, f"i-{number}", work_s=0.2)
                   for number, node in enumerate(deployment.nodes)]
        deployment.start()
        for server in servers:
            await server.start()
        await deployment.configure(
            stand.config("r1", {"iade": False}, [("/refund/", "non_idempotent", "iade")]), "0")
        client = stand.Client(record)

        async def is_served():
            statuses = [await client.send(node, "POST", "/refund/a") for node in deployment.nodes]
            return statuses == [200] * 3

        await stand.wait_until("all nodes serve", is_served)
        stop = asyncio.Event()

        async def press(node):
            while not stop.is_set():
                await client.send(node, "POST", "/refund/a")
                await asyncio.sleep(0.03)

        pressing = [asyncio.create_task(press(deployment.nodes[number])) for number in [1] * 6 + [2] * 12]
        await asyncio.sleep(stand.CONTACT_S + 1.0)
        server, gateway = servers[0], deployment.nodes[0].gateway
        if stand.TROUBLE:
            for director in deployment.directors:
                director.kill()
        await asyncio.sleep(0.2)
        acknowledged = await server.deregister()
        if stand.TROUBLE:
            await asyncio.sleep(0.1)
            gateway.kill()
            await asyncio.sleep(0.3)
            gateway.start()
            await asyncio.sleep(0.2)
            for director in deployment.directors:
                director.start()
        in_touch = record.now() + stand.CONTACT_S + 0.1
        await asyncio.sleep(acknowledged + stand.DRAIN_S + LINGER_S - record.now())
        unfinished = server.running
        server.exit()
        stop.set()
        await asyncio.gather(*pressing)
        # Only what was run while all machines were in touch again counts.
        late = [at for at, _, _ in server.runs if at > max(acknowledged + stand.DRAIN_S, in_touch)]
        record("check:", len(late), "requests reached", server.name, "later than drain after its ack at",
               f"{acknowledged:.3f}, from {in_touch:.3f} on;", unfinished, "were running when it exited")
        print(f"{len(late)} requests later than {stand.DRAIN_S} s after the ack, by machines in touch;",
              f"{unfinished} were running when the server exited")
        return bool(late)
    finally:
        deployment.stop()


stand.main(FOLDER, run)
