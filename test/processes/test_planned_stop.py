"""Process tests of a planned stop: what comes late in it is answered, and nothing is cut."""

import signal
import time
import unittest

from platform_fleet import HOST, PlatformFleet, document
from support import check_running, wait_until
from test_pipelining import PipelinedCaller

BOOK = "/book/x"
LONG_BOOK = "/long/x?work=8000000"  # microseconds; longer than a stop may take
LONG_LOOKUP = "/longlookup/x?work=8000000"
LONG_TIMEOUT = "20000ms"
PATIENT_MS = 60_000
GRACE_S = 6.0
# The balancer still sends new connections for so long after the stop has begun.
LATE_S = 2.0
LISTENER_CLOSES_S = 2.6
WAITING_CALLERS = 200
MORE_THAN_SLOTS = 40
# A refusal that nothing has to be waited for.
AT_ONCE_S = 0.5


class StoppedFleet(PlatformFleet):
    """Has loopback addresses of its own, beside those of other fleets."""

    def loopback_address(self, name):
        return f"127.0.{67 if name.startswith('control') else 68}.{10 + int(name.split('-')[1])}"


def document_with_long_route():
    """The usual routes, and two whose requests may last longer than a planned stop."""
    routes = (("/lookup/", "safe", "catalogue"), ("/book/", "unsafe", "orders"),
              ("/long/", "unsafe", "orders"), ("/longlookup/", "safe", "orders"))
    value = document(2, routes)
    for rule in value["Listeners"][0]["Rules"][2:]:
        rule["Action"]["Timeout"] = LONG_TIMEOUT
    return value


def document_with_patient_route():
    """Requests of the long route may also wait for a target for longer than a planned stop."""
    value = document_with_long_route()
    rule = value["Listeners"][0]["Rules"][2]
    rule["TargetLatency"] = rule["Action"]["Timeout"] = f"{PATIENT_MS}ms"
    value["Version"] = "00000003"
    return value


