"""Shared by the tests of whole processes: a fleet, a load and what must always hold."""

import os
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..",
                                "scripts"))

from fleet import Fleet, PROFILES, finish_load, wait_until  # noqa: E402,F401

MIX = PROFILES["clearline"]["mix"]
BOOKINGS = "orders:booking:1:10"


class FleetTest(unittest.TestCase):
    """Starts a fleet for each test; the audit of a load is the oracle."""

    options = {}

    def setUp(self):
        self.fleet = Fleet(**self.options)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def run_load(self, during=None, **flags):
        """Runs a load, calls `during` in the middle of it, and checks what must always hold."""
        flags.setdefault("mix", MIX)
        flags.setdefault("rate", 300)
        flags.setdefault("seconds", 6)
        load = self.fleet.start_load(**flags)
        if during:
            during()
        result, audit_passed = finish_load(load)
        self.assertTrue(audit_passed, f"the audit failed: {result}")
        return result

    def refused(self, result):
        reasons = {}
        for kind in result["kinds"].values():
            for reason, count in kind["refused"].items():
                reasons[reason] = reasons.get(reason, 0) + count
        return reasons

    def total(self, result, field):
        return sum(kind[field] for kind in result["kinds"].values())
