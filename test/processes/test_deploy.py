"""Tests of deploy/system.toml against layouts of instances, without processes."""

import math
import os
import re
import unittest

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
# Instances with a disk in each failure domain, and how many of them may be lost at once.
LAYOUTS = (((2, 2, 1), 1), ((4, 4, 3), 2), ((3, 3, 3, 2), 2), ((3, 3, 3, 3, 3), 2), ((3, 3, 3), 2))


def control_share():
    """The share of each failure domain's instances with a disk that run a control member."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        control = file.read().split("[roles.control]")[1]
    return float(re.search(r"^share = ([0-9.]+)$", control, re.MULTILINE).group(1))


class Deploy(unittest.TestCase):
    # Guards against a group of fewer than 2f + 1 members: with four, two lost disks leave no
    # majority, and nothing that was confirmed can be read any more.
    def test_each_layout_has_enough_members_for_the_losses_to_bear(self):
        share = control_share()
        for domains, losses in LAYOUTS:
            members = sum(math.ceil(share * count) for count in domains)
            self.assertGreaterEqual(members, 2 * losses + 1, f"layout {domains}")


if __name__ == "__main__":
    unittest.main()
