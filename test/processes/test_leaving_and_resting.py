"""Process tests of targets that say in responses that they leave, or that they want a rest."""

import json
import threading
import time
import unittest

from platform_fleet import PlatformFleet
from support import wait_until

TARGET = "catalogue-0"
CALLERS = 6
# What was under way when a target spoke may still arrive for so long.
UNDER_WAY_MS = 500


class SpeakingFleet(PlatformFleet):
    """Has loopback addresses of its own, beside those of other fleets."""

    def loopback_address(self, name):
        return f"127.0.{63 if name.startswith('control') else 64}.{10 + int(name.split('-')[1])}"


class LookupCaller(threading.Thread):
    """Sends lookups to the first entry until finish(); records status and headers of each."""

    def __init__(self, fleet, number):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.number = number
        self.count = 0
        self.results = []
        self.stop_event = threading.Event()
        self.start()

    def run(self):
        while not self.stop_event.is_set():
            self.count += 1
            headers = {"Host": "quotes.example", "Kumquatdeal-Deadline-Ms": "3000",
                       "Kumquatdeal-Request-Id": f"{self.number:08x}{self.count:08x}"}
            try:
                status, got, _ = self.fleet.call(self.fleet.caller_addresses[0], "GET",
                                                 "/lookup/x", headers=headers)
                self.results.append((status, got))
            except OSError:
                self.results.append((0, {}))
            self.stop_event.wait(0.005)

    def finish(self):
        self.stop_event.set()
        self.join(10)
        return self.results


def now_ms():
    """In whole milliseconds, rounded down like the times of arrivals."""
    return int(time.time() * 1000)


class LeavingAndResting(unittest.TestCase):
    def setUp(self):
        self.fleet = SpeakingFleet(base=1600)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.callers = []
        self.addCleanup(self.finish_callers)

    def start_callers(self):
        self.callers = [LookupCaller(self.fleet, i + 1) for i in range(CALLERS)]
        wait_until(lambda: self.arrivals(TARGET), 10, "requests at the target")

    def finish_callers(self):
        results = [result for caller in self.callers for result in caller.finish()]
        self.callers = []
        return results

    def arrivals(self, target, since=0, until=float("inf"), kinds=("arrivals", "probeArrivals")):
        """When requests, health probes among them, came to a target, in milliseconds."""
        report = self.fleet.standin_report()["targets"][target]
        return sorted(at for kind in kinds for at in report[kind] if since <= at < until)

    def entry_metric(self, name):
        return self.fleet.metric(self.fleet.ready_addresses[0], "kumquat_" + name)

    def entry_target(self, name):
        dump = json.loads(self.fleet.call(self.fleet.ready_addresses[0], "GET",
                                          "/kumquat/v1/dump")[2])
        return next(target for service in dump["services"] for target in service["targets"]
                    if target["name"] == name)

    def events(self, number):
        with open(self.fleet.processes["entry-0"].log_path) as file:
            return [line for line in file if f'"event":{number}' in line]

    def restart_targets(self):
        self.fleet.processes["standin"].kill()
        self.fleet.processes["standin"].start()

    def test_a_target_that_said_it_leaves_gets_requests_only_after_a_restart(self):
        self.start_callers()
        self.fleet.change_behaviour(TARGET, saysLeaving=1)
        wait_until(lambda: self.entry_metric("targets_leaving") == 1, 10, "the word to be heard")
        heard = now_ms()
        self.assertTrue(self.entry_target(TARGET)["saidLeaving"])
        time.sleep(2)
        # Its heartbeats have said all the time that it is ready; now its responses would, too.
        self.fleet.change_behaviour(TARGET, saysLeaving=0)
        time.sleep(2.5)
        self.assertEqual(self.arrivals(TARGET, heard + UNDER_WAY_MS), [])
        results = self.finish_callers()
        self.assertEqual({status for status, _ in results}, {200})
        self.assertEqual([got for _, got in results if "Server-Leaving" in got], [])
        self.assertEqual(len(self.events(312)), 1)
        self.restart_targets()
        wait_until(lambda: self.fleet.request(0, "/lookup/x")[0] == 200 and self.arrivals(
            TARGET, kinds=("arrivals",)), 15, "requests at the restarted target")
        self.assertFalse(self.entry_target(TARGET)["saidLeaving"])

    def test_failures_and_cut_responses_say_it_too_and_requests_go_elsewhere(self):
        self.start_callers()
        self.fleet.change_behaviour(TARGET, saysLeaving=1, failShare=0.5, truncateShare=1)
        wait_until(lambda: self.entry_metric("targets_leaving") == 1, 10, "the word to be heard")
        heard = now_ms()
        time.sleep(3)
        self.assertEqual(self.arrivals(TARGET, heard + UNDER_WAY_MS), [])
        self.assertEqual({status for status, _ in self.finish_callers()}, {200})

    def test_a_target_that_asks_for_rest_gets_nothing_until_its_end(self):
        self.start_callers()
        before = now_ms()
        self.fleet.change_behaviour(TARGET, retryAfter="3")
        wait_until(lambda: self.entry_metric("targets_resting") == 1, 10, "the target to rest")
        asked = self.arrivals(TARGET, before)[0]
        self.assertGreater(self.entry_target(TARGET)["restMs"], 0)
        self.assertGreaterEqual(len(self.events(313)), 1)
        self.fleet.change_behaviour(TARGET, retryAfter="none")
        wait_until(lambda: self.arrivals(TARGET, asked + 3000, kinds=("arrivals",)), 10,
                   "requests after the rest")
        self.assertEqual(self.arrivals(TARGET, asked + UNDER_WAY_MS, asked + 3000), [])
        self.assertEqual({status for status, _ in self.finish_callers()}, {200})

    def test_requests_are_refused_at_once_while_all_targets_rest(self):
        targets = [f"catalogue-{i}" for i in range(4)]
        self.start_callers()
        before = now_ms()
        self.fleet.change_behaviour("catalogue", retryAfter="4")
        wait_until(lambda: self.entry_metric("targets_resting") == 4, 10, "all targets to rest")
        resting_since = now_ms()
        asked = {name: self.arrivals(name, before)[0] for name in targets}
        self.fleet.change_behaviour("catalogue", retryAfter="none")
        pauses = []
        durations = []
        while now_ms() < min(asked.values()) + 2500:
            start = now_ms()
            status, got, _, _ = self.fleet.request(0, "/lookup/x")
            left = min(asked.values()) + 4000 - now_ms()
            self.assertEqual(status, 503)
            durations.append(now_ms() - start)
            pauses.append(float(got["Retry-After"]) * 1000 - left)
        # Each request that is held waits for a quarter of its objective, 125 ms.
        self.assertLess(sorted(durations)[len(durations) // 2], 100)
        # Nobody is sent back before the first rest has ended, and not all at the same time.
        self.assertGreaterEqual(min(pauses), -50)
        self.assertLess(max(pauses), 2500)
        self.assertGreater(max(pauses) - min(pauses), 300)
        wait_until(lambda: all(self.arrivals(name, asked[name] + 4000, kinds=("arrivals",))
                               for name in targets), 15, "requests at all targets again")
        for name in targets:
            self.assertEqual(self.arrivals(name, max(resting_since, asked[name] + UNDER_WAY_MS),
                                           asked[name] + 4000), [])


if __name__ == "__main__":
    unittest.main()
