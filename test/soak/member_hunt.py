#!/usr/bin/env python3
"""Hunts for confirmed documents that a control group forgets, shows older or refuses.

Each seed plays a series of faults on real members and checks what operators see. Run by hand:
    python3 -W ignore test/soak/member_hunt.py --seed 1 --seeds 5 --rounds 12 --base 3800
"""

import argparse
import json
import os
import random
import shutil
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "processes"))

from platform_fleet import PlatformFleet, document  # noqa: E402

RECOVER_S = 15.0  # the bound for reads and confirmations after the last fault
DOCUMENT_PATH = "/kumquat/v1/document"
FOUNDING_S = 0.05  # about how long the first writes of a group take
SPARES = 2  # members beyond the seeds, for replacements at new addresses


class MemberFleet(PlatformFleet):
    """Control members only; their seeds follow the members in use, as a deployment's settings do."""

    def __init__(self, base, controls):
        super().__init__(base=base, controls=controls, entries=0)
        self.seeds = self.control_addresses[:3]

    def template_fields(self, name, first_start):
        return dict(super().template_fields(name, first_start), SeedNodes=self.seeds)

    def loopback_address(self, name):
        """Apart from those of the process tests, which may run beside this."""
        return f"127.0.38.{10 + int(name.split('-')[1])}"


