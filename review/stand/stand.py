"""Stand-ins for the platform, the backend servers, the clients and the operator of a small deployment.

A script starts the project's programs with the commands of the deploy file, on loopback addresses and the real clock.
Everything that is sent, answered and run goes to `record.txt` beside the script.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 0.87
DRAIN_S = 2.0
CONTACT_S = 3.0
KEYS = 65536
# Bounds of the smallest site of the pages.
BOUNDS = {
    "maxHold": "10000ms", "retryBudgetRatio": 0.2, "retryBudgetSlack": 62, "budgetWindow": "10s",
    "drain": "2000ms", "grace": "6s",
}


class Record:
    """Writes the record of one run; times are seconds since its start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, *words):
        self.file.write(f"{self.now():9.3f} {' '.join(str(word) for word in words)}\n")
        self.file.flush()


def render(template, values):
    """Fills in a settings template as the deploy page says."""

    def look_up(name):
        value = values
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def text(value):
        return str(value).lower() if isinstance(value, bool) else str(value)

    def section(match):
        entries = look_up(match.group(1))
        parts = []
        for index, entry in enumerate(entries):
            comma = "," if index + 1 < len(entries) else ""
            parts.append(match.group(2).replace("{{.}}", entry).replace("{{,}}", comma))
        return "".join(parts)

    out = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: text(look_up(match.group(1))), out)


class Program:
    """One process of the project."""

    def __init__(self, record, name, role, values, folder):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            spec = tomllib.load(file)["roles"][role]
        with open(os.path.join(ROOT, spec["template"]), encoding="utf-8") as file:
            self.template = file.read()
        self.record, self.name, self.values = record, name, values
        self.run = spec["run"].split()
        self.settings = os.path.join(folder, f"{name}.conf")
        self.log = open(os.path.join(folder, f"{name}.log"), "ab")
        self.process = None
        self.started = []

    def start(self):
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(self.template, self.values))
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["SEQUOIAYOKE_BOOT"] = self.settings
        self.process = subprocess.Popen(
            self.run, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log
        )
        self.started.append(self.process)
        self.record("platform: started", self.name)

    def signal(self, number):
        self.record("platform:", signal.Signals(number).name, self.name)
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.record("platform: SIGKILL", self.name)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def restart(self, pause_s=0.3, grace_s=6.0):
        """Stops the process in order, and starts it again."""
        self.signal(signal.SIGTERM)
        until = time.monotonic() + grace_s
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        self.kill()
        self.record("platform: ended", self.name)
        await asyncio.sleep(pause_s)
        self.start()


class Node:
    """A `sidecar` machine: its addresses, its gateway and its backend server."""

    def __init__(self, ip, service):
        self.ip, self.service = ip, service
        self.control = (ip, 8306)
        self.outbound = (ip, 8304)
        self.app = (ip, 8301)
        self.gateway = None
        self.server = None


