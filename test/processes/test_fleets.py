"""Tests of the fleets themselves: one waits for another's addresses and says which process ended."""

import socket
import threading
import time
import unittest

from platform_fleet import PlatformFleet
from support import Fleet, wait_until

BASE = 80
# Puts the members of one fleet where the entries of a fleet at BASE have their internal port.
OVERLAPPING_BASE = BASE + 1900
APART = 20
HELD_S = 0.5


class ClaimingFleet(PlatformFleet):
    """Has loopback addresses of its own, beside those of other fleets."""

    def loopback_address(self, name):
        return f"127.0.{65 if name.startswith('control') else 66}.{10 + int(name.split('-')[1])}"


class SharedAddresses(unittest.TestCase):
    def check_second_waits(self, first, second):
        """Makes the fleets first() and second(); checks that the second waits for the first."""
        fleet = first()
        self.addCleanup(fleet.stop)
        made = []
        maker = threading.Thread(target=lambda: made.append(second()), daemon=True)
        maker.start()
        time.sleep(HELD_S)
        self.assertEqual(made, [])
        fleet.stop()
        maker.join(10)
        self.assertEqual(len(made), 1)
        made[0].stop()

    # Guards against two runs of one test file whose fleets answer for each other: the entry of the
    # second could not listen, and "timed out waiting for the stop to begin".
    def test_a_fleet_waits_for_another_at_the_same_addresses(self):
        for kind in (Fleet, ClaimingFleet):
            with self.subTest(kind.__name__):
                self.check_second_waits(lambda: kind(base=BASE), lambda: kind(base=BASE))

    # Guards against entries that cannot listen where another fleet has its members, and "timed out
    # waiting for all entries to know all targets".
    def test_a_fleet_waits_for_another_of_which_it_shares_one_address(self):
        self.check_second_waits(lambda: ClaimingFleet(base=OVERLAPPING_BASE, entries=0),
                                lambda: Fleet(base=BASE, entries=1))

    def test_fleets_at_other_addresses_do_not_wait(self):
        for kind, base in ((Fleet, BASE), (ClaimingFleet, BASE + APART)):
            fleet = kind(base=base)
            self.addCleanup(fleet.stop)
            self.assertTrue(fleet.claim.holders)


class EndedProcesses(unittest.TestCase):
    # Guards against a set-up that waits for its whole time for a process that has ended.
    def test_a_set_up_names_the_process_that_could_not_listen(self):
        fleet = Fleet(base=BASE, entries=1, controls=1, services=[("catalogue", 1, 1)])
        self.addCleanup(fleet.stop)
        host, port = fleet.internal_address(0).split(":")
        with socket.create_server((host, int(port))):
            with self.assertRaisesRegex(RuntimeError, "^entry-0 ended with code 1: cannot listen"):
                fleet.start()

    def test_a_wait_ends_with_the_process_that_it_needs(self):
        fleet = Fleet(base=BASE, entries=0, controls=1)
        self.addCleanup(fleet.stop)
        fleet.control_processes = [fleet.start_control(0)]
        wait_until(lambda: fleet.dump(fleet.control_address(0)), 10, "the member",
                   fleet.control_processes)
        fleet.control_processes[0].kill()
        with self.assertRaisesRegex(RuntimeError, "^control-0 ended with code -9"):
            wait_until(lambda: False, 10, "nothing", fleet.control_processes)


if __name__ == "__main__":
    unittest.main()
