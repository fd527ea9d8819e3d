"""Searches for requests that end without a response while entries are stopped as planned.

    python3 test/soak/stop_hunt.py --seed 1 --seeds 50 --seconds 12

Callers use their connections until an entry closes them: one request after another, or several
before the first response. Meanwhile entries get SIGTERM and SIGHUP in series, targets misbehave and
the configuration changes. Nothing between callers and entries is disturbed, so a request that ran
at a target must have a response, and so must one that was sent well before its connection ended.
"""

import random
import signal
import sys
import threading
import time

from hunt_parts import BaseHunt, HuntFleet, run_hunt
from soak import NOT_RUN_STATUSES
from support import wait_until
from test_pipelining import PipelinedCaller

ENTRIES = 3
CALLERS = 12
GRACE_S = 6.0
# A stop may cut what its target was still working on so late, if it was sent so early in the stop.
CUT_AFTER_S = GRACE_S * 5 / 6
SENT_WITHIN_S = 3.0
LOSS_SLACK_S = 0.2  # a request sent later than this before the end may not have been read
MAX_AHEAD = 4
PORT_OFFSET = 2300  # keeps the ports apart from those of the process tests
NETWORK = 71  # of the first fleet's loopback addresses
FLEETS = 10


class Sent:
    """A request that has no response yet."""

    def __init__(self, method, is_long):
        self.request_id = ""
        self.method = method
        self.is_long = is_long
        self.at = time.monotonic()


class Caller(threading.Thread):
    """Uses one connection after another, each until the entry closes it."""

    def __init__(self, hunt, number, seed):
        super().__init__(daemon=True)
        self.hunt = hunt
        self.number = number
        self.random = random.Random(seed)
        self.results = []
        self.start()

    def run(self):
        while not self.hunt.stop_event.is_set():
            entry = self.random.randrange(ENTRIES)
            try:
                connection = PipelinedCaller(self.hunt.fleet.caller_addresses[entry])
            except OSError:
                time.sleep(0.02)
                continue
            self.use(connection, entry, self.random.choice((1, 1, MAX_AHEAD)))
            connection.socket.close()

    def use(self, connection, entry, ahead):
        waiting = []
        try:
            while not self.hunt.stop_event.is_set():
                for _ in range(ahead):
                    waiting.append(self.send(connection))
                while waiting:
                    closes = self.read(connection, waiting[0])
                    waiting.pop(0)
                    if closes:
                        self.note_lost(waiting, entry, "the response before it closed")
                        return
                time.sleep(self.random.choice((0, 0.01, 0.2)))
        except (OSError, ValueError) as error:
            self.note_lost(waiting, entry, error)

    def send(self, connection):
        path, method, body = self.random.choice((
            ("/lookup/x", "GET", b""), ("/lookup/x?size=30000", "GET", b""),
            ("/lookup/slow?work=700000", "GET", b""), ("/book/x", "POST", b"b" * 300),
            ("/book/x?work=900000", "POST", b"b"), ("/send/x", "POST", b"u" * 200_000),
            ("/long/x?work=3000000", "POST", b"b")))
        is_long = path.startswith("/long/")
        deadline_ms = 20_000 if is_long else 2_500
        sent = Sent(method, is_long)
        sent.request_id = connection.send(path, method, body, deadline_ms)
        return sent

    def read(self, connection, sent):
        status, headers, _ = connection.read(sent.method)
        self.results.append((sent.request_id, status))
        return headers.get("Connection") == "close"

    def note_lost(self, waiting, entry, error):
        now = time.monotonic()
        if waiting and self.hunt.may_cut(entry, waiting[0], now):
            return  # the others wait for the response of this one
        for sent in waiting:
            self.results.append((sent.request_id, 0))
            if now - sent.at > LOSS_SLACK_S:
                self.hunt.findings.add(f"{sent.request_id}: entry-{entry} closed the connection "
                                       f"without a response after {now - sent.at:.2f} s: {error}")


class Hunt(BaseHunt):
    """Stops, signals, changes and faults of targets drawn from a seed."""

    def __init__(self, seed, fleet_number):
        super().__init__(seed, HuntFleet(fleet_number, PORT_OFFSET, NETWORK, ENTRIES))
        self.signalled_at = [float("-inf")] * ENTRIES

    def start_callers(self):
        return [Caller(self, i, self.random.random()) for i in range(CALLERS)]

    def steps(self):
        return (self.stop_an_entry, self.hang_up, self.change_document, self.spoil_a_target)

    def stop_an_entry(self, chooser):
        i = chooser.randrange(ENTRIES)
        process = self.fleet.processes[f"entry-{i}"]
        signalled_at = self.signalled_at[i] = time.monotonic()
        process.signal(signal.SIGTERM)
        if chooser.random() < 0.3:
            time.sleep(chooser.uniform(0, 3))
            process.signal(chooser.choice((signal.SIGTERM, signal.SIGHUP)))
        try:
            process.popen.wait(signalled_at + GRACE_S - time.monotonic())
        except Exception:  # subprocess.TimeoutExpired
            self.findings.add(f"entry-{i} still ran at the end of the grace time")
            process.kill()
        self.fleet.start_entry(i)
        self.started_at[i] = time.monotonic()
        try:
            wait_until(lambda: self.serves(i), 20, "")
        except RuntimeError:
            code = self.fleet.processes[f"entry-{i}"].popen.poll()
            self.findings.add(f"entry-{i} did not serve again, exit code {code}")

    def may_cut(self, entry, sent, now):
        """True for a request that the end of a stop cut, as the platform allows."""
        signalled_at = self.signalled_at[entry]
        return (sent.is_long and sent.at < signalled_at + SENT_WITHIN_S
                and signalled_at + CUT_AFTER_S <= now < signalled_at + GRACE_S + 1)

    def serves(self, entry):
        try:
            return self.fleet.request(entry, "/lookup/x")[0] == 200
        except OSError:
            return False

    def check_runs(self, results):
        runs = self.fleet.standin_report()["runs"]
        for request_id, status in results:
            ran = runs.get(request_id, 0)
            if status in NOT_RUN_STATUSES and ran > 0:
                self.findings.add(f"{request_id} ran although its status was {status}")
            if status == 0 and ran > 0:
                self.findings.add(f"{request_id} ran and got no response")
        print(f"  {len(results)} requests, {sum(s == 0 for _, s in results)} without a response, "
              f"{sum(s == 200 for _, s in results)} served, {self.version} versions")


if __name__ == "__main__":
    sys.exit(run_hunt(Hunt, __doc__, FLEETS))