class PlannedStop(unittest.TestCase):
    def setUp(self):
        self.fleet = StoppedFleet(base=1960, entries=1)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.fleet.put_document(document_with_long_route())
        wait_until(lambda: self.fleet.request(0, "/long/x", "POST")[0] == 200, 10, "the long route")
        self.entry = self.fleet.processes["entry-0"]

    def connect(self):
        caller = PipelinedCaller(self.fleet.caller_addresses[0])
        self.addCleanup(caller.socket.close)
        return caller

    def runs(self, request_id):
        return self.fleet.standin_report()["runs"].get(request_id, 0)

    def stop_entry(self):
        check_running([self.entry])
        self.entry.signal(signal.SIGTERM)
        wait_until(lambda: '"event":101' in self.log(), 10, "the stop to begin")

    def log(self):
        with open(self.entry.log_path) as file:
            return file.read()

    def check_refused_at_once(self, caller, request_id, sent_at):
        status, headers, _ = caller.read()
        self.assertLess(time.monotonic() - sent_at, AT_ONCE_S)
        self.assertEqual((status, headers["Connection"]), (503, "close"))
        self.assertLess(float(headers["Retry-After"]), 1.0)
        self.assertEqual(self.runs(request_id), 0)

    # Guards against bookings that come during a planned stop, run at a target, and are cut without
    # a response when the process ends.
    def test_a_request_that_the_stop_could_cut_is_refused_at_once(self):
        kept = self.connect()
        kept.send(BOOK, "POST", b"b")
        self.assertEqual(kept.read()[0], 200)
        self.stop_entry()
        time.sleep(LATE_S)
        for caller in (kept, self.connect()):
            sent_at = time.monotonic()
            request_id = caller.send(LONG_BOOK, "POST", b"b" * 100_000, deadline_ms=20_000)
            self.check_refused_at_once(caller, request_id, sent_at)

    def test_a_request_that_ends_within_the_stop_is_served(self):
        callers = [self.connect() for _ in range(3)]
        self.stop_entry()
        time.sleep(LATE_S)
        for caller in callers:
            caller.send("/book/x?work=1000000", "POST", b"b", deadline_ms=2_500)
        for caller in callers:
            status, headers, _ = caller.read()
            self.assertEqual((status, headers["Connection"]), (200, "close"))
        self.assertEqual(self.entry.stop(), 0)

    # Guards against requests that wait for a target when the stop begins, and are cut at its end.
    def test_a_request_that_waits_for_a_target_is_refused_at_once(self):
        self.fleet.put_document(document_with_patient_route())
        wait_until(lambda: self.fleet.metric(self.fleet.ready_addresses[0],
                                             "kumquat_configuration_number") == 3, 10, "version 3")
        callers = [self.connect() for _ in range(MORE_THAN_SLOTS)]
        ids = [caller.send(LONG_BOOK, "POST", b"b", deadline_ms=PATIENT_MS) for caller in callers]
        time.sleep(0.5)
        waiting = [(caller, i) for caller, i in zip(callers, ids)
                   if self.runs(i) == 0 and not caller.has_input()]
        self.assertGreater(len(waiting), 0)
        self.stop_entry()
        began_at = time.monotonic()
        for caller, request_id in waiting:
            self.check_refused_at_once(caller, request_id, began_at)

    # Guards against callers that connect and send just before the listener closes, and are reset.
    def test_requests_that_wait_at_the_listener_are_answered(self):
        self.stop_entry()
        began_at = time.monotonic()
        time.sleep(LISTENER_CLOSES_S - 0.5)
        self.entry.signal(signal.SIGSTOP)
        callers = [self.connect() for _ in range(WAITING_CALLERS)]
        for caller in callers:
            caller.send(BOOK, "POST", b"b", deadline_ms=1_500)
        time.sleep(began_at + LISTENER_CLOSES_S + 0.3 - time.monotonic())
        self.entry.signal(signal.SIGCONT)
        for caller in callers:
            status, headers, _ = caller.read()
            self.assertIn(status, (200, 503))
            self.assertEqual(headers["Connection"], "close")

    # Guards against requests that were read during a planned stop and whose connection ends without
    # a response when one before them has got its own.
    def test_requests_behind_a_pending_one_are_answered(self):
        caller = self.connect()
        first = caller.send("/lookup/slow?work=1500000")
        wait_until(lambda: self.runs(first) == 1, 10, "the first request to run")
        self.stop_entry()
        behind = [caller.send(BOOK, "POST", b"b" * 100), caller.send("/lookup/x"),
                  caller.send(BOOK, "POST", b"b")]
        for request_id in [first] + behind:
            status, headers, _ = caller.read()
            self.assertEqual((status, headers["Kumquatdeal-Request-Id"]), (200, request_id))
        self.assertEqual(headers.get("Connection"), "close")
        self.assertTrue(caller.is_closed())

    # Guards against requests that are never read in a planned stop, since the body of a refused one
    # before them was not.
    def test_requests_behind_a_refused_body_are_answered(self):
        caller = self.connect()
        first = caller.send("/lookup/slow?work=1500000")
        wait_until(lambda: self.runs(first) == 1, 10, "the first request to run")
        self.stop_entry()
        refused = [caller.send(LONG_BOOK, "POST", b"b" * length, deadline_ms=20_000)
                   for length in (1, 200_000)]
        behind = [caller.send("/lookup/x"), caller.send(BOOK, "POST", b"b")]
        self.assertEqual(caller.read()[0], 200)
        for request_id in refused:
            self.assertEqual(caller.read()[0], 503)
            self.assertEqual(self.runs(request_id), 0)
        for request_id in behind:
            status, headers, _ = caller.read()
            self.assertEqual((status, headers["Kumquatdeal-Request-Id"]), (200, request_id))
        self.assertEqual(headers.get("Connection"), "close")
        self.assertTrue(caller.is_closed())

    # Guards against finished responses that a planned stop throws away, since a request before them
    # on their connection outlasts it.
    def test_a_response_behind_a_request_that_outlasts_the_stop_is_sent(self):
        caller = self.connect()
        long = caller.send(LONG_LOOKUP, deadline_ms=20_000)
        behind = [caller.send("/lookup/x"), caller.send("/lookup/y")]
        wait_until(lambda: all(self.runs(i) == 1 for i in [long] + behind), 10, "all to run")
        time.sleep(0.3)
        self.stop_entry()
        self.check_cut(caller)
        for request_id in behind:
            status, headers, _ = caller.read()
            self.assertEqual((status, headers["Kumquatdeal-Request-Id"]), (200, request_id))
        self.assertEqual(headers.get("Connection"), "close")
        self.assertTrue(caller.is_closed())
        self.assertIn(f'"event":332,"request":"{long}"', self.log())

    def check_cut(self, caller):
        """The next response says that its request may have run, and was not late by much."""
        began_at = time.monotonic()
        status, headers, body = caller.read()
        self.assertEqual((status, headers["Kumquat-Outcome"]), (504, "unknown"))
        self.assertIn(b"cut-by-stop", body)
        self.assertLess(time.monotonic() - began_at, GRACE_S)

    # Guards against a booking whose connection ends without a response because it outlasts the stop.
    def test_a_booking_that_outlasts_the_stop_is_answered(self):
        caller = self.connect()
        request_id = caller.send(LONG_BOOK, "POST", b"b", deadline_ms=20_000)
        wait_until(lambda: self.runs(request_id) == 1, 10, "the booking to run")
        self.stop_entry()
        self.check_cut(caller)
        self.assertEqual(self.entry.stop(), 0)

    # Guards against an upload whose caller stalls when the stop begins, and is cut without a response.
    def test_an_upload_that_stalls_until_the_end_of_the_stop_is_refused(self):
        caller = self.connect()
        caller.socket.sendall(f"POST /long/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 9\r\n"
                              "Kumquatdeal-Request-Id: 1234abcd00000001\r\n"
                              "Kumquatdeal-Deadline-Ms: 20000\r\n\r\npart".encode())
        time.sleep(0.3)
        self.stop_entry()
        status, headers, _ = caller.read()
        self.assertEqual((status, headers["Kumquat-Outcome"]), (503, "not-run"))
        self.assertEqual(self.runs("1234abcd00000001"), 0)

    def test_callers_that_keep_sending_lose_nothing(self):
        callers = [self.connect() for _ in range(4)]
        sent = {caller: [caller.send("/lookup/slow?work=300000")] for caller in callers}
        self.stop_entry()
        end = time.monotonic() + GRACE_S
        while time.monotonic() < end:
            for caller in callers:
                try:
                    sent[caller].append(caller.send("/lookup/slow?work=300000"))
                except OSError:
                    pass
            time.sleep(0.2)
        for caller in callers:
            ended = False
            for request_id in sent[caller]:
                if ended:
                    self.assertEqual(self.runs(request_id), 0)
                    continue
                status, headers, _ = caller.read()
                self.assertIn(status, (200, 503))
                self.assertEqual(self.runs(request_id), 1 if status == 200 else 0)
                ended = headers.get("Connection") == "close"


if __name__ == "__main__":
    unittest.main()
