#!/usr/bin/env python3
"""Members of a group that has fewer voters than the losses to bear need."""

import json
import os
import subprocess
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from platform_fleet import PlatformFleet  # noqa: E402
from support import wait_until  # noqa: E402

LOSSES = 2
MEMBERS = 4
WANTED = 2 * LOSSES + 1
WARNING = 413


class SmallGroup(PlatformFleet):
    def template_fields(self, name, first_start):
        return dict(super().template_fields(name, first_start),
                    FaultTolerance={"Machines": LOSSES})

    def loopback_address(self, name):
        """Apart from those of other tests, which may run beside this."""
        return f"127.0.59.{10 + int(name.split('-')[1])}"


class GroupSize(unittest.TestCase):
    def setUp(self):
        self.fleet = SmallGroup(base=1340, controls=MEMBERS, entries=0)
        self.addCleanup(self.fleet.stop)
        for member in range(MEMBERS):
            self.fleet.start_control(member, member < 3)

    def events(self, member):
        with open(self.fleet.processes[f"control-{member}"].log_path) as log:
            return [line for line in map(json.loads, log) if line["event"] == WARNING]

    def status(self, member):
        """What kumquatctl shows of a member."""
        command = [os.path.join(self.fleet.build, "kumquatctl"), "status",
                   "--control=" + self.fleet.control_addresses[member]]
        return json.loads(subprocess.run(command, check=True, capture_output=True,
                                         timeout=10).stdout)

    # Four members that must bear two losses went unnoticed until both were lost.
    def test_every_member_of_a_too_small_group_says_so(self):
        for member in range(MEMBERS):
            wait_until(lambda m=member: self.events(m), 30, f"the warning of member {member}")
            warning = self.events(member)[0]
            self.assertEqual(warning["level"], "warning")
            self.assertEqual((warning["voters"], warning["wanted"]), (str(MEMBERS), str(WANTED)))
            address = self.fleet.control_addresses[member]
            self.assertEqual(self.fleet.metric(address, "kumquat_control_voters"), MEMBERS)
            self.assertEqual(self.fleet.metric(address, "kumquat_control_voters_wanted"), WANTED)
            shown = self.status(member)
            self.assertEqual((shown["voters"], shown["votersWanted"], shown["lacksVoters"]),
                             (MEMBERS, WANTED, True))


if __name__ == "__main__":
    unittest.main()
