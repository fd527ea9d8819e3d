"""Stand-ins for the cases 6 to 10: platform, operator, requesters and backends on loopback.

The project's programs run as separate processes, from the settings that deploy/'s templates give.
Paths are the project's own, as deploy/wire.toml maps the calls.
"""

import asyncio
import hashlib
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAMS = os.environ.get("KUMQUAT_TARGET", os.path.join(ROOT, "target"))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "jepu9.example"
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    """The case could not run; this says nothing about the rule."""


def render(template, fields):
    """Fills in a template as the platform does, as far as deploy/'s templates need it."""

    def value(match):
        path, _, form = match.group(1).partition("|")
        current = fields
        for part in path.split("."):
            current = current[int(part)] if isinstance(current, list) else current[part]
        return json.dumps(current) if form == "json" or not isinstance(current, str) else current

    with open(os.path.join(ROOT, "deploy", template)) as file:
        return re.sub(r"\{\{([^}]+)\}\}", value, file.read())


class Record:
    """What was sent, answered and run, in the order of time; written to record.txt."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.start = time.monotonic()
        self.file = open(self.path, "w")

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        self.file.close()


class Process:
    def __init__(self, name, role, settings, fleet):
        self.name = name
        self.max_fds = None  # MaxFds of its machine, if the case sets it
        self.settings = os.path.join(fleet.folder, name + ".json")
        self.log = os.path.join(fleet.folder, name + ".log")
        with open(self.settings, "w") as file:
            file.write(settings)
        # The command of deploy/system.toml, with a settings file of its own.
        self.command = [os.path.join(PROGRAMS, role), "--settings", self.settings]
        self.popen = None

    def start(self):
        def limit():
            if self.max_fds:
                resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))

        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL, preexec_fn=limit)

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.popen.pid}/fd"))

    def signal(self, number):
        if self.popen and self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    def end(self):
        if self.popen and self.popen.poll() is None:
            self.popen.kill()
        if self.popen:
            self.popen.wait()


class Fleet:
    """The machines of a small deployment: `core` ones with kumquat-control, `front` ones."""

    def __init__(self, record, fronts=3, cores=3, **bounds):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="kumquat-review-")
        self.net = f"127.{random.randint(20, 240)}.{random.randint(1, 250)}"
        self.ports = {}
        self.bounds = {"RetryBudgetRatio": 0.2, "BudgetSlack": 64, "Grace": "6s", **bounds}
        self.cores = [self.address(10 + i, "control") for i in range(cores)]
        self.fronts = [self.address(40 + i, "front") for i in range(fronts)]
        self.ready = [self.address(40 + i, "ready") for i in range(fronts)]
        self.processes = {}
        for i in range(cores):
            self.define(f"core-{i}", "control")
        for i in range(fronts):
            self.define(f"front-{i}", "entry")

    def address(self, host, port):
        ip = f"{self.net}.{host}"
        key = (host, port)
        if key not in self.ports:
            with socket.socket() as probe:
                probe.bind((ip, 0))
                self.ports[key] = probe.getsockname()[1]
        return f"{ip}:{self.ports[key]}"

    def define(self, name, role, first_start=True):
        i = int(name.split("-")[1])
        host = (10 if role == "control" else 40) + i
        inner = int(self.address(host, "inner").split(":")[1])
        fields = {"NodeName": name, "Zone": f"zone-{i % 3}", "IpAddress": f"{self.net}.{host}",
                  "InternalPortRange": [inner, inner], "SeedNodes": self.cores[:3],
                  "Bootstrap": first_start, "Heartbeat": "1500ms",
                  "DataDir": os.path.join(self.folder, name + ".data"),
                  "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
                  "Limits": {"LinkMbps": 2500.0}, "Bounds": self.bounds}
        if role == "control":
            fields["ListenAddresses"] = {"Control": self.cores[i]}
        else:
            fields["ListenAddresses"] = {"Front": self.fronts[i], "Ready": self.ready[i]}
        settings = render(role + ".json", fields)
        self.processes[name] = Process(name, "kumquat-" + role, settings, self)

    async def start(self, document):
        for program in ("kumquat-control", "kumquat-entry"):
            if not os.access(os.path.join(PROGRAMS, program), os.X_OK):
                raise CannotRun(f"{program} is not built")
        for process in self.processes.values():
            process.start()
        await self.put(document, 20)

    def front(self, i):
        return self.processes[f"front-{i}"]

    def core(self, i):
        return self.processes[f"core-{i}"]

    async def put(self, document, seconds=10):
        """Sends a manifest to the members in turn until one acknowledges it."""
        body = json.dumps(document).encode()
        end = time.monotonic() + seconds
        member = 0
        while time.monotonic() < end:
            reply = await call(self.cores[member % len(self.cores)], "PUT",
                               "/kumquat/v1/document", body, 2)
            if reply and reply.status == 200:
                self.record.add(f"operator: manifest {document['Version']} is acknowledged")
                return
            member += 1
            await asyncio.sleep(0.1)
        raise CannotRun("no manifest was acknowledged")

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            replies = [await call(address, "GET", "/kumquat/v1/ready", b"", 1)
                       for address in self.ready]
            if all(reply and reply.status == 200 for reply in replies):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the front machines are not ready")

    def stop(self):
        for process in self.processes.values():
            process.end()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Reply:
    def __init__(self, status, headers, body, whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole

    def keeps(self):
        return self.whole and self.headers.get("connection", "").lower() != "close"


async def read_head(reader):
    """First line and headers (lower case) of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, to_end=False):
    """The body, and whether it is whole."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    while (await reader.readuntil(b"\r\n")) != b"\r\n":
                        pass
                    return body, True
                body += (await reader.readexactly(size + 2))[:-2]
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"])), True
        return (await reader.read(-1), True) if to_end else (b"", True)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return b"", False


async def read_reply(reader, method="GET"):
    """The final response on a connection; None when the connection ends before one."""
    while True:
        head = await read_head(reader)
        if head is None:
            return None
        status = int(head[0].split(" ")[1])
        if status >= 200:
            break
    bodyless = method == "HEAD" or status in (204, 304)
    body, whole = (b"", True) if bodyless else await read_body(reader, head[1], True)
    return Reply(status, head[1], body, whole)


async def open_to(address, seconds):
    ip, port = address.split(":")
    return await asyncio.wait_for(asyncio.open_connection(ip, int(port), limit=2 ** 20), seconds)


async def call(address, method, path, body=b"", seconds=1, headers=None):
    """One call on a connection of its own; None without a response in time."""
    writer = None
    try:
        reader, writer = await open_to(address, seconds)
        head = {"Host": address, "Content-Type": "application/json", "Connection": "close",
                "Content-Length": str(len(body)), **(headers or {})}
        writer.write(f"{method} {path} HTTP/1.1\r\n".encode()
                     + "".join(f"{k}: {v}\r\n" for k, v in head.items()).encode() + b"\r\n" + body)
        return await asyncio.wait_for(read_reply(reader, method), seconds)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        if writer:
            writer.close()


def new_id():
    return f"{random.getrandbits(64):016x}"


def request_bytes(method, path, request_id, deadline_ms, body=b"", more=None):
    head = {"Host": HOST, "Kumquatdeal-Request-Id": request_id,
            "Kumquatdeal-Deadline-Ms": str(deadline_ms), **(more or {})}
    if body or method == "POST":
        head["Content-Length"] = str(len(body))
    return (f"{method} {path} HTTP/1.1\r\n"
            + "".join(f"{k}: {v}\r\n" for k, v in head.items()) + "\r\n").encode() + body


async def ask(address, method, path, deadline_ms, body=b"", request_id=None, more=None):
    """A requester's attempt on a new connection: (id, reply); reply None without a response."""
    request_id = request_id or new_id()
    writer = None
    try:
        reader, writer = await open_to(address, 1)
        writer.write(request_bytes(method, path, request_id, deadline_ms, body, more))
        reply = await asyncio.wait_for(read_reply(reader, method), deadline_ms / 1000 + 1)
        return request_id, reply
    except (OSError, asyncio.TimeoutError):
        return request_id, None
    finally:
        if writer:
            writer.close()


