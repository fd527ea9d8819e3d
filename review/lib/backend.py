"""A stand-in backend as PROTOCOL.md describes it: heartbeats, slots, a queue, the load header, the id
and the stamp in each answer, 421 for another instance, 503 with Kumquatdeal-Not-Executed when full."""

import asyncio
import json
import threading
import time
import http.client


class Backend:
    def __init__(self, fleet, service, ident, ip, port, slots=4, work_s=0.02):
        self.fleet = fleet
        self.service = service
        self.ident = ident
        self.ip = ip
        self.port = port
        self.slots = slots
        self.queue = 4 * slots
        self.work_s = work_s
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.waiting = 0
        self.runs = []  # (time, request id, path)
        self.on_run = None  # async function(request) -> (status, headers) or None
        self.beating = True
        self.ended = False
        self.server = None
        self.writers = set()

    def beat_body(self):
        self.sequence += 1
        return json.dumps({
            "Service": self.service, "Address": f"{self.ip}:{self.port}", "Zone": "zone-a",
            "Version": "v1", "Slots": self.slots, "State": self.state, "WarmupLeft": "0ms",
            "Sequence": self.sequence, "born": self.born})

    def call(self, method, body, member, timeout=1.0):
        status, _ = self.fleet.call_control(member, method, "/kumquat/v1/targets/" + self.ident,
                                            body, timeout)
        return status

    def beat(self, first=0):
        """One heartbeat, to one member after the other until one acknowledges it."""
        for i in range(len(self.fleet.controls)):
            if self.call("PUT", self.beat_body(), (first + i) % len(self.fleet.controls)) == 200:
                return True
        return False

    def deregister(self):
        """Says that it leaves; returns True once that is confirmed."""
        self.beating = False
        body = json.dumps({"born": self.born})
        for _ in range(2):
            for i in range(len(self.fleet.controls)):
                if self.call("DELETE", body, i) == 200:
                    return True
        return False

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def read_request(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ")
        headers = {}
        for line in lines[1:]:
            if ":" in line:
                key, _, value = line.partition(":")
                headers[key.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        left = length
        while left > 0:
            part = await reader.read(min(left, 1 << 20))
            if not part:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(part)
        return {"method": method, "path": path, "headers": headers, "length": length}

    async def answer(self, writer, request, status, headers=(), body=b"{}"):
        reason = {200: "OK", 421: "Misdirected Request", 429: "Too Many Requests",
                  503: "Service Unavailable"}.get(status, "Status")
        lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}",
                 f"Kumquatdeal-Instance-Id: {self.ident}",
                 f"Kumquatdeal-Server-Load: {self.running},{self.waiting},{self.slots},100"]
        ident = request["headers"].get("kumquatdeal-request-id")
        if ident:
            lines.append("Kumquatdeal-Request-Id: " + ident)
        lines += [f"{key}: {value}" for key, value in headers]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()

    async def serve_one(self, reader, writer):
        request = await self.read_request(reader)
        if request["path"] == "/health":
            healthy = self.state == "ready"
            await self.answer(writer, request, 200 if healthy else 503)
            return True
        expected = request["headers"].get("kumquatdeal-expect-instance", self.ident)
        if expected != self.ident:
            await self.answer(writer, request, 421)
            return True
        if self.running >= self.slots and self.waiting >= self.queue:
            await self.answer(writer, request, 503, [("Kumquatdeal-Not-Executed", "1")])
            return True
        self.waiting += 1
        while self.running >= self.slots:
            await asyncio.sleep(0.002)
        self.waiting -= 1
        self.running += 1
        ident = request["headers"].get("kumquatdeal-request-id", "")
        self.runs.append((time.monotonic(), ident, request["path"]))
        try:
            await asyncio.sleep(self.work_s)
            special = await self.on_run(request) if self.on_run else None
        finally:
            self.running -= 1
        status, headers = special or (200, [])
        stamp = [("Kumquatdeal-Response-Stamp", f"{self.ident}.{len(self.runs)}")]
        await self.answer(writer, request, status, stamp + list(headers))
        return True

    async def end(self):
        """The process ends: its listener and its connections are gone."""
        self.ended = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Backends(threading.Thread):
    """Runs all backends of a case on one event loop."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.list = []
        self.loop = asyncio.new_event_loop()
        self.started = threading.Event()

    def add(self, service, ident, **options):
        from fleet import free_port
        ip = f"127.{self.fleet.net}.3.{10 + len(self.list)}"
        backend = Backend(self.fleet, service, ident, ip, free_port(ip), **options)
        self.list.append(backend)
        return backend

    async def open(self):
        for backend in self.list:
            backend.server = await asyncio.start_server(backend.serve, backend.ip, backend.port,
                                                        limit=1 << 20)
        self.started.set()

    def run(self):
        asyncio.set_event_loop(self.loop)
        self.loop.create_task(self.open())
        self.loop.run_forever()

    def begin(self, beat_s=1.5):
        """Listens, and beats for each backend that still does, each `beat_s` at its own moment."""
        self.start()
        self.started.wait(5)
        for number, backend in enumerate(self.list):
            threading.Thread(target=self.beat_on, args=(backend, number, beat_s),
                             daemon=True).start()

    def beat_on(self, backend, number, beat_s):
        time.sleep(beat_s * number / max(1, len(self.list)))
        while not self.fleet.closed and backend.beating:
            accepted = backend.beat(number)
            time.sleep(beat_s if accepted else 0.1)

    def end(self, backend):
        asyncio.run_coroutine_threadsafe(backend.end(), self.loop)