class Operators:
    """Sends documents, remembers what was confirmed and checks each read against it."""

    def __init__(self, fleet, log):
        self.fleet = fleet
        self.log = log
        self.lock = threading.Lock()
        self.sent = {}  # version -> texts that were sent under it
        self.confirmed = 0
        self.confirmed_text = ""
        self.version = 0
        self.findings = []

    def finding(self, text):
        self.log("FINDING " + text)
        self.findings.append(text)

    def call(self, member, method, body=None, timeout=1.0):
        try:
            status, _, data = self.fleet.call(self.fleet.control_addresses[member], method,
                                              DOCUMENT_PATH, body, timeout=timeout)
            return status, data
        except OSError:
            return 0, b""

    def next_text(self, routes, mark):
        with self.lock:
            self.version += 1 + mark % 3
            version = self.version
        value = document(version, [(f"/r{mark}-{i}/", "safe", "catalogue") for i in range(routes)])
        text = json.dumps(value)
        self.sent.setdefault(version, set()).add(text)
        return version, text

    def put(self, version, text, member, timeout=1.0):
        """One order; a 4xx for a valid document is a finding."""
        status, data = self.call(member, "PUT", text, timeout)
        if 400 <= status < 500:
            self.finding(f"valid version {version} answered {status} by {member}: {data[:200]}")
        if status == 200:
            with self.lock:
                if version > self.confirmed:
                    self.confirmed = version
                    self.confirmed_text = text
        return status

    def put_until_confirmed(self, version, text, members, seconds=RECOVER_S, timeout=1.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for member in members:
                if self.put(version, text, member, timeout) == 200:
                    return member
                time.sleep(0.02)
        self.finding(f"version {version} wasn't confirmed within {seconds} s")
        return None

    def read(self, member, timeout=1.0):
        """Reads at a member; anything older than what was confirmed before is a finding."""
        with self.lock:
            confirmed = self.confirmed
        status, data = self.call(member, "GET", timeout=timeout)
        if status != 200:
            return None
        try:
            version = int(json.loads(data)["Version"], 16)
        except (ValueError, KeyError) as problem:
            self.finding(f"member {member} returned bytes that can't be read: {problem}")
            return None
        if version < confirmed:
            self.finding(f"member {member} returned {version}, {confirmed} was confirmed before")
        if data.decode() not in self.sent.get(version, ()):
            self.finding(f"member {member} returned other content under version {version}")
        return version

    def read_everywhere(self, members, what, seconds=RECOVER_S):
        end = time.monotonic() + seconds
        waiting = set(members)
        while waiting and time.monotonic() < end:
            waiting = {member for member in waiting if self.read(member) is None}
            time.sleep(0.05)
        if waiting:
            self.finding(f"{what}: members {sorted(waiting)} answered no read for {seconds} s")


class Hunt:
    """One seed: a group of three members and a series of faults."""

    def __init__(self, seed, base, routes):
        self.random = random.Random(seed)
        self.started = time.monotonic()
        self.routes = routes
        self.fleet = MemberFleet(base, 3 + SPARES)
        self.members = [0, 1, 2]
        self.mark = 0
        self.operators = Operators(self.fleet, self.log)

    def log(self, text):
        print(f"  {time.monotonic() - self.started:7.2f} {text}", flush=True)

    def process(self, member):
        return self.fleet.processes[f"control-{member}"]

    def wipe(self, member):
        shutil.rmtree(os.path.join(self.fleet.folder, f"control-{member}.data"),
                      ignore_errors=True)

    def kill(self, members):
        for member in members:
            self.process(member).kill()

    def start_members(self, members):
        for member in members:
            self.fleet.start_control(member)

    def order(self):
        self.mark += 1
        return self.operators.next_text(self.random.choice(self.routes), self.mark)

    def confirm(self):
        version, text = self.order()
        members = self.random.sample(self.members, len(self.members))
        member = self.operators.put_until_confirmed(version, text, members)
        return version, text, member

    def found(self, killed):
        """Starts the members for the first time; if `killed`, all are killed amid it once."""
        delays = [0] if killed else [0, 0.1, 0.3]
        for member in self.random.sample(self.members, 3):
            self.fleet.start_control(member, True)
            time.sleep(self.random.choice(delays))
        if killed:
            time.sleep(self.random.random() * FOUNDING_S)
            self.kill(self.members)
            for member in self.members:
                self.fleet.start_control(member, True)

    def play(self, rounds, only, killed):
        faults = [getattr(self, name) for name in dir(self) if name.startswith("fault_")]
        faults = [fault for fault in faults if only in fault.__name__]
        try:
            self.found(killed)
            self.confirm()
            for _ in range(rounds):
                fault = self.random.choice(faults)
                self.log(f"{fault.__name__} (confirmed {self.operators.confirmed})")
                fault()
                self.check(fault.__name__)
            return self.operators.findings
        finally:
            self.fleet.stop()

    def check(self, what):
        """After a fault: everything confirmed is read back, sent again and confirmed again."""
        self.operators.read_everywhere(self.members, what)
        if self.operators.findings:
            return
        version, text = self.operators.confirmed, self.operators.confirmed_text
        self.operators.put_until_confirmed(version, text, self.members)
        self.confirm()

    # Faults.

    def fault_kill_all_after_confirmation(self):
        self.confirm()
        time.sleep(self.random.choice([0, 0, 0.001, 0.01]))
        self.kill(self.members)
        time.sleep(self.random.random())
        self.start_members(self.random.sample(self.members, len(self.members)))

    def fault_kill_all_after_other_member_confirmed_again(self):
        version, text, _ = self.confirm()
        self.operators.put(version, text, self.random.choice(self.members))
        self.kill(self.members)
        self.start_members(self.members)

    def fault_kill_all_amid_orders(self):
        threads = self.start_orders(8)
        time.sleep(self.random.random() * 0.3)
        self.kill(self.members)
        time.sleep(self.random.random() * 0.5)
        self.start_members(self.members)
        for thread in threads:
            thread.join()

    def start_orders(self, count):
        threads = []
        for _ in range(count):
            version, text = self.order()
            members = self.random.sample(self.members, len(self.members))
            thread = threading.Thread(target=self.operators.put_until_confirmed,
                                      args=(version, text, members))
            thread.start()
            threads.append(thread)
        return threads

    def fault_disk_lost_while_all_are_killed(self):
        self.confirm()
        lost = self.random.choice(self.members)
        self.kill(self.members)
        self.wipe(lost)
        time.sleep(self.random.random())
        self.start_members(self.random.sample(self.members, len(self.members)))

    def fault_two_disks_in_turn(self):
        first, second = self.random.sample(self.members, 2)
        for lost in (first, second):
            self.kill([lost])
            self.wipe(lost)
            time.sleep(1.5)
            self.start_members([lost])
            time.sleep(4.0)

    def fault_freeze_or_stop_one_amid_orders(self):
        member = self.random.choice(self.members)
        threads = self.start_orders(4)
        if self.random.random() < 0.5:
            self.process(member).signal(signal.SIGSTOP)
            time.sleep(self.random.choice([0.5, 2.0, 4.0]))
            self.process(member).signal(signal.SIGCONT)
        else:
            self.process(member).stop()
            self.start_members([member])
        for thread in threads:
            thread.join()

    def fault_freeze_then_kill_others(self):
        """A frozen member comes back while the others, which know more, are dead."""
        member = self.random.choice(self.members)
        self.process(member).signal(signal.SIGSTOP)
        time.sleep(0.2)
        others = [other for other in self.members if other != member]
        version, text = self.order()
        self.operators.put_until_confirmed(version, text, others)
        self.kill(others)
        self.process(member).signal(signal.SIGCONT)
        end = time.monotonic() + 1.5
        while time.monotonic() < end:
            self.operators.read(member)
        self.start_members(others)

    def fault_replace_then_old_disk_returns(self):
        """A member is dead or frozen, another takes its place; then it returns with its disk."""
        spares = [member for member in range(3 + SPARES) if member not in self.members]
        gone = self.random.choice(self.members)
        frozen = self.random.random() < 0.5
        if frozen:
            self.process(gone).signal(signal.SIGSTOP)
        else:
            self.kill([gone])
        new = self.random.choice(spares)
        self.wipe(new)
        self.fleet.start_control(new)
        others = [member for member in self.members if member != gone] + [new]
        version, text = self.order()
        self.operators.put_until_confirmed(version, text, others)
        time.sleep(self.random.choice([2.0, 5.0]))
        if frozen:
            self.process(gone).signal(signal.SIGCONT)
        else:
            self.start_members([gone])
        for _ in range(20):
            self.operators.read(gone)
            time.sleep(0.05)
        self.kill([gone])
        self.use_members(others)

    def fault_other_content_and_invalid(self):
        version, text, _ = self.confirm()
        other = json.loads(text)
        other["Listeners"][0]["Rules"][0]["Action"]["Timeout"] = "1234ms"
        for member in self.members:
            self.operators.call(member, "PUT", json.dumps(other))
        broken = json.loads(text)
        broken["Version"] = f"{version + 1:08x}"
        broken["Listeners"][0]["Rules"][0]["Action"]["Service"] = "unknown"
        for member in self.members:
            status = self.operators.call(member, "PUT", json.dumps(broken))[0]
            if status == 200:
                self.operators.finding(f"an invalid document was confirmed by {member}")

    def fault_large_body(self):
        """An order of 1 to 8 MB, padded, sent until it is confirmed."""
        version, text = self.order()
        value = json.loads(text)
        rule = value["Listeners"][0]["Rules"][0]
        rule["Note"] = "x" * self.random.choice([1_000_000, 3_000_000, 8_000_000])
        text = json.dumps(value)
        self.operators.sent.setdefault(version, set()).add(text)
        started = time.monotonic()
        self.operators.put_until_confirmed(version, text, self.members, timeout=4.0)
        self.log(f"{len(text)} bytes confirmed after {time.monotonic() - started:.2f} s")

    def fault_seeds_name_a_dead_address_and_one_member(self):
        """A member that lost its disk finds the group through one seed of three."""
        member, other = self.random.sample(self.members, 2)
        spare = next(spare for spare in range(3 + SPARES) if spare not in self.members)
        addresses = self.fleet.control_addresses
        self.fleet.seeds = [addresses[spare], addresses[member], addresses[other]]
        self.kill([member])
        self.wipe(member)
        self.start_members([member])
        self.use_members(self.members)

    def use_members(self, members):
        self.members = members
        self.fleet.seeds = [self.fleet.control_addresses[member] for member in members]

    def fault_settings_still_say_first_start(self):
        """All are killed and start again with settings that still ask for a first start."""
        self.confirm()
        self.kill(self.members)
        for member in self.members:
            self.fleet.start_control(member, True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--base", type=int, default=3800)
    parser.add_argument("--routes", default="1,20,1400")
    parser.add_argument("--only", default="", help="play only the faults with this in the name")
    parser.add_argument("--kill-founding", action="store_true",
                        help="kill all members once amid their first start")
    options = parser.parse_args()
    routes = [int(count) for count in options.routes.split(",")]
    failed = []
    for seed in range(options.seed, options.seed + options.seeds):
        print(f"seed {seed}", flush=True)
        hunt = Hunt(seed, options.base, routes)
        if hunt.play(options.rounds, options.only, options.kill_founding):
            failed.append(seed)
    print(f"seeds with findings: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
