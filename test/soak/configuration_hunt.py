"""A seeded hunt for configuration versions that entries get late, lose or do not serve.

    python3 test/soak/configuration_hunt.py --seed 1 --seconds 60 --base 3600

Two operators send documents to a control group of three members while processes are killed, frozen,
replaced and lose their disks. Every entry is asked all the time which versions are in force there.
Prints a summary as JSON; exits with 0 when no check failed. The logs of a failed run are kept.
"""

import argparse
import concurrent.futures
import http.client
import json
import os
import random
import shutil
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(HERE, "..", "processes"), os.path.join(HERE, "..", "..", "scripts")]

from hunt_documents import SERVICES, DocumentSeries  # noqa: E402
from hunt_faults import Faults  # noqa: E402
from platform_fleet import PlatformFleet  # noqa: E402
from fleet import Process  # noqa: E402
from support import wait_until  # noqa: E402

APPLY_SECONDS = 2.0  # a confirmed version is in force everywhere after this time
ROLLBACK_SECONDS = 0.25
STABLE_SECONDS = 3.0  # an instance without faults for this long must meet the bounds
UNSTABLE_EXTRA_SECONDS = 5.0  # the bound is longer by this while the group is unstable
FIRST_TARGET_PORT = 12000  # added to the base of the ports
ORDERS_AT_ONCE = 8


class HuntFleet(PlatformFleet):
    """A fleet whose members can be replaced and whose entries can get other seeds."""

    def __init__(self, base, entries):
        super().__init__(base=base, controls=3, entries=entries)
        self.seeds = list(self.control_addresses)
        self.live_members = [0, 1, 2]

    def loopback_address(self, name):
        group = 1 if name.startswith("control") else 2
        return f"127.{self.base // 100}.{group}.{10 + int(name.split('-')[1])}"

    def template_fields(self, name, first_start):
        return dict(super().template_fields(name, first_start), SeedNodes=list(self.seeds))

    def start_targets(self, name, services, first_port):
        text = ",".join(f"{service}:{count}:4" for service, count in services)
        self.processes[name] = Process(name, [
            os.path.join(self.build, "kumquat-standin"), "--platform", "--services", text,
            "--entries", ",".join(self.control_addresses[:3]),
            "--admin", f"127.0.0.1:{first_port - 1}", "--first_port", str(first_port),
            "--work_ms", "10", "--lease_ms", "1500"], self.folder)

    def start(self):
        for i in range(3):
            self.start_control(i, True)
        for i in range(len(self.caller_addresses)):
            self.start_entry(i, True)
        self.start_targets("standin", SERVICES, FIRST_TARGET_PORT + self.base)

    def write_entry_seeds(self, i, seeds):
        self.rewrite_settings(f"entry-{i}", "entry.json", seeds)


class History:
    """When which version was sent and confirmed, and when and where faults were injected."""

    def __init__(self):
        self.lock = threading.Lock()
        self.sent = {}
        self.confirmed = {}
        self.faults = []  # [start, end, scope, what]; scope is "core" or an entry's number

    def newest_confirmed(self, before):
        with self.lock:
            return max((v for v, at in self.confirmed.items() if at < before), default=0)

    def newest_sent(self):
        with self.lock:
            return max(self.sent, default=0)

    def begin_fault(self, scope, what):
        fault = [time.monotonic(), float("inf"), scope, what]
        with self.lock:
            self.faults.append(fault)
        return fault

    def is_calm(self, scope, since, until):
        with self.lock:
            return not any(f[2] == scope and f[0] <= until and f[1] >= since for f in self.faults)

    def last_fault(self, until):
        with self.lock:
            past = [f for f in self.faults if f[0] <= until]
        return f"{past[-1][2]}:{past[-1][3]} {until - past[-1][0]:.2f}s ago" if past else "none"


class Findings:
    def __init__(self, start):
        self.start = start
        self.lock = threading.Lock()
        self.lines = {}

    def add(self, kind, line):
        with self.lock:
            self.lines.setdefault(kind, []).append(f"{time.monotonic() - self.start:.2f} {line}")


