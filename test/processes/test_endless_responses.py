"""Process tests of targets that send without end: the entry's memory, its other callers, and the answers."""

import re
import threading
import time
import unittest

from announced_target import AnnouncedTarget
from platform_fleet import PlatformFleet, document
from support import wait_until

SERVICE = "endless"
TARGETS = 3
CALLERS = 120
# The memory of the smallest and of the largest instance that the known deployments run entries on.
SMALLEST_MB, LARGEST_MB = 112, 780
HONEST = {502, 503, 504}
TIMEOUT_S = 3.0  # of the routes

OK = b"HTTP/1.1 200 OK\r\nKumquatdeal-Response-Stamp: s\r\n%s"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# What is sent once, and what follows without end.
ENDLESS = {
    "status": (b"HTTP/1.1 200 ", b"O" * 65536),
    "field": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"h" * 65536),
    "fields": (b"HTTP/1.1 200 OK\r\n", b"X-More: y\r\n" * 4096),
    "folded": (b"HTTP/1.1 200 OK\r\nX-Long: a\r\n", b" more\r\n" * 8192),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    "longinterim": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: " + b"l" * 16000 + b"\r\n\r\n"),
    "unframed": (OK + b"\r\n", b"b" * 262144),
    "length": (OK + b"Content-Length: 99999999999\r\n\r\n", b"b" * 262144),
    "chunks": (CHUNKED, b"40000\r\n" + b"c" * 0x40000 + b"\r\n"),
    "smallchunks": (CHUNKED, b"1\r\nc\r\n" * 10000),
    "size": (CHUNKED, b"0" * 65536),
    "extension": (CHUNKED + b"5;", b"e" * 65536),
    "extensions": (CHUNKED, (b"1;" + b"e" * 4000 + b"\r\nc\r\n") * 16),
    "trailer": (CHUNKED + b"2\r\nok\r\n0\r\nX-Long: ", b"t" * 65536),
    "trailers": (CHUNKED + b"2\r\nok\r\n0\r\n", b"X-More: y\r\n" * 4096),
    "behind": (OK + b"Content-Length: 2\r\n\r\nok", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno" * 2048),
}
SOUND = ("behind",)  # the response itself is whole
PROBE = (b"HTTP/1.1 200 OK\r\nKumquatdeal-Instance-Id: %s\r\nKumquatdeal-Server-Load: 0,0,64,100\r\n"
         b"Content-Length: 0\r\n\r\n")


class EndlessTarget(AnnouncedTarget):
    """Answers load probes as its kind says, and any other request without end."""

    def __init__(self, fleet, name):
        self.probes = None  # the kind of endless response to them; None: a sound one
        super().__init__(fleet, name, SERVICE)

    def serve(self, connection):
        try:
            with connection:
                while not self.stopped.is_set():
                    request = connection.recv(65536)
                    if not request:
                        return
                    route = re.match(rb"(?:GET|POST) /(?:endless|once)/(\w+)", request)
                    if route:
                        self.send(connection, route.group(1).decode(), request)
                    elif self.probes:
                        self.send(connection, self.probes, request)
                    else:
                        connection.sendall(PROBE % self.name.encode())
        except OSError:
            pass  # The entry has closed the connection.

    def send(self, connection, kind, request):
        found = re.search(rb"Kumquatdeal-Request-Id: .*?\r\n", request)
        start, repeated = ENDLESS[kind]
        connection.sendall(start.replace(b"%s", found.group(0) if found else b""))
        while not self.stopped.is_set():
            connection.sendall(repeated)


class LimitedFleet(PlatformFleet):
    """Has loopback addresses of its own, and an entry that uses no more than an instance's memory."""

    def __init__(self, memory_mb):
        self.memory_mb = memory_mb
        super().__init__(base=2140, entries=1)

    def loopback_address(self, name):
        return f"127.0.{107 if name.startswith('control') else 108}.{10 + int(name.split('-')[1])}"

    def render_settings(self, template, fields):
        text = super().render_settings(template, fields)
        if template != "entry.json":
            return text
        return text.replace("{", f'{{\n    "memoryLimitMb": {self.memory_mb},', 1)


