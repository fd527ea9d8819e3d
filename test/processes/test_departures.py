#!/usr/bin/env python3
"""Departures that a member has confirmed, beside kills of all processes."""

import json
import os
import shutil
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from member_feed import known_targets  # noqa: E402
from platform_fleet import PlatformFleet  # noqa: E402
from support import wait_until  # noqa: E402

BASE = 1950
TARGETS_PATH = "/kumquat/v1/targets/"
LEAVERS = ["catalogue-0", "catalogue-1", "orders-0"]
DRAIN_S = 2.0  # the bound of the platform
WATCH_S = 3.0  # how long requests are sent after the restart


class DepartureFleet(PlatformFleet):
    def loopback_address(self, name):
        """Apart from those of test_platform, which may run beside this."""
        return f"127.0.{39 if name.startswith('control') else 40}.{10 + int(name.split('-')[1])}"


class Departures(unittest.TestCase):
    def setUp(self):
        self.fleet = DepartureFleet(base=BASE, controls=3, entries=2)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def depart(self, name, member=0):
        """A target says that it leaves; it goes on serving and announcing itself."""
        return self.fleet.call(self.fleet.control_addresses[member], "DELETE",
                               TARGETS_PATH + name, "")[0]

    def served(self, names):
        targets = self.fleet.standin_report()["targets"]
        return sum(targets[name]["served"] for name in names)

    def members_and_entries(self):
        return [name for name in self.fleet.processes if name != "standin"]

    def restart(self, wiped=None):
        for name in self.members_and_entries():
            self.fleet.processes[name].kill()
        if wiped is not None:
            shutil.rmtree(os.path.join(self.fleet.folder, f"control-{wiped}.data"))
        for i in range(3):
            self.fleet.start_control(i)
        for i in range(2):
            self.fleet.start_entry(i)

    def check_leavers_stay_out(self):
        wait_until(lambda: all(known_targets(self.fleet, i) for i in range(3)), 10, "the targets")
        wait_until(self.fleet.all_entries_serve, 15, "the entries to serve")
        before = self.served(LEAVERS)
        end = time.monotonic() + WATCH_S
        while time.monotonic() < end:
            for entry in range(2):
                self.fleet.request(entry, "/lookup/x")
                self.fleet.request(entry, "/book/x", "POST")
        self.assertEqual(self.served(LEAVERS), before)
        for member in range(3):
            states = known_targets(self.fleet, member)
            self.assertEqual({states[name][0] for name in LEAVERS}, {"gone"}, f"member {member}")

    def test_departures_confirmed_just_before_all_are_killed_stay_in_force(self):
        time.sleep(2.0)  # everything that was known before is on disk
        for name in LEAVERS:
            self.assertEqual(self.depart(name), 200)
        self.restart()
        self.check_leavers_stay_out()

    def test_departures_outlive_the_loss_of_one_disk_while_all_are_killed(self):
        time.sleep(2.0)
        for name in LEAVERS:
            self.assertEqual(self.depart(name), 200)
        self.restart(wiped=0)
        self.check_leavers_stay_out()

    def test_a_departure_that_names_no_incarnation_is_confirmed_only_where_the_target_is_known(self):
        self.fleet.processes["control-2"].kill()
        heartbeat = {"Service": "orders", "Address": "127.0.0.1:9", "Zone": "zone-0", "Slots": 2,
                     "Version": "v1", "WarmupLeft": "0ms", "State": "ready", "Sequence": 1,
                     "born": 1000}
        self.assertEqual(self.fleet.call(self.fleet.control_addresses[0], "PUT",
                                         TARGETS_PATH + "late", json.dumps(heartbeat))[0], 200)
        wait_until(lambda: "late" in known_targets(self.fleet, 1), 5, "the target")
        for name in ("control-0", "control-1"):
            self.fleet.processes[name].signal(signal.SIGSTOP)
        self.fleet.start_control(2)
        wait_until(lambda: "late" not in known_targets(self.fleet, 2), 5, "the member")
        resume = threading.Timer(0.1, self.resume_members)
        resume.start()
        status = self.depart("late", 2)
        resume.join()
        if status != 200:
            wait_until(lambda: "late" in known_targets(self.fleet, 2), 10, "the target")
            self.assertEqual(self.depart("late", 2), 200)
        # Two of three members confirm a departure; the third has it by the time that entries may still
        # send to the target.
        self.assertGreaterEqual(self.members_without("late"), 2)
        wait_until(lambda: self.members_without("late") == 3, DRAIN_S, "the third member")

    def members_without(self, name):
        """The number of members that know that the target has gone."""
        return sum(known_targets(self.fleet, member).get(name, ("",))[0] == "gone" for member in range(3))

    def resume_members(self):
        for name in ("control-0", "control-1"):
            self.fleet.processes[name].signal(signal.SIGCONT)

    def test_a_later_incarnation_ends_a_stored_departure(self):
        self.assertEqual(self.depart("orders-0"), 200)
        self.restart()
        wait_until(lambda: "orders-0" in known_targets(self.fleet, 1), 10, "the departure")
        incarnation = known_targets(self.fleet, 1)["orders-0"][1]
        heartbeat = {"Service": "orders", "Address": "127.0.0.1:9", "Zone": "zone-0",
                     "Version": "v1", "WarmupLeft": "0ms", "Slots": 2, "State": "ready",
                     "Sequence": 1, "born": incarnation + 1}
        self.fleet.call(self.fleet.control_addresses[1], "PUT", TARGETS_PATH + "orders-0",
                        json.dumps(heartbeat))
        for member in range(3):
            wait_until(lambda: known_targets(self.fleet, member)["orders-0"]
                       == ("ready", incarnation + 1), 5, "the later incarnation")


if __name__ == "__main__":
    unittest.main()
