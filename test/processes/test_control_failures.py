"""Tests that kill, freeze or isolate control members or delete their data while bookings are sent.

The audit of each load checks that no booking is executed twice and that no booking with the
outcome `not-run` was executed.
"""

import os
import shutil
import signal
import time
import unittest

from support import BOOKINGS, Fleet, FleetTest, wait_until


class ControlFailures(FleetTest):
    def test_killing_the_leader_executes_no_booking_twice(self):
        def kill():
            time.sleep(1.5)
            leader = self.fleet.leader_index()
            self.fleet.control_processes[leader].kill()
            time.sleep(2)
            self.fleet.control_processes[leader].start()

        result = self.run_load(kill, mix=BOOKINGS, rate=200)
        self.assertGreater(self.total(result, "answered"), 0)

    def test_a_resumed_leader_executes_no_booking_twice(self):
        def freeze():
            time.sleep(1.5)
            leader = self.fleet.control_processes[self.fleet.leader_index()]
            leader.signal(signal.SIGSTOP)
            time.sleep(3)
            leader.signal(signal.SIGCONT)

        result = self.run_load(freeze, mix=BOOKINGS, rate=200)
        self.assertGreater(self.total(result, "answered"), 0)

    def test_members_recover_from_disks_lost_one_after_another(self):
        def lose():
            for member in (0, 1):
                self.fleet.control_processes[member].kill()
                shutil.rmtree(os.path.join(self.fleet.folder, f"control-{member}.data"))
                self.fleet.control_processes[member].start()
                wait_until(self.fleet.all_members_are_voters, 20, "all members to be voters again")

        self.run_load(lose, mix=BOOKINGS, rate=200, seconds=8)
        # The configuration accepted before the data was deleted is still in force.
        self.assertIn('"number" : 1', self.fleet.ctl("status").stdout
                      .replace('configurationNumber', 'number'))

    def test_without_a_majority_bookings_are_refused_and_lookups_go_on(self):
        leader = self.fleet.leader_index()
        for member in range(3):
            if member != leader:
                self.fleet.control_processes[member].kill()
        result = self.run_load(mix="orders:booking:0.3:5,catalogue:lookup:0.7:5", rate=100,
                               seconds=4)
        lookups = result["kinds"]["catalogue lookup"]
        self.assertEqual(lookups["answered"], lookups["sent"])
        self.assertEqual(result["kinds"]["orders booking"]["answered"], 0)

    def test_a_restarted_entry_gets_the_version_in_force(self):
        folder = os.path.join(self.fleet.folder, "changed")
        shutil.copytree(self.fleet.configuration, folder)
        for number in range(8):
            with open(os.path.join(folder, "95-more.json"), "w") as file:
                file.write('{ "probesPerSecond": %d }' % (number + 1))
            self.fleet.ctl("apply", folder)
        self.fleet.entry_processes[0].kill()
        self.fleet.entry_processes[0].start()
        wait_until(self.fleet.entries_ready, 15, "the entry to be ready")
        version = self.fleet.dump(self.fleet.internal_address(0))["configuration"]["number"]
        self.assertEqual(version, 9)

    def test_a_change_takes_effect_when_the_leader_is_killed_or_frozen(self):
        for fault in ("kill", "freeze"):
            leader = self.fleet.control_processes[self.fleet.leader_index()]
            if fault == "kill":
                leader.kill()
            else:
                leader.signal(signal.SIGSTOP)
            done = self.fleet.ctl("apply", self.fleet.configuration, "--wait",
                                  "--wait_entries=6")
            self.assertIn("in force on 6 entries", done.stdout, fault)
            if fault == "kill":
                leader.start()
            else:
                leader.signal(signal.SIGCONT)
            wait_until(self.fleet.all_members_are_voters, 20, "all members to be voters again")

    def test_of_two_changes_to_the_same_version_one_is_accepted(self):
        first = self.fleet.ctl("apply", self.fleet.configuration, "--base=1", check=False)
        second = self.fleet.ctl("apply", self.fleet.configuration, "--base=1", check=False)
        self.assertIn("accepted", first.stdout)
        self.assertIn("conflict", second.stdout)
        self.assertEqual(second.returncode, 2)

    def test_a_resent_change_gets_its_first_answer(self):
        flags = ("apply", self.fleet.configuration, "--base=1", "--id=same")
        first = self.fleet.ctl(*flags)
        self.fleet.ctl("apply", self.fleet.configuration)
        again = self.fleet.ctl(*flags)
        self.assertEqual(first.stdout, again.stdout)


class SilentPartition(FleetTest):
    options = {"relay": True}

    def test_bookings_continue_when_the_leader_is_isolated(self):
        def cut():
            time.sleep(1)
            leader = self.fleet.leader_index()
            self.fleet.relays[leader].silent = True
            time.sleep(4)
            self.fleet.relays[leader].silent = False

        result = self.run_load(cut, mix=BOOKINGS, rate=100, seconds=8)
        self.assertGreater(self.total(result, "answered"), 0)
        wait_until(self.fleet.all_members_are_voters, 20, "all members to be voters again")


if __name__ == "__main__":
    unittest.main(verbosity=2)
