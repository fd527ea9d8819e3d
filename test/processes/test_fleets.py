"""Tests of the fleets themselves: a set-up says which process ended."""

import socket
import unittest

from support import Fleet, wait_until

BASE = 80


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
