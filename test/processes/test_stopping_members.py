"""Process tests of control members that are stopped as planned while they confirm something."""

import json
import signal
import threading
import time
import unittest

from platform_fleet import PlatformFleet, document
from support import wait_until

DOCUMENT_PATH = "/kumquat/v1/document"
TARGETS_PATH = "/kumquat/v1/targets/"
DUMP_PATH = "/kumquat/v1/dump"
MEMBERS = 3
# Longer than a member that stops waits for its successor, shorter than a document may take.
STALL_S = 0.7
GRACE_S = 6.0
STORM_S = 4.0


class MemberFleet(PlatformFleet):
    """Has loopback addresses of its own, beside those of other fleets."""

    def loopback_address(self, name):
        return f"127.0.131.{10 + int(name.split('-')[1])}"


class Change(threading.Thread):
    """Sends one change to a member; its status is 0 when the connection ends without a response."""

    def __init__(self, fleet, member, method, path, text):
        super().__init__(daemon=True)
        self.arguments = (fleet.control_addresses[member], method, path, text)
        self.fleet = fleet
        self.status = None
        self.start()

    def run(self):
        try:
            self.status = self.fleet.call(*self.arguments, timeout=10)[0]
        except OSError:
            self.status = 0


class StoppingMembers(unittest.TestCase):
    def setUp(self):
        self.fleet = MemberFleet(base=3100, controls=MEMBERS, entries=0)
        self.addCleanup(self.fleet.stop)
        for member in range(MEMBERS):
            self.fleet.start_control(member, True)
        self.fleet.put_document(document(1))
        self.leader = self.find_leader()
        self.others = [member for member in range(MEMBERS) if member != self.leader]

    def dump(self, member):
        return json.loads(self.fleet.call(self.fleet.control_addresses[member], "GET",
                                          DUMP_PATH)[2])

    def find_leader(self):
        addresses = self.fleet.control_addresses
        wait_until(lambda: self.dump(0)["leader"] in addresses, 10, "a leader")
        return addresses.index(self.dump(0)["leader"])

    def process(self, member):
        return self.fleet.processes[f"control-{member}"]

    def signal(self, members, number):
        for member in members:
            self.process(member).signal(number)

    def change(self, member, method, path, text):
        return Change(self.fleet, member, method, path, text)

    def put(self, member, version):
        return self.change(member, "PUT", DOCUMENT_PATH, json.dumps(document(version)))

    def check_ends_in_time(self, member, signalled_at):
        self.assertEqual(self.process(member).popen.wait(GRACE_S), 0)
        self.assertLess(time.monotonic() - signalled_at, GRACE_S)

    def check_stop_during(self, change, stopped, stalled):
        """Stops a member while a change waits for others that stand still."""
        time.sleep(0.1)
        signalled_at = time.monotonic()
        self.signal([stopped], signal.SIGTERM)
        time.sleep(STALL_S)
        self.signal(stalled, signal.SIGCONT)
        change.join(10)
        self.check_ends_in_time(stopped, signalled_at)

    # Guards against a document whose sender gets no answer, since the member that is confirming it
    # is stopped.
    def test_a_document_under_way_is_answered(self):
        self.signal(self.others, signal.SIGSTOP)
        change = self.put(self.leader, 2)
        self.check_stop_during(change, self.leader, self.others)
        self.assertIn(change.status, (200, 503))

    # Guards against the same at a member that has passed the document on.
    def test_a_document_that_was_passed_on_is_answered(self):
        self.signal([self.leader], signal.SIGSTOP)
        change = self.put(self.others[0], 2)
        self.check_stop_during(change, self.others[0], [self.leader])
        self.assertIn(change.status, (200, 503))

    # Guards against a target that leaves and gets no answer, since the member is stopped.
    def test_a_departure_under_way_is_answered(self):
        heartbeat = {"Service": "orders", "Address": "127.0.0.1:9", "Zone": "zone-0", "Slots": 2,
                     "Version": "v1", "WarmupLeft": "0ms", "State": "ready", "Sequence": 1,
                     "born": 1000}
        announced = self.change(self.leader, "PUT", TARGETS_PATH + "late", json.dumps(heartbeat))
        announced.join(10)
        self.assertEqual(announced.status, 200)
        self.signal(self.others, signal.SIGSTOP)
        change = self.change(self.leader, "DELETE", TARGETS_PATH + "late", "")
        self.check_stop_during(change, self.leader, self.others)
        self.assertIn(change.status, (200, 503))

    def test_a_member_with_nothing_under_way_ends_soon(self):
        signalled_at = time.monotonic()
        self.signal([self.leader], signal.SIGTERM)
        self.check_ends_in_time(self.leader, signalled_at)
        self.assertLess(time.monotonic() - signalled_at, 1.5)

    def storm(self, until, acknowledged):
        """Sends one version after the other until the time; notes which were acknowledged."""
        version = 1
        while time.monotonic() < until:
            version += 1
            for member in range(MEMBERS):
                if self.fleet.try_put_document(document(version), member) == 200:
                    acknowledged.append(version)
                    break

    def check_newest_is_read_back(self, acknowledged):
        newest = f"{acknowledged[-1]:08x}"
        for member in range(MEMBERS):
            wait_until(lambda m=member: self.fleet.read_document(m) is not None, 15, "a document")
            self.assertGreaterEqual(self.fleet.read_document(member)["Version"], newest)

    def run_storm(self, stops):
        acknowledged = []
        until = time.monotonic() + STORM_S
        sender = threading.Thread(target=self.storm, args=(until, acknowledged))
        sender.start()
        time.sleep(0.5)
        stops()
        sender.join(60)
        self.check_newest_is_read_back(acknowledged)

    def stop_and_start(self, members):
        self.signal(members, signal.SIGTERM)
        for member in members:
            self.assertEqual(self.process(member).popen.wait(GRACE_S), 0)
        for member in members:
            self.fleet.start_control(member)

    def test_what_was_acknowledged_outlives_stops_in_turn(self):
        def stops():
            for member in range(MEMBERS):
                self.stop_and_start([member])
        self.run_storm(stops)

    def test_what_was_acknowledged_outlives_a_stop_of_all(self):
        self.run_storm(lambda: self.stop_and_start(list(range(MEMBERS))))


if __name__ == "__main__":
    unittest.main()
