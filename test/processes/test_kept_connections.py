"""Process tests of kept connections: whatever goes wrong with reading, what was passed on is answered."""

import signal
import socket
import time
import unittest

from platform_fleet import HOST, PlatformFleet, document
from support import wait_until
from test_pipelining import PipelinedCaller

SLOW = "/lookup/slow?work=2000000"  # microseconds
HEADER_TIMEOUT_MS = 1000
LONG_BYTES = 200_000
HALF_A_HEADER = f"GET /lookup/x HTTP/1.1\r\nHost: {HOST}\r\n".encode()
REST_OF_THE_HEADER = b"Kumquatdeal-Request-Id: 00000000deadbeef\r\n\r\n"


class KeptFleet(PlatformFleet):
    """Has loopback addresses of its own, beside those of other fleets."""

    def loopback_address(self, name):
        return f"127.0.{55 if name.startswith('control') else 56}.{10 + int(name.split('-')[1])}"


def document_with_short_header_timeout():
    value = document(2)
    value["Limits"]["HeaderTimeout"] = f"{HEADER_TIMEOUT_MS}ms"
    return value


class KeptConnections(unittest.TestCase):
    def setUp(self):
        self.fleet = KeptFleet(base=2160, entries=1)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.fleet.put_document(document_with_short_header_timeout())
        wait_until(lambda: self.fleet.metric(self.fleet.ready_addresses[0],
                                             "kumquat_configuration_number") == 2, 10, "version 2")
        self.caller = PipelinedCaller(self.fleet.caller_addresses[0])
        self.addCleanup(self.caller.socket.close)

    def runs(self, request_id):
        return self.fleet.standin_report()["runs"].get(request_id, 0)

    def send_slow_lookups(self, count=2):
        ids = [self.caller.send(SLOW) for _ in range(count)]
        wait_until(lambda: all(self.runs(i) == 1 for i in ids), 10, "the lookups to run")
        return ids

    def check_next(self, request_id, status=200):
        got, headers, _ = self.caller.read()
        self.assertEqual((got, headers["Kumquatdeal-Request-Id"]), (status, request_id))
        return headers

    # Guards against pipelined requests that run at a target and get no response, since the header
    # of a further request doesn't come in time.
    def test_half_a_header_costs_no_request_before_it_its_response(self):
        ids = self.send_slow_lookups()
        self.caller.socket.sendall(HALF_A_HEADER)
        for request_id in ids:
            self.check_next(request_id)
        status, headers, _ = self.caller.read()
        self.assertEqual((status, headers["Connection"]), (408, "close"))
        self.assertTrue(self.caller.is_closed())

    # Guards against the same where the entry stood still while the rest of the header came, so that
    # the timer and the input are due at once.
    def test_a_header_that_came_while_the_entry_stood_still_is_in_time(self):
        ids = self.send_slow_lookups()
        self.caller.socket.sendall(HALF_A_HEADER)
        entry = self.fleet.processes["entry-0"]
        entry.signal(signal.SIGSTOP)
        self.caller.socket.sendall(REST_OF_THE_HEADER)
        time.sleep(2 * HEADER_TIMEOUT_MS / 1000)
        entry.signal(signal.SIGCONT)
        for request_id in ids:
            self.check_next(request_id)
        self.assertIn(self.caller.read()[0], (200, 503))

    # Guards against requests that ran and get no response, since the end of their caller's input is
    # taken for its departure.
    def test_a_caller_that_closes_its_writing_side_gets_its_responses(self):
        ids = self.send_slow_lookups()
        self.caller.socket.shutdown(socket.SHUT_WR)
        self.check_next(ids[0])
        self.assertEqual(self.check_next(ids[1])["Connection"], "close")
        self.assertTrue(self.caller.is_closed())

    def test_a_booking_whose_caller_closes_its_writing_side_is_answered(self):
        booking = self.caller.send("/book/slow?work=1000000", method="POST", body=b"b")
        wait_until(lambda: self.runs(booking) == 1, 10, "the booking to run")
        self.caller.socket.shutdown(socket.SHUT_WR)
        self.check_next(booking)

    # Guards against work that goes on for a caller that has left, with the line that says so.
    def test_a_caller_that_closes_its_connection_is_noticed(self):
        ids = self.send_slow_lookups(1)
        self.caller.input.close()
        self.caller.socket.close()
        entry = self.fleet.processes["entry-0"]
        wait_until(lambda: self.line_of(entry, 333, ids[0]), 1, "the caller to be missed")
        self.assertIn('"cause":"caller-closed"', self.line_of(entry, 333, ids[0]))

    @staticmethod
    def line_of(process, event, request_id):
        with open(process.log_path) as log:
            return next((line for line in log if f'"event":{event}' in line
                         and request_id in line), "")

    def test_a_body_that_stalls_costs_no_request_before_it_its_response(self):
        ids = self.send_slow_lookups()
        self.caller.socket.sendall(
            f"POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 100\r\n"
            "Kumquatdeal-Request-Id: 00000000deadbeef\r\n"
            "Kumquatdeal-Deadline-Ms: 1000\r\n\r\nhalf a body".encode())
        for request_id in ids:
            self.check_next(request_id)
        status, headers, _ = self.caller.read()
        self.assertEqual((status, headers["Connection"]), (408, "close"))
        self.assertEqual(self.runs("00000000deadbeef"), 0)

    # Guards against a request that ran and whose response is cut, since the body of the next one is
    # malformed.
    def test_a_malformed_body_cuts_no_response_before_it(self):
        self.caller.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        first = self.caller.send(f"/lookup/x?size={LONG_BYTES}")
        self.caller.socket.sendall(
            f"POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nTransfer-Encoding: chunked\r\n"
            "Kumquatdeal-Request-Id: 00000000deadbeef\r\n\r\nzz\r\n".encode())
        wait_until(lambda: self.runs(first) == 1, 10, "the first request to run")
        time.sleep(0.5)
        status, headers, body = self.caller.read()
        self.assertEqual((status, headers["Kumquatdeal-Request-Id"], len(body)),
                         (200, first, LONG_BYTES))
        self.assertEqual(self.caller.read()[0], 400)
        self.assertEqual(self.runs("00000000deadbeef"), 0)


if __name__ == "__main__":
    unittest.main()
