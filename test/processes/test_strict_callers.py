"""Process test of what callers read: a strict reader takes each response as its own request's.

    KUMQUAT_SEED=7 python3 -W ignore test/processes/test_strict_callers.py
"""

import collections
import itertools
import os
import random
import re
import signal
import socket
import threading
import time
import unittest

from odd_targets import LONG_REPEATS, OddTarget, SCRIPTS, SERVICE, SOUND
from platform_fleet import HOST, PlatformFleet, document
from support import wait_until

TARGETS = 4
BASE = 2780
SEED = int(os.environ.get("KUMQUAT_SEED", "1"))
CALLERS = 8
BATCHES = 40  # of requests, by each caller
LONG_BODY = 80_000
DEADLINE_MS = 500
NOT_RUN = (408, 421, 429, 503)  # the statuses that promise so


Request = collections.namedtuple("Request", "id script method closes expects")
Response = collections.namedtuple("Response", "status fields body closes")


class Fault(Exception):
    pass


class Ended(Exception):
    """The connection ended where a response is due."""


class StrictCaller:
    """Reads exactly what HTTP/1.1 allows, and finds a fault in anything else."""

    numbers = itertools.count(1)

    def __init__(self, address):
        host, port = address.split(":")
        self.socket = socket.create_connection((host, int(port)), timeout=10)
        self.input = self.socket.makefile("rb")

    def close(self):
        self.input.close()
        self.socket.close()

    def encode(self, route, script, chance, method=None, closes=False):
        """A request as bytes, with what is needed to check its response."""
        method = method or ("GET" if route == "get" else "POST")
        request_id = f"{next(self.numbers):016x}"
        body = b"b" * chance.choice((0, 100, LONG_BODY)) if method == "POST" else b""
        early = "/early" if body and chance.random() < 0.3 else ""
        version = "1.0" if chance.random() < (0.5 if closes else 0.1) else "1.1"
        head = (f"{method} /{route}/{script}{early} HTTP/{version}\r\nHost: {HOST}\r\n"
                f"Kumquatdeal-Request-Id: {request_id}\r\nKumquatdeal-Deadline-Ms: {DEADLINE_MS}\r\n")
        expects = bool(body) and version == "1.1" and chance.random() < 0.2
        if expects:
            head += "Expect: 100-continue\r\n"
        if closes != (version == "1.0"):
            head += "Connection: close\r\n" if closes else "Connection: keep-alive\r\n"
        if method == "POST" and version == "1.1" and chance.random() < 0.5:
            chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
            data = head.encode() + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"
        else:
            data = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        return data, Request(request_id, script, method, closes, expects)

    def line(self, is_first=False):
        line = self.input.readline()
        if is_first and not line:
            raise Ended
        if not re.fullmatch(rb"[\t -~]*\r\n", line):
            raise Fault(f"not a line: {line[:60]}")
        return line[:-2].decode()

    def read(self, request):
        line = self.line(is_first=True)
        if request.expects and line == "HTTP/1.1 100 Continue":
            if self.line():
                raise Fault("an interim response with fields")
            line = self.line()
        status = re.fullmatch(r"HTTP/1\.1 ([2-5]\d\d) .*", line)
        if not status:
            raise Fault("not the status line of a final response")
        fields = collections.defaultdict(list)
        for line in iter(self.line, ""):
            field = re.fullmatch(r"([!#-'*+\-.^-z|~0-9A-Z]+):[ \t]*(.*?)[ \t]*", line)
            if not field:
                raise Fault(f"not a field: {line[:60]}")
            fields[field.group(1).lower()].append(field.group(2))
        if sum(map(len, fields.values())) > 100:
            raise Fault("more than 100 fields")
        status = int(status.group(1))
        body = self.body(request, status, fields)
        closes = [value.lower() for value in fields["connection"]] == ["close"]
        if fields["connection"] and not closes and fields["connection"] != ["keep-alive"]:
            raise Fault(f"Connection: {fields['connection']}")
        return Response(status, fields, body, closes)

    def body(self, request, status, fields):
        lengths = fields["content-length"]
        if fields["transfer-encoding"] or len(lengths) > 1 or not all(map(str.isdigit, lengths)):
            raise Fault(f"framing: {lengths} {fields['transfer-encoding']}")
        if status == 204 and lengths:
            raise Fault("a response without a body has a length")
        if request.method == "HEAD" or status in (204, 304):
            return b""
        if not lengths:
            raise Fault("no length")
        body = self.input.read(int(lengths[0]))
        if len(body) != int(lengths[0]):
            raise Fault(f"a body of {len(body)} bytes of {lengths[0]}")
        return body

    def check_end(self):
        if self.input.read(1):
            raise Fault("bytes behind the last response")


def check_own(request, response):
    """A response is that of its request, and a success is the target's own and whole."""
    if response.fields["kumquatdeal-request-id"] not in ([], [request.id]):
        raise Fault(f"IDs {response.fields['kumquatdeal-request-id']}")
    if response.status >= 400:
        return
    if response.fields["kumquatdeal-response-stamp"] != ["s-" + request.id]:
        raise Fault(f"stamp {response.fields['kumquatdeal-response-stamp']}")
    repeats = LONG_REPEATS if request.script == "long" else 1
    is_own = response.body.decode() == request.id * repeats
    if request.method != "HEAD" and response.status == 200 and not is_own:
        raise Fault(f"body {response.body[:60]}")


