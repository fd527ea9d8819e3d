"""Base class of the process tests: a fleet, a load and the invariants checked after each load."""

import os
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..",
                                "scripts"))

from fleet import Fleet, PROFILES, check_running, finish_load, wait_until  # noqa: E402,F401

MIX = PROFILES["clearline"]["mix"]
BOOKINGS = "orders:booking:1:10"


class FleetTest(unittest.TestCase):
    """Starts a fleet for each test. kumquat-load's audit checks the invariants of every load."""

    options = {}

    def setUp(self):
        self.fleet = Fleet(**self.options)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def run_load(self, during=None, **flags):
        """Runs a load, calls during() while it runs, and checks that the load's audit passed."""
        flags.setdefault("mix", MIX)
        flags.setdefault("rate", 300)
        flags.setdefault("seconds", 6)
        load = self.fleet.start_load(**flags)
        if during:
            during()
        result, audit_passed = finish_load(load)
        self.assertTrue(audit_passed, f"kumquat-load reported a violation: {result}")
        return result

    def refused(self, result):
        """Counts of refusals by reason over all kinds of requests."""
        reasons = {}
        for kind in result["kinds"].values():
            for reason, count in kind["refused"].items():
                reasons[reason] = reasons.get(reason, 0) + count
        return reasons

    def total(self, result, field):
        return sum(kind[field] for kind in result["kinds"].values())