class Deployment:
    """Directors and gateways, each on its own loopback address."""

    def __init__(self, folder, services, directors=3):
        """`services`: the service of each node."""
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="sequoiayoke-review-")
        subnet = self.free_subnet()
        seeds = [f"{subnet}.{number + 1}" for number in range(directors)]
        common = {
            "region": "r", "zone": "a", "innerPortRange": [7620, 7635],
            "seedNodes": [f"{ip}:8306" for ip in seeds], "bootstrap": True, "bounds": BOUNDS,
            "limits": {"linkMbps": 1000.0},
        }
        self.operators = [(ip, 8306) for ip in seeds]
        self.directors, self.nodes = [], []
        for number, ip in enumerate(seeds):
            values = dict(common, nodeName=f"core-{number}", ip=ip, listen={"control": f"{ip}:8306"},
                          dataDir=os.path.join(self.folder, f"data-{number}"))
            os.mkdir(values["dataDir"])
            self.directors.append(Program(self.record, f"core-{number}", "control", values, self.folder))
        for number, service in enumerate(services):
            ip = f"{subnet}.{number + 10}"
            node = Node(ip, service)
            listen = {"inbound": f"{ip}:8300", "outbound": f"{ip}:8304", "ready": f"{ip}:8302", "control": f"{ip}:8306"}
            values = dict(common, nodeName=f"sidecar-{number}", ip=ip, listen=listen, service=service,
                          appAddr=f"{ip}:8301")
            node.gateway = Program(self.record, f"sidecar-{number}", "node", values, self.folder)
            self.nodes.append(node)

    @staticmethod
    def free_subnet():
        while True:
            subnet = f"127.{random.randint(20, 250)}.{random.randint(0, 255)}"
            try:
                with socket.socket() as probe:
                    probe.bind((f"{subnet}.1", 8306))
                return subnet
            except OSError:
                continue

    @property
    def programs(self):
        return self.directors + [node.gateway for node in self.nodes]

    def start(self):
        for program in self.programs:
            program.start()
            # The whole system starts for the first time once only.
            program.values["bootstrap"] = False

    def stop(self):
        for process in [process for program in self.programs for process in program.started]:
            if process.poll() is None:
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print("logs are in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def configure(self, document, base):
        """Sends a configuration until it is acknowledged, as the operator does."""
        body = json.dumps(document).encode()
        targets = list(self.operators)
        for attempt in range(200):
            target = targets[attempt % len(targets)]
            for _ in range(3):
                try:
                    reply = await asyncio.wait_for(
                        call(target, "POST", "/v1/rpc?call=config.replace",
                             {"Sequoiayoke-Base-Version": base, "Content-Type": "application/json"}, body), 1.0)
                except (OSError, asyncio.TimeoutError, EOFError, ValueError):
                    break
                if reply.status == 200:
                    self.record("operator: acknowledged", document["version"])
                    return
                if reply.status != 307:
                    break
                ip, port = reply.fields["location"].split("/")[2].split(":")
                target = (ip, int(port))
            await asyncio.sleep(0.1)
        raise RuntimeError("the operator got no acknowledgement")

    async def read_config(self):
        for target in self.operators:
            for _ in range(3):
                try:
                    reply = await asyncio.wait_for(call(target, "POST", "/v1/rpc?call=config.read", {}, b""), 1.0)
                except (OSError, asyncio.TimeoutError, EOFError, ValueError):
                    break
                if reply.status == 200:
                    return json.loads(reply.body)
                if reply.status != 307:
                    break
                ip, port = reply.fields["location"].split("/")[2].split(":")
                target = (ip, int(port))
        return None


def config(version, services, routes):
    """`services`: name to whether it is divided by key. `routes`: path, kind and service of each."""
    return {
        "version": version,
        "services": [
            {"name": name, "healthPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": False,
             **({"sharded": True, "warmup": "2s", "grants": "direct"} if is_keyed else {})}
            for name, is_keyed in services.items()
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
        "virtualHosts": [{"host": "kiosk.example", "pathRules": [
            {"name": f"r-{index}", "pathPrefix": path, "kind": kind, "timeout": "2500ms", "targetLatency": "800ms",
             "priority": 1, "service": service, "maxAttempts": 2}
            for index, (path, kind, service) in enumerate(routes)
        ]}],
    }


class Message:
    """The head and body of an HTTP/1.1 message."""

    def __init__(self, first, fields, body):
        self.first, self.fields, self.body = first, fields, body

    @property
    def status(self):
        return int(self.first.split()[1])


async def read_message(reader):
    """Returns the next message with a length, or `None` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise EOFError from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    except asyncio.IncompleteReadError as error:
        raise EOFError from error
    return Message(lines[0], fields, body)


async def call(address, method, target, fields, body=b""):
    """Makes one request on a new connection."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        head = [f"{method} {target} HTTP/1.1", f"Host: {fields.get('Host', address[0])}"]
        head += [f"{name}: {value}" for name, value in fields.items() if name != "Host"]
        if method == "POST":
            head.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            raise EOFError
        return message
    finally:
        writer.close()


class Client:
    """Sends requests at nodes; each attempt has its own id."""

    def __init__(self, record):
        self.record, self.sent, self.answers = record, {}, {}

    async def send(self, node, method, path, key=None, wait_s=2.0):
        request = f"{random.getrandbits(64):016x}"
        fields = {"Host": "kiosk.example", "Sequoiayoke-Request-Id": request,
                  "Sequoiayoke-Deadline-Ms": str(int(wait_s * 1000))}
        if key is not None:
            fields["Sequoiayoke-Shard-Key"] = str(key)
        self.sent[request] = (self.record.now(), node)
        self.record("client: sends", method, path, request, f"key={key}", "at", node.ip)
        try:
            reply = await asyncio.wait_for(call(node.outbound, method, path, fields), wait_s)
            status = reply.status
        except (OSError, EOFError, asyncio.TimeoutError, ValueError) as error:
            status = type(error).__name__
        self.answers[request] = (self.record.now(), status)
        self.record("client: answer", request, status)
        return status


class Server:
    """A backend server of one service, on the machine of `node`."""

    def __init__(self, record, node, name, is_keyed=False, age_s=0.0, work_s=0.02, slots=12):
        """`age_s`: for how long the server has run, and checked in, before the script began."""
        self.record, self.node, self.name, self.is_keyed = record, node, name, is_keyed
        self.age_s, self.work_s, self.slots = age_s, work_s, slots
        self.sequence = int(age_s / HEARTBEAT_S)
        self.born = 0
        self.state = "ready"
        self.is_up = self.beats = False
        self.running = 0
        self.runs = []
        self.working = []
        self.listener = self.heart = None
        self.writers = set()
        node.server = self

    async def start(self, first_late_s=0.0):
        """Starts a new life; its first check-in arrives `first_late_s` late."""
        self.born = int((time.time() - self.age_s) * 1000)
        self.fences, self.until = [0] * KEYS, [0.0] * KEYS
        self.working, self.running = [], 0
        self.is_up = self.beats = True
        self.listener = await asyncio.start_server(self.serve, *self.node.app)
        self.record("server: started", self.name, "born", self.born)
        self.heart = asyncio.create_task(self.beat(first_late_s))

    def crash(self):
        self.is_up = False
        self.record("server: crashed", self.name)
        self.heart.cancel()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def exit(self):
        self.is_up = False
        self.record("server: exits", self.name)
        self.heart.cancel()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def check_in(self):
        """Returns the target and the body of the next check-in."""
        self.sequence += 1
        body = {
            "address": f"{self.node.app[0]}:{self.node.app[1]}", "born": self.born,
            "info": {"service": self.node.service, "version": "v1", "zone": "a", "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "coldLeft": "0ms"},
        }
        return f"/v1/rpc?call=instances.heartbeat&of={self.name}", json.dumps(body).encode()

    async def tell(self, target, body, what):
        """Calls the node; returns whether it acknowledged the call within a second."""
        fields = {"Content-Type": "application/json"}
        try:
            reply = await asyncio.wait_for(call(self.node.control, "POST", target, fields, body), 1.0)
        except (OSError, EOFError, asyncio.TimeoutError, ValueError):
            return False
        if reply.status // 100 == 2:
            if what:
                self.record("server:", self.name, what, "acknowledged by", self.node.gateway.name)
            return True
        return False

    async def tell_late(self, delay_s, target, body):
        """Delivers a check-in that was held up on its way."""
        await asyncio.sleep(delay_s)
        await self.tell(target, body, "late check-in")

    async def beat(self, first_late_s):
        if first_late_s:
            asyncio.create_task(self.tell_late(first_late_s, *self.check_in()))
            await asyncio.sleep(HEARTBEAT_S)
        while True:
            if self.beats:
                await self.tell(*self.check_in(), None)
            await asyncio.sleep(HEARTBEAT_S)

    async def drain(self):
        """Reports that it drains; returns the time of the acknowledgement."""
        self.state = "draining"
        while not await self.tell(*self.check_in(), "draining"):
            await asyncio.sleep(0.1)
        return self.record.now()

    async def deregister(self):
        """Says that it is gone, and checks in no more; returns the time of the acknowledgement."""
        self.beats = False
        target = f"/v1/rpc?call=instances.deregister&of={self.name}"
        while not await self.tell(target, b"{}", "deregister"):
            await asyncio.sleep(0.1)
        return self.record.now()

    def holds(self, key):
        return self.is_up and self.until[key] > time.monotonic()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await asyncio.wait_for(read_message(reader), 10.0)) is not None:
                path = message.first.split()[1]
                answer = await self.answer(message, path)
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError, asyncio.TimeoutError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def work_of(self, path):
        """Returns how long a request runs."""
        return self.work_s

    async def answer(self, message, path):
        if path == "/health":
            status = 200 if self.state == "ready" and self.beats else 503
            return encode(status, {"Sequoiayoke-Instance-Id": self.name})
        if path in ("/v1/grant", "/v1/release"):
            return await self.command(path, json.loads(message.body))
        request = message.fields.get("sequoiayoke-request-id")
        if request is None:
            return encode(400, {"Sequoiayoke-Not-Executed": "1"})
        own = {"Sequoiayoke-Request-Id": request}
        refusal = own | {"Sequoiayoke-Not-Executed": "1"}
        expected = message.fields.get("sequoiayoke-expect-instance")
        if expected not in (None, self.name):
            return encode(421, refusal | {"Sequoiayoke-Instance-Id": self.name})
        key = message.fields.get("sequoiayoke-shard-key")
        key = int(key) if self.is_keyed and key else None
        if key is not None and not self.holds(key):
            return encode(421, refusal)
        if self.running >= self.slots:
            return encode(503, refusal)
        self.runs.append((self.record.now(), request, key))
        self.record("server: runs", request, f"key={key}", "at", self.name)
        self.running += 1
        self.working.append(key)
        # A server stops work at the value that it receives.
        left_s = float(message.fields.get("sequoiayoke-deadline-ms", "10000")) / 1000
        work_s = self.work_of(path)
        try:
            await asyncio.sleep(min(work_s, left_s))
        finally:
            self.running -= 1
            if key in self.working:
                self.working.remove(key)
        if left_s < work_s:
            return encode(504, own | {"Sequoiayoke-Server-Stamp": f"{self.name}.{request}"})
        return encode(200, own | {"Sequoiayoke-Server-Stamp": f"{self.name}.{request}"}, b"done")

    async def command(self, path, body):
        first, end, fence = body["from"], body["target"] + 1, body["fence"]
        keys = slice(first, end)
        if path == "/v1/grant":
            if max(self.fences[keys]) > fence:
                self.record("server: refused grant", first, end - 1, "fence", fence, "at", self.name)
                return encode(409, {})
            seconds = float(body["hold_time"].removesuffix("ms")) / 1000
            self.fences[keys] = [fence] * (end - first)
            self.until[keys] = [time.monotonic() + seconds] * (end - first)
            self.record("server: takes keys", first, end - 1, "fence", fence, f"for {seconds:.3f} s at", self.name)
            return encode(200, {})
        for key in range(first, end):
            if self.fences[key] <= fence:
                self.until[key] = 0.0
        while any(key is not None and first <= key < end for key in self.working):
            await asyncio.sleep(0.01)
        self.record("server: released keys", first, end - 1, "fence", fence, "at", self.name)
        return encode(200, {"Sequoiayoke-Handover": f"{random.getrandbits(64):016x}"})


def encode(status, fields, body=b""):
    fields = dict(fields) | {"Content-Length": str(len(body)), "Keep-Alive": "timeout=10"}
    head = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


async def wait_until(what, condition, timeout_s=20.0):
    until = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > until:
            raise RuntimeError(f"{what}: not within {timeout_s} s")
        await asyncio.sleep(0.1)


async def watch_holds(record, servers, stop, step=64):
    """Looks for keys that two servers which are up hold at the same time; returns the longest time for any key, with
    the key and the servers."""
    since, longest = {}, (0.0, None, None)
    while not stop.is_set():
        now = time.monotonic()
        up = [server for server in servers if server.is_up and server.is_keyed]
        for key in range(0, KEYS, step):
            holders = [server.name for server in up if server.until[key] > now]
            if len(holders) < 2:
                if key in since:
                    del since[key]
                continue
            began = since.setdefault(key, now)
            if now - began > longest[0]:
                longest = (now - began, key, tuple(holders))
        await asyncio.sleep(0.05)
    return longest


def main(folder, run):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run."""
    try:
        is_broken = asyncio.run(asyncio.wait_for(run(folder), 115))
    except Exception as error:  # Whatever fails, the case couldn't run.
        print(f"the case couldn't run: {type(error).__name__}: {error}")
        sys.exit(2)
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
