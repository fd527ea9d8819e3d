"""Process tests of the memory that callers' bodies take, and of bodies that are no part of a request."""

import select
import socket
import threading
import time
import unittest

from platform_fleet import HOST, PlatformFleet, document
from support import wait_until

MEGABYTE = 1024 * 1024
PEAK_LIMIT_MB = 650  # the smallest instance that an entry runs on
LARGE_UPLOADS = 8
LARGE_BYTES = 64 * MEGABYTE
SMALL_UPLOADS = 600
SMALL_PART = b"s" * 1500
KEPT_CALLERS = 6
PART_BYTES = 256 * 1024
SECONDS = 15  # for each response
REFUSED = (413, 503)


class MemoryFleet(PlatformFleet):
    """Has loopback addresses of its own."""

    def loopback_address(self, name):
        return f"127.0.{81 if name.startswith('control') else 82}.{10 + int(name.split('-')[1])}"


def read_response(connection):
    """Status, headers and body of a response; the status is 0 when the connection ends before it is whole."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(PART_BYTES)
        if not part:
            return 0, {}, b""
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines[1:])
    length = int(headers["Content-Length"])
    while len(body) < length:
        part = connection.recv(PART_BYTES)
        if not part:
            return 0, headers, body
        body += part
    return int(lines[0].split()[1]), headers, body


class BodyMemory(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = MemoryFleet(base=1450, entries=1)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()
        cls.fleet.put_document(document(2, (("/lookup/", "safe", "catalogue"), ("/book/", "unsafe", "catalogue"),
                                            ("/draw/", "upload", "orders"))))
        cls.lock = threading.Lock()
        wait_until(lambda: cls.fleet.request(0, "/draw/x", "POST", b"x")[0] == 200, 10, "the routes")

    def tearDown(self):
        self.assertIsNone(self.fleet.processes["entry-0"].popen.poll(), "the entry ended")
        self.assertEqual(self.fleet.request(0, "/lookup/after")[0], 200)

    def connect(self):
        host, port = self.fleet.caller_addresses[0].split(":")
        return socket.create_connection((host, int(port)), timeout=SECONDS)

    def next_id(self):
        with self.lock:
            self.fleet.request_count += 1
            return f"{self.fleet.request_count:016x}"

    def header(self, method, path, request_id, *lines):
        return "\r\n".join([f"{method} {path} HTTP/1.1", f"Host: {HOST}",
                            f"Kumquatdeal-Request-Id: {request_id}", "Kumquatdeal-Deadline-Ms: 8000",
                            *lines, "", ""]).encode()

    def runs(self, request_id):
        return self.fleet.standin_report()["runs"].get(request_id, 0)

    def peak_mb(self):
        with open(f"/proc/{self.fleet.processes['entry-0'].pid}/status") as status:
            line = next(line for line in status if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    # Callers.

    def upload_large(self, results, body, chunked):
        """Sends the body until a response can be read, as a caller that heeds refusals does."""
        request_id = self.next_id()
        framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}"
        with self.connect() as connection:
            connection.sendall(self.header("POST", "/draw/large", request_id, framing))
            if chunked:
                connection.sendall(f"{len(body):x}\r\n".encode())
            sent = 0
            connection.setblocking(False)
            end = time.monotonic() + SECONDS
            while sent < len(body) and time.monotonic() < end:
                readable, writable, _ = select.select([connection], [connection], [], 1)
                if readable:
                    break
                if writable:
                    sent += connection.send(body[sent:sent + PART_BYTES])
            connection.settimeout(SECONDS)
            if chunked and sent == len(body):
                connection.sendall(b"\r\n0\r\n\r\n")
            status, _, data = read_response(connection)
        results.append((request_id, status, data))

    def keep(self, results, ready, go):
        """One request, then a second one on the same connection while the uploads arrive."""
        with self.connect() as connection:
            statuses = []
            for path in ("/book/first", "/book/second?work=300000"):
                connection.sendall(self.header("POST", path, self.next_id(), "Content-Length: 5") + b"quote")
                statuses.append(read_response(connection)[0])
                ready.release()
                go.wait(SECONDS)
            results.append(statuses)

    def start(self, count, function, *arguments):
        threads = [threading.Thread(target=function, args=arguments, daemon=True) for _ in range(count)]
        for thread in threads:
            thread.start()
        return threads

    def check_uploads(self, results, count, length):
        self.assertEqual(len(results), count)
        for request_id, status, data in results:
            if status == 200:
                self.assertIn(f'"received":{length}}}'.encode(), data)
                self.assertEqual(self.runs(request_id), 1)
            else:
                self.assertIn(status, REFUSED)
                self.assertEqual(self.runs(request_id), 0, f"status {status}")

    def play_large(self, chunked, beside=lambda: None):
        body = memoryview(b"z" * LARGE_BYTES)
        kept, uploads = [], []
        ready, go = threading.Semaphore(0), threading.Event()
        callers = self.start(KEPT_CALLERS, self.keep, kept, ready, go)
        for _ in range(KEPT_CALLERS):
            self.assertTrue(ready.acquire(timeout=SECONDS))
        threads = self.start(LARGE_UPLOADS, self.upload_large, uploads, body, chunked)
        go.set()
        beside()
        for thread in threads + callers:
            thread.join(2 * SECONDS)
        self.check_uploads(uploads, LARGE_UPLOADS, LARGE_BYTES)
        self.assertEqual(kept, [[200, 200]] * KEPT_CALLERS)
        peak = self.peak_mb()
        statuses = sorted(status for _, status, _ in uploads)
        print(f"large uploads (chunked={chunked}): {statuses}; peak {peak:.0f} MB")
        self.assertLess(peak, PEAK_LIMIT_MB)
        return statuses

    # Tests.

    def test_large_uploads_at_once_stay_within_the_memory(self):
        self.assertIn(200, self.play_large(chunked=False))

    def test_large_uploads_without_a_length_stay_within_the_memory(self):
        self.play_large(chunked=True)

    def test_many_small_uploads_beside_large_ones_stay_within_the_memory(self):
        small = []
        self.play_large(chunked=False, beside=lambda: small.extend(self.upload_small()))
        self.check_uploads(small, SMALL_UPLOADS, 2 * len(SMALL_PART))
        self.assertGreater(sum(status == 200 for _, status, _ in small), 0)

    def upload_small(self):
        """All bodies are begun before the first one is ended."""
        part = f"{len(SMALL_PART):x}\r\n".encode() + SMALL_PART + b"\r\n"
        results = []
        connections = []
        for _ in range(SMALL_UPLOADS):
            request_id = self.next_id()
            connections.append((request_id, self.connect()))
            connections[-1][1].sendall(
                self.header("POST", "/draw/small", request_id, "Transfer-Encoding: chunked") + part)
        for _, connection in connections:
            try:
                connection.sendall(part + b"0\r\n\r\n")
            except OSError:
                pass  # refused before
        for request_id, connection in connections:
            with connection:
                status, _, data = read_response(connection)
            results.append((request_id, status, data))
        return results

    def test_a_trace_with_a_body_is_malformed(self):
        with self.connect() as connection:
            request_id = self.next_id()
            connection.sendall(self.header("TRACE", "/lookup/x", request_id, "Content-Length: 5") + b"hello")
            self.assertEqual(read_response(connection)[0], 400)
            self.assertEqual(self.runs(request_id), 0)

    def test_nothing_that_an_unknown_coding_hides_runs(self):
        for hidden_by in ("identity", "gzip", "chunked, identity"):
            outer, hidden = self.next_id(), self.next_id()
            inner = self.header("POST", "/book/hidden", hidden, "Content-Length: 0")
            with self.connect() as connection:
                connection.sendall(self.header("POST", "/book/outer", outer, f"Transfer-Encoding: {hidden_by}",
                                               f"Content-Length: {len(inner)}") + inner)
                self.assertEqual(read_response(connection)[0], 400)
                self.assertEqual(connection.recv(1), b"")
            self.assertEqual((self.runs(outer), self.runs(hidden)), (0, 0))

    def test_a_connection_header_cannot_remove_the_request_id(self):
        with self.connect() as connection:
            request_id = self.next_id()
            connection.sendall(self.header("POST", "/book/x", request_id, "Content-Length: 0",
                                           "Connection: Kumquatdeal-Request-Id"))
            status, headers, _ = read_response(connection)
            self.assertEqual((status, headers["Kumquatdeal-Request-Id"]), (200, request_id))
            self.assertEqual(self.runs(request_id), 1)


if __name__ == "__main__":
    unittest.main()