class EntryWatcher(threading.Thread):
    """Asks one entry all the time which versions are in force, and checks each response."""

    def __init__(self, hunt, entry):
        super().__init__(daemon=True)
        self.hunt = hunt
        self.entry = entry
        self.address = hunt.fleet.caller_addresses[entry]
        self.random = random.Random(hunt.options.seed * 100 + entry)
        self.connection = None
        self.seen = 0  # newest version seen in this lifetime of the process
        self.seen_at = 0.0
        self.lifetime = 0
        self.count = 0
        self.statuses = {}
        self.seen_versions = []  # (version, time) whenever a newer one was seen

    def request(self, host, path, method="GET"):
        self.count += 1
        headers = {"Host": host, "Kumquatdeal-Deadline-Ms": "2000",
                   "Kumquatdeal-Request-Id": f"{self.entry:02x}{self.count:014x}"}
        try:
            if self.connection is None:
                self.connection = http.client.HTTPConnection(self.address, timeout=2.5)
            self.connection.request(method, path, b"x" if method == "POST" else None, headers)
            response = self.connection.getresponse()
            response.read()
            stamp = response.headers.get("Kumquatdeal-Response-Stamp", "")
            status, service = response.status, stamp.rsplit("-", 1)[0]
        except (OSError, http.client.HTTPException):
            if self.connection:
                self.connection.close()
            self.connection = None
            return 0, ""
        self.statuses[status] = self.statuses.get(status, 0) + 1
        return status, service

    def run(self):
        while not self.hunt.over.is_set():
            self.check_version()
            self.check_route()
            time.sleep(0.005)

    def check_version(self):
        """Asks for a version that is not yet in force here, as far as this watcher knows."""
        lifetime = self.hunt.lifetimes[self.entry]
        if lifetime != self.lifetime:
            self.lifetime, self.seen, self.seen_at = lifetime, 0, 0.0
        start = time.monotonic()
        history = self.hunt.history
        version = self.random.choice([history.newest_confirmed(start), history.newest_sent(),
                                      history.newest_confirmed(start - APPLY_SECONDS), self.seen])
        if version == 0:
            return
        host, path = self.hunt.documents.marker(version)
        status, _ = self.request(host, path)
        now = time.monotonic()
        if status == 404:
            self.judge_missing(version, start, lifetime)
        elif status == 200 and version > self.seen:
            self.seen, self.seen_at = version, now
            self.seen_versions.append((version, now))

    def judge_missing(self, version, start, lifetime):
        if self.hunt.lifetimes[self.entry] != lifetime:
            return
        if not self.hunt.documents.marker_holds(version, self.hunt.history.newest_sent()):
            return
        if version <= self.seen and start > self.seen_at + ROLLBACK_SECONDS:
            self.report("regress", version, start)
        if version <= self.hunt.history.newest_confirmed(start - APPLY_SECONDS):
            self.report("late", version, start)

    def report(self, kind, version, start):
        history = self.hunt.history
        confirmed = history.confirmed.get(version, 0.0)
        since = start - STABLE_SECONDS
        entry_calm = history.is_calm(self.entry, since, start)
        core_calm = history.is_calm("core", since, start)
        over = start - confirmed - APPLY_SECONDS
        counted = entry_calm and (core_calm or over > UNSTABLE_EXTRA_SECONDS)
        where = "in-touch" if counted or (kind == "regress") else "out-of-touch"
        self.hunt.findings.add(f"{kind} {where}", f"entry={self.entry} version={version:x} "
                               f"over={over:.2f}s entry_calm={entry_calm} core_calm={core_calm} "
                               f"last fault {history.last_fault(start)}")

    def check_route(self):
        """Sends a request to a route of a recent version; checks what may be in force."""
        documents, history = self.hunt.documents, self.hunt.history
        host, path, method = documents.random_request(self.random)
        start = time.monotonic()
        oldest = history.newest_confirmed(start - APPLY_SECONDS)
        status, service = self.request(host, path, method)
        if status not in (200, 404) or oldest == 0:
            return
        allowed = documents.services_between(host, path, oldest, history.newest_sent())
        outcome = service if status == 200 else None
        if outcome not in allowed:
            line = (f"entry={self.entry} {host}{path} status={status} service={service} "
                    f"allowed={sorted(map(str, allowed))} oldest={oldest:x} "
                    f"last fault {history.last_fault(start)}")
            since = start - STABLE_SECONDS
            calm = all(history.is_calm(scope, since, start) for scope in ("core", self.entry))
            self.hunt.findings.add("route in-touch" if calm else "route out-of-touch", line)