class EndlessResponses(unittest.TestCase):
    def start(self, memory_mb):
        self.fleet = LimitedFleet(memory_mb)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.targets = [EndlessTarget(self.fleet, f"endless-{i}") for i in range(TARGETS)]
        for target in self.targets:
            self.addCleanup(target.stop)
        changed = document(5, (("/lookup/", "safe", "catalogue"), ("/book/", "unsafe", "orders"),
                               ("/endless/", "safe", SERVICE), ("/once/", "unsafe", SERVICE)))
        changed["Clusters"].append(dict(changed["Clusters"][0], Name=SERVICE))
        self.fleet.put_document(changed)
        wait_until(lambda: all(f'"target":"{target.name}"' in self.log() for target in self.targets), 10,
                   "the targets to be known")
        wait_until(lambda: self.fleet.metric(self.fleet.ready_addresses[0],
                                             "kumquat_configuration_number") == 2, 10, "the document")

    def log(self):
        with open(self.fleet.processes["entry-0"].log_path) as file:
            return file.read()

    def peak_mb(self):
        with open("/proc/%d/status" % self.fleet.processes["entry-0"].pid) as file:
            return int(re.search(r"VmHWM:\s+(\d+)", file.read()).group(1)) / 1024

    def ask(self, results, path, method):
        try:
            results.append(self.fleet.request(0, path, method)[0])
        except OSError as error:
            results.append(error)

    def ask_together(self, kind):
        """The statuses of requests that are sent at the same time, and of lookups of another service beside them."""
        results, lookups, ended = [], [], threading.Event()

        def look_up():
            while not ended.is_set():
                self.ask(lookups, "/lookup/x", "GET")
                time.sleep(0.02)

        beside = threading.Thread(target=look_up)
        beside.start()
        callers = [threading.Thread(target=self.ask, args=(
            results, ("/endless/" if i % 3 else "/once/") + kind, "GET" if i % 3 else "POST"))
            for i in range(CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join(20)
        ended.set()
        beside.join()
        return results, lookups

    def check(self, kind, allowed, memory_mb):
        results, lookups = self.ask_together(kind)
        self.assertEqual(len(results), CALLERS, kind)
        self.assertTrue(set(results) <= allowed, (kind, set(results)))
        self.assertEqual(set(lookups), {200}, kind)
        self.assertIsNone(self.fleet.processes["entry-0"].popen.poll(), kind)
        self.assertLess(self.peak_mb(), memory_mb, kind)

    # Guards against an entry that keeps what a target sends without end, and runs out of memory with
    # the requests of all its callers.
    def test_the_smallest_instance_bears_all_kinds(self):
        self.start(SMALLEST_MB)
        for kind in ENDLESS:
            sound = {200} if kind in SOUND else set()
            self.check(kind, HONEST | sound, SMALLEST_MB)

    def test_the_largest_instance_bears_long_bodies(self):
        self.start(LARGEST_MB)
        for kind in ("unframed", "chunks"):
            self.check(kind, HONEST, LARGEST_MB)

    # Guards against a response that is read until its deadline although next to nothing of it is
    # body: it took the processor and the link from other requests.
    def test_a_response_that_is_mostly_framing_ends_at_once(self):
        self.start(SMALLEST_MB)
        for kind in ("smallchunks", "extensions"):
            began_at = time.monotonic()
            self.assertEqual(self.fleet.request(0, "/once/" + kind, "POST")[0], 502, kind)
            self.assertLess(time.monotonic() - began_at, TIMEOUT_S / 2, kind)

    # Guards against load probes whose responses hold the event loop, and with it all other requests.
    def test_endless_responses_to_load_probes_hold_nobody_up(self):
        self.start(SMALLEST_MB)
        for kind in ("field", "unframed", "smallchunks", "extensions", "behind"):
            for target in self.targets:
                target.probes = kind
            self.check("chunks", HONEST, SMALLEST_MB)


if __name__ == "__main__":
    unittest.main()
