"""A bound that is a fraction: no entry starts any more."""

import os
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from backend import Backends
from fleet import CannotRun, Fleet, Record, manifest, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "hulo84.example"
SLACK = 62  # BudgetSlack of the site
NEW_SLACK = 42.5 if TROUBLE else 42
GRACE_S = 6.0
RESTART_DELAY_S = 0.5
WATCH_S = 18.0  # longer than Recover (15 s)


class Platform(threading.Thread):
    """Starts a process again after a short delay when it has ended, with the present settings."""

    def __init__(self, fleet, record):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.record = record
        self.planned = set()
        self.ends = {program.name: 0 for program in fleet.entries}
        self.start()

    def run(self):
        while not self.fleet.closed:
            for program in self.fleet.entries:
                if program.runs() or program.name in self.planned:
                    continue
                self.ends[program.name] += 1
                lines = program.log_text().strip().splitlines()
                self.record.write(f"platform: {program.name} ended by itself with code "
                                  f"{program.process.returncode}: "
                                  + lines[-1].split(": ", 1)[-1][:110])
                time.sleep(RESTART_DELAY_S)
                if not self.fleet.closed:
                    program.start()
            time.sleep(0.02)


def main():
    folder = os.path.dirname(os.path.abspath(__file__))
    record = Record(os.path.join(folder, "record.txt"))
    fleet = Fleet(record, controls=3, entries=3)
    fleet.bounds = dict(fleet.bounds, BudgetSlack=SLACK)
    try:
        return play(fleet, record)
    finally:
        fleet.stop()


def served(fleet, first_id, count):
    """How many of `count` requests are answered with success, spread over the entries."""
    good = 0
    for number in range(count):
        ident = f"{first_id + number:016x}"
        status = fleet.request(number % len(fleet.entries), "GET", "/lepu270/2f", HOST, ident,
                               deadline_ms=1500, timeout=2)[0]
        good += 1 if status == 200 else 0
        time.sleep(0.02)
    return good


def play(fleet, record):
    backends = Backends(fleet)
    for number in range(6):
        backends.add("ledger", f"i-7f3a91c{number}", slots=4, work_s=0.02)
    for program in fleet.controls + fleet.entries:
        program.start(first=True)
    platform = Platform(fleet, record)
    backends.begin()
    if not fleet.put(manifest(1, [(HOST, "r-lookup", "/lepu270/", "safe", "ledger", 1500, 2)],
                              ["ledger"])):
        raise CannotRun("the manifest was not acknowledged")
    time.sleep(4.0)
    before = served(fleet, 1, 60)
    record.write(f"{before} of 60 requests served with BudgetSlack={SLACK}")
    if before < 55 or any(platform.ends.values()):
        raise CannotRun("the fleet didn't serve before the settings changed")

    fleet.bounds = dict(fleet.bounds, BudgetSlack=NEW_SLACK)
    for program in fleet.entries:
        program.write_settings()
        program.send(signal.SIGHUP)
    record.write(f"platform: the settings of the entries now have BudgetSlack={NEW_SLACK}; SIGHUP")
    time.sleep(1.0)
    for program in fleet.entries:
        platform.planned.add(program.name)
        program.send(signal.SIGTERM)
        try:
            program.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            program.kill()
        program.start()
        record.write(f"platform: planned restart of {program.name}")
        time.sleep(0.5)
        platform.planned.discard(program.name)
    time.sleep(WATCH_S)
    after = served(fleet, 1000, 60)
    record.write(f"{after} of 60 requests served after the planned restarts")
    often = [name for name, ends in platform.ends.items() if ends >= 3]
    record.write(f"ends by themselves: {platform.ends}; machines in use: 6")
    broken = len(often) >= 2 or after == 0
    record.write("Fault" if broken else "no Fault")
    return 1 if broken else 0


if __name__ == "__main__":
    run_case(main)