class Backend:
    """A sound backend: it runs what it accepts, drops what its caller has left, and sends beats."""

    def __init__(self, fleet, name, service, host, slots=4, queue=8, work_s=0.05, on_run=None,
                 zone="zone-0"):
        self.fleet = fleet
        self.record = fleet.record
        self.name = name
        self.service = service
        self.zone = zone
        self.ip, port = fleet.address(host, "backend " + name).split(":")
        self.port = int(port)
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.on_run = on_run  # called with (backend, method, path, id, headers) as a run begins
        self.runs = []  # (time, id, path)
        self.running = 0
        self.waiting = 0
        self.server = None
        self.writers = set()
        self.tasks = []
        self.born = 0
        self.sequence = 0
        self.state = "ready"
        self.down_until = 0.0
        self.warm_at = 0.0
        self.free = None

    async def start(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=2 ** 20,
                                                 backlog=200)
        self.tasks = [asyncio.create_task(self.beat_on())]

    def crash(self):
        """Ends at once: its connections are reset, its port refuses, it says nothing more."""
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()

    async def stop(self):
        self.crash()

    def beat(self):
        self.sequence += 1
        left = max(0, int((self.warm_at - time.monotonic()) * 1000))
        return json.dumps({"Service": self.service, "Address": f"{self.ip}:{self.port}",
                           "Zone": self.zone, "Version": "v1", "Slots": self.slots,
                           "State": self.state, "WarmupLeft": f"{left}ms",
                           "Sequence": self.sequence, "born": self.born}).encode()

    async def report(self):
        """One status report, to a node and then the next ones; True when it is acknowledged."""
        body = self.beat()
        nodes = list(self.fleet.cores)
        random.shuffle(nodes)
        for node in nodes:
            reply = await call(node, "PUT", "/kumquat/v1/targets/" + self.name, body, 1)
            if reply and 200 <= reply.status < 300:
                return True
        return False

    async def beat_on(self):
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    def headers(self, request_id):
        head = {"Kumquatdeal-Server-Load": f"{self.running},{self.waiting},{self.slots},100",
                "Kumquatdeal-Instance-Id": self.name, "Keep-Alive": "timeout=10"}
        if self.warm_at:
            head["Kumquatdeal-Warmup-Ms"] = str(max(0, int((self.warm_at - time.monotonic()) * 1000)))
        if request_id:
            head["Kumquatdeal-Request-Id"] = request_id
        return head

    def answer(self, writer, status, body, more):
        if writer.is_closing():
            return
        head = {"Content-Length": str(len(body)), **more}
        writer.write(f"HTTP/1.1 {status} X\r\n".encode()
                     + "".join(f"{k}: {v}\r\n" for k, v in head.items()).encode()
                     + b"\r\n" + body)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return False
        method, path, _ = head[0].split(" ")
        headers = head[1]
        body, whole = await read_body(reader, headers)
        if not whole:
            return False
        request_id = headers.get("kumquatdeal-request-id", "")
        if path == "/health":
            self.answer(writer, 200 if self.state == "ready" else 503, b"ok", self.headers(""))
            return True
        if headers.get("kumquatdeal-expect-instance", self.name) != self.name:
            self.answer(writer, 421, b"", {**self.headers(request_id),
                                           "Kumquatdeal-Not-Executed": "1"})
            return True
        if self.running >= self.slots and self.waiting >= self.queue:
            self.answer(writer, 503, b"", {**self.headers(request_id),
                                           "Kumquatdeal-Not-Executed": "1"})
            return True
        return await self.run(reader, writer, method, path, headers, body, request_id)

    async def run(self, reader, writer, method, path, headers, body, request_id):
        deadline = time.monotonic() + int(headers.get("kumquatdeal-deadline-ms", "60000")) / 1000
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        if not self.server.is_serving():  # crashed while the request waited
            self.free.release()
            return False
        self.running += 1
        try:
            self.runs.append((self.record.now(), request_id, path))
            if self.on_run and self.on_run(self, method, path, request_id, headers):
                return False
            work = self.work_s(path) if callable(self.work_s) else self.work_s
            left = min(work, max(0.0, deadline - time.monotonic()))
            if not await self.work(reader, left):
                return False
            late = work > left
            stamp = hashlib.sha1((self.name + request_id).encode()).hexdigest()[:8]
            reply = b"" if late else f"{self.name} {path} {len(body)}\n".encode()
            self.answer(writer, 504 if late else 200, reply,
                        {**self.headers(request_id), "Kumquatdeal-Response-Stamp": stamp})
            return True
        finally:
            self.running -= 1
            self.free.release()

    async def work(self, reader, seconds):
        """Works; False when the caller has closed the connection meanwhile."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if reader.at_eof() or reader.exception():
                return False
            await asyncio.sleep(min(0.02, max(0.0, end - time.monotonic())))
        return True


def reset(writer):
    raw = writer.get_extra_info("socket")
    if raw is not None:
        try:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


def rule(name, kind, prefix, service, timeout="3000ms", aim="500ms", attempts=2, priority=1):
    return {"Name": name, "RouteType": kind, "TargetLatency": aim, "Priority": priority,
            "Match": {"PathPrefix": prefix},
            "Action": {"Service": service, "Timeout": timeout, "Attempts": attempts}}


def manifest(version, rules, services, **more):
    clusters = [{"Name": name, "HealthPath": "/health", "MaxConnections": 260, "Protocol": "h1",
                 "Tls": False, **extra} for name, extra in services.items()]
    return {"Version": f"{version:08x}",
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms",
                       "IdleTimeout": "15000ms"},
            "Listeners": [{"Hostname": HOST, "Rules": rules}], "Clusters": clusters, **more}


def main(case, seconds=115):
    """Runs `case(record)`, which returns True when the rule held, and exits as the issue asks."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(folder)
    record.add(f"trouble: {'yes' if TROUBLE else 'no'}")
    # Being stopped from outside must not leave processes behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        held = asyncio.run(asyncio.wait_for(case(record), seconds))
        code = 0 if held else 1
        record.add("the rule held" if held else "the rule was broken")
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.add(f"could not run: {type(error).__name__} {error}")
    finally:
        record.close()
    print(["held", "broken", "could not run"][code])
    sys.exit(code)