class Hunt(Faults):
    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        self.fleet = HuntFleet(options.base, options.entries)
        self.documents = DocumentSeries(random.Random(options.seed + 1), options.max_routes)
        self.history = History()
        self.findings = Findings(time.monotonic())
        self.over = threading.Event()
        self.calm = threading.Event()
        self.lifetimes = [0] * options.entries
        self.watchers = []
        self.unconfirmed = 0
        self.fault_counts = {}

    # Operators.

    def send(self, version, seconds=15.0, note=True):
        """Sends a document to one member after another until one accepts it."""
        chooser = random.Random(version)
        body = self.documents.text(version)
        with self.history.lock:
            self.history.sent.setdefault(version, time.monotonic())
        end = time.monotonic() + seconds
        delay = 0.05
        while time.monotonic() < end and not self.over.is_set():
            member = chooser.choice(list(self.fleet.live_members))
            status = self.put(member, body)
            if status == 200:
                if note:
                    with self.history.lock:
                        self.history.confirmed.setdefault(version, time.monotonic())
                if chooser.random() < 0.15:  # as after a lost confirmation
                    again = self.put(chooser.choice(list(self.fleet.live_members)), body)
                    if 400 <= again < 500:
                        self.findings.add("refused", f"resent version={version:x} status={again}")
                return True
            if 400 <= status < 500:
                self.findings.add("refused", f"version={version:x} status={status}")
                return False
            time.sleep(delay)
            delay = min(1.0, delay * 1.6)
        self.unconfirmed += 1
        return False

    def put(self, member, body):
        timeout = 1.0 + len(body) / 400_000
        try:
            return self.fleet.call(self.fleet.control_addresses[member], "PUT",
                                   "/kumquat/v1/document", body, timeout=timeout)[0]
        except (OSError, http.client.HTTPException):
            return 0

    def operate(self, seed):
        chooser = random.Random(seed)
        with concurrent.futures.ThreadPoolExecutor(ORDERS_AT_ONCE // 2) as pool:
            while not self.calm.is_set():
                storm = chooser.random() < 0.3
                for _ in range(chooser.randrange(4, 14) if storm else 1):
                    version = self.documents.next_version()
                    pool.submit(self.send, version)
                    if chooser.random() < 0.1:
                        pool.submit(self.send, self.documents.older(chooser), 5.0, False)
                    time.sleep(chooser.uniform(0.02, 0.35) if storm else 0)
                time.sleep(chooser.uniform(0.2, 3.0))

    def read_documents(self):
        chooser = random.Random(self.options.seed + 7)
        while not self.over.is_set():
            start = time.monotonic()
            oldest = self.history.newest_confirmed(start - APPLY_SECONDS)
            member = chooser.choice(list(self.fleet.live_members))
            try:
                document = self.fleet.read_document(member)
            except (OSError, ValueError, http.client.HTTPException):
                document = None
            if document:
                version = int(document["Version"], 16)
                if version < oldest:
                    self.findings.add(
                        "older read", f"member={member} version={version:x} confirmed={oldest:x}")
                if document != json.loads(self.documents.text(version)):
                    self.findings.add("other content", f"member={member} version={version:x}")
            time.sleep(0.05)

    def measure_delays(self):
        """(seconds from confirmation until seen, calm, entry, version) of confirmed versions."""
        delays = []
        for watcher in self.watchers:
            for version, confirmed in self.history.confirmed.items():
                at = min((at for seen, at in watcher.seen_versions if seen >= version),
                         default=None)
                if at is None:
                    continue
                calm = all(self.history.is_calm(scope, confirmed - STABLE_SECONDS, at)
                           for scope in ("core", watcher.entry))
                delays.append((max(0.0, at - confirmed), calm, watcher.entry, version))
        return delays

    # The run.

    def wait_for_first_version(self):
        version = self.documents.next_version()
        wait_until(lambda: self.send(version, 2.0), 20, "the first document")
        host, path = self.documents.marker(version)
        probes = [EntryWatcher(self, i) for i in range(self.options.entries)]
        wait_until(lambda: all(p.request(host, path)[0] == 200 for p in probes), 20, "all entries")

    def run(self):
        self.fleet.start()
        self.wait_for_first_version()
        self.watchers = [EntryWatcher(self, i) for i in range(self.options.entries)]
        threads = list(self.watchers)
        seed = self.options.seed * 10
        work = [(self.operate, seed + 1), (self.operate, seed + 2), (self.read_documents,)]
        names = [n[6:] for n in dir(self) if n.startswith("fault_") and callable(getattr(self, n))]
        names = [n for n in names if n not in self.options.without.split(",")]
        if not self.options.no_faults:
            core = [n for n in names if "entry" not in n and n != "seeds"]
            others = [n for n in names if n not in core]
            work += [(self.inject_faults, seed + 3, core), (self.inject_faults, seed + 4, others)]
        if self.options.core_share < 1:
            work.append((self.throttle_members,))
        changing = [threading.Thread(target=w[0], args=w[1:], daemon=True) for w in work]
        for thread in threads + changing:
            thread.start()
        time.sleep(self.options.seconds)
        self.calm.set()
        for thread, item in zip(changing, work):
            if item[0] not in (self.read_documents, self.throttle_members):
                thread.join(40)
        self.check_end()
        self.over.set()
        time.sleep(0.3)

    def check_end(self):
        """After calm, the newest version is in force and served at all entries, and readable."""
        time.sleep(STABLE_SECONDS + APPLY_SECONDS)
        version = self.documents.next_version()
        if not self.send(version, 10.0):
            self.findings.add("end", "the last document was not confirmed within 10 s")
        time.sleep(APPLY_SECONDS)
        for member in self.fleet.live_members:
            document = self.fleet.read_document(member)
            if not document or int(document["Version"], 16) != version:
                self.findings.add("end", f"member {member} reads "
                                  f"{document and document['Version']}, not {version:08x}")
        for watcher in self.watchers:
            probe = EntryWatcher(self, watcher.entry)
            if probe.request(*self.documents.marker(version))[0] != 200:
                self.findings.add("end", f"entry {watcher.entry} does not have the last version")
            for host, path, method in self.documents.sample_of_newest(self.random, 60):
                served = sum(probe.request(host, path, method)[0] == 200 for _ in range(3))
                if served == 0:
                    self.findings.add("unserved", f"entry {watcher.entry} {host}{path} {method}")

    def crashed(self):
        return [f"{name} code={p.popen.returncode}" for name, p in self.fleet.processes.items()
                if p.popen.poll() not in (None, 0) and "control" not in name]

    def summary(self):
        delays = self.measure_delays()
        calm = sorted(d for d, is_calm, _, _ in delays if is_calm)
        rest = sorted(d for d, is_calm, _, _ in delays if not is_calm)
        bounds = [0.05, 0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 5.0, 1e9]

        def histogram(values):
            counts, low = {}, -1e9
            for bound in bounds:
                counts[f"<{bound:g}s"] = sum(low <= v < bound for v in values)
                low = bound
            return counts

        statuses = {}
        for watcher in self.watchers:
            for status, count in watcher.statuses.items():
                statuses[status] = statuses.get(status, 0) + count
        for delay, is_calm, entry, version in delays:
            if is_calm and delay > 1.0:
                self.findings.add("slow in a calm core",
                                  f"entry={entry} version={version:x} {delay:.2f}s")
        return {"seed": self.options.seed, "versions sent": len(self.history.sent),
                "confirmed": len(self.history.confirmed), "unconfirmed": self.unconfirmed,
                "faults": self.fault_counts, "statuses": statuses,
                "routes at the end": self.documents.route_count(), "ended": self.crashed(),
                "delay calm": histogram(calm), "max calm": round(calm[-1], 2) if calm else None,
                "delay other": histogram(rest), "max other": round(rest[-1], 2) if rest else None,
                "findings": {k: [len(v)] + v[:6] for k, v in self.findings.lines.items()}}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--base", type=int, default=3600)
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--max_routes", type=int, default=1400)
    parser.add_argument("--core_share", type=float, default=1.0)
    parser.add_argument("--no_faults", action="store_true")
    parser.add_argument("--without", default="", help="faults that are left out, with commas")
    options = parser.parse_args()
    hunt = Hunt(options)
    try:
        hunt.run()
        summary = hunt.summary()
    finally:
        hunt.over.set()
        for process in hunt.fleet.processes.values():
            process.stop(3)
    print(json.dumps(summary, indent=1))
    bad = [k for k in summary["findings"] if "out-of-touch" not in k]
    if bad:
        print("logs:", hunt.fleet.folder)
    else:
        shutil.rmtree(hunt.fleet.folder, ignore_errors=True)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
