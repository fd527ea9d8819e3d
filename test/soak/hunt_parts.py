"""What the hunts with entries, callers and misbehaving targets share."""

import argparse
import os
import random
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(HERE, "..", "processes"), os.path.join(HERE, "..", "..", "scripts")]

from platform_fleet import PlatformFleet, document  # noqa: E402
from soak import Findings  # noqa: E402
from support import wait_until  # noqa: E402

LOADED_AFTER_S = 0.5  # before main() runs, SIGHUP ends any program
PORTS_PER_FLEET = 20
ROUTES = (("/lookup/", "safe", "catalogue"), ("/book/", "unsafe", "orders"),
          ("/send/", "upload", "orders"), ("/long/", "unsafe", "catalogue"))
BEHAVIOURS = ({"truncateShare": 0.3}, {"failShare": 0.5}, {"slowdown": 8}, {"retryAfter": "1"},
              {"queue": 0}, {"saysLeaving": 1})
NORMAL = {"truncateShare": 0, "failShare": 0, "slowdown": 1, "retryAfter": "none", "queue": 4,
          "saysLeaving": 0}


class HuntFleet(PlatformFleet):
    """Has ports and loopback addresses of its own, beside those of other fleets."""

    def __init__(self, number, port_offset, network, entries):
        self.network = network + 2 * number
        super().__init__(base=port_offset + PORTS_PER_FLEET * number, entries=entries)

    def loopback_address(self, name):
        network = self.network + (0 if name.startswith("control") else 1)
        return f"127.0.{network}.{10 + int(name.split('-')[1])}"


def changed_document(version):
    """The usual routes and a long one; some timeouts change with the version."""
    value = document(version, ROUTES)
    rules = value["Listeners"][0]["Rules"]
    rules[0]["Action"]["Timeout"] = f"{2000 + 100 * (version % 10)}ms"
    rules[3]["Action"]["Timeout"] = "20000ms"
    return value


class BaseHunt:
    """A fleet, its callers, and troubles drawn from a seed; hunts add callers, steps and checks."""

    behaviours = BEHAVIOURS
    normal = NORMAL

    def __init__(self, seed, fleet):
        self.random = random.Random(seed)
        self.fleet = fleet
        self.entries = len(fleet.caller_addresses)
        self.findings = Findings()
        self.stop_event = threading.Event()
        self.started_at = [time.monotonic()] * self.entries
        self.version = 1

    def run(self, seconds):
        self.fleet.start()
        self.change_document()
        wait_until(lambda: self.fleet.request(0, "/send/x", "POST")[0] == 200, 10, "the routes")
        callers = self.start_callers()
        end = time.monotonic() + seconds
        steps = [threading.Thread(target=self.repeat, args=(step, end)) for step in self.steps()]
        for step in steps:
            step.start()
        for step in steps:
            step.join()
        self.stop_event.set()
        for caller in callers:
            caller.join(30)
        self.check_runs([result for caller in callers for result in caller.results])
        return self.findings.lines

    def repeat(self, step, end):
        chooser = random.Random(self.random.random())
        while time.monotonic() < end:
            time.sleep(chooser.uniform(0.1, 1.0))
            step(chooser)

    def hang_up(self, chooser):
        i = chooser.randrange(self.entries)
        process = self.fleet.processes[f"entry-{i}"]
        if time.monotonic() > self.started_at[i] + LOADED_AFTER_S and process.popen.poll() is None:
            process.signal(signal.SIGHUP)

    def document(self, version):
        return changed_document(version)

    def change_document(self, _=None):
        self.version += 1
        self.fleet.put_document(self.document(self.version))

    def spoil_a_target(self, chooser):
        target = chooser.choice(("catalogue-0", "catalogue-1", "orders-0"))
        self.fleet.change_behaviour(target, **chooser.choice(self.behaviours))
        time.sleep(chooser.uniform(0.5, 2.0))
        self.fleet.change_behaviour(target, **self.normal)


def run_seed(hunt, seed, seconds):
    """Runs one seed and prints its findings; returns whether there were none."""
    try:
        findings = hunt.run(seconds)
    finally:
        hunt.stop_event.set()
        hunt.fleet.stop()
    print(f"seed {seed}: {len(findings)} findings", flush=True)
    for line in findings[:20]:
        print(f"  seed {seed}: {line}", flush=True)
    return not findings


def run_hunt(make_hunt, description, fleets):
    """Runs make_hunt(seed, fleet number) for the seeds that the command line asks for."""
    parser = argparse.ArgumentParser(description=description.split("\n", maxsplit=1)[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1,
                        help="number of consecutive seeds, beginning with --seed")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--fleet", type=int, default=0, help=f"0 to {fleets - 1}: another number "
                        "for each hunt that runs at the same time")
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    good = [run_seed(make_hunt(seed, options.fleet), seed, options.seconds) for seed in seeds]
    return 0 if all(good) else 1