class OddFleet(PlatformFleet):
    """Has loopback addresses of its own, beside those of other fleets."""

    def loopback_address(self, name):
        return f"127.0.{143 if name.startswith('control') else 144}.{10 + int(name.split('-')[1])}"


class StrictCallers(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = OddFleet(base=BASE, entries=2)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()
        cls.runs = collections.Counter()  # by request ID
        for i in range(TARGETS):
            cls.addClassCleanup(OddTarget(cls.fleet, f"odd{i}", cls.runs).stop)
        routes = (("/lookup/", "safe", "catalogue"), ("/book/", "unsafe", SERVICE),
                  ("/get/", "safe", SERVICE), ("/send/", "upload", SERVICE))
        changed = document(2, routes)
        changed["Clusters"].append(dict(changed["Clusters"][0], Name=SERVICE))
        cls.fleet.put_document(changed)
        for entry, ready in enumerate(cls.fleet.ready_addresses):
            for i in range(TARGETS):
                wait_until(lambda name=f'"target":"odd{i}"': name in cls.log(entry), 10, "targets")
            wait_until(lambda: cls.fleet.metric(ready, "kumquat_configuration_number") == 2, 10,
                       "version 2")

    @classmethod
    def log(cls, entry):
        with open(cls.fleet.processes[f"entry-{entry}"].log_path) as file:
            return file.read()

    def setUp(self):
        self.statuses = collections.Counter()  # by script and status
        self.faults = []
        self.ended = 0  # callers
        self.is_stopping = False

    def batch(self, chance):
        scripts = [chance.choice(SOUND if chance.random() < 0.5 else sorted(SCRIPTS))
                   for _ in range(chance.randint(1, 5))]
        for i, script in enumerate(scripts):
            route = chance.choice(("get", "get", "get", "book", "send"))
            method = "HEAD" if route == "get" and chance.random() < 0.2 else None
            yield route, script, method, i == len(scripts) - 1 and chance.random() < 0.2

    def call(self, caller, data, requests):
        """Sends requests and reads their responses; false when the connection has ended."""
        try:
            caller.socket.sendall(data)
        except ConnectionError:
            self.note_end(requests)
            return False
        for i, request in enumerate(requests):
            try:
                response = caller.read(request)
                check_own(request, response)
                if response.status in NOT_RUN and request.method == "POST" and self.runs[request.id]:
                    raise Fault(f"{response.status} although it ran")
                self.statuses[request.script, response.status] += 1
                if response.closes:
                    caller.check_end()
                elif request.closes:
                    raise Fault("no Connection: close")
            except (Ended, ConnectionResetError):
                self.note_end(requests[i:])
                return False
            except (Fault, OSError) as fault:
                self.faults.append(f"{request}, ran {self.runs[request.id]} times: {fault!r}")
                return False
            if response.closes:
                self.check_not_run(requests[i + 1:], "behind a response that closes")
                return False
        return True

    def note_end(self, requests):
        """Only an entry that stops may end a connection at which it has read no further request."""
        if not self.is_stopping:
            self.faults.append(f"the connection ended before {requests[0]}")
        self.check_not_run(requests, "without a response")

    def check_not_run(self, requests, where):
        time.sleep(0.05)  # What was passed on has arrived by then.
        self.faults += [f"{request} ran {where}" for request in requests if self.runs[request.id]]

    def run_caller(self, number, entry=0):
        chance = random.Random(f"{SEED}/{number}")
        caller = None
        for _ in range(BATCHES):
            caller = caller or StrictCaller(self.fleet.caller_addresses[entry])
            encoded = [caller.encode(route, script, chance, method, closes)
                       for route, script, method, closes in self.batch(chance)]
            if not self.call(caller, b"".join(data for data, _ in encoded),
                             [request for _, request in encoded]):
                caller.close()
                caller = None
        self.ended += 1

    # Guards against responses that reach a caller and that it can't frame or match, which count as
    # none.
    def test_each_response_is_one_for_a_strict_caller(self):
        callers = [threading.Thread(target=self.run_caller, args=(i,)) for i in range(CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join(60)
        self.assertEqual(self.ended, CALLERS)
        self.assertGreater(min(self.statuses[script, 200] for script in ("ok", "long", "old")), 0)
        self.assertEqual(self.faults, [], f"seed {SEED}")

    def run_until_stopped(self, number):
        try:
            self.run_caller(number, entry=1)
        except ConnectionRefusedError:
            pass  # The entry accepts no more.

    # Guards against the same beside a planned stop, and against requests that run and get none.
    def test_each_response_of_an_entry_that_stops_is_one(self):
        callers = [threading.Thread(target=self.run_until_stopped, args=(i,)) for i in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(1)
        self.is_stopping = True
        self.fleet.processes["entry-1"].signal(signal.SIGTERM)
        for caller in callers:
            caller.join(60)
        self.assertEqual(self.faults, [], f"seed {SEED}")
        self.assertEqual(self.fleet.processes["entry-1"].stop(), 0)


if __name__ == "__main__":
    unittest.main()
