"""Searches for requests on kept connections that were passed on and got no response.

    python3 test/soak/connection_hunt.py --seed 1 --seeds 30 --seconds 12

Callers keep connections and pipeline, send in pieces, stall, read late, rest around the idle
timeout and close their writing side only. Meanwhile entries stand still and get SIGHUP, targets
misbehave and crash, and the configuration changes. Nothing between callers and entries is disturbed
and no entry is stopped, so each request that ran at a target must have its own, whole response.
"""

import http.client
import random
import signal
import socket
import sys
import threading
import time

from hunt_parts import BEHAVIOURS, NORMAL, BaseHunt, HuntFleet, changed_document, run_hunt
from hunt_requests import KINDS, STALLED, Sent, make_request
from soak import NOT_RUN_STATUSES
from test_pipelining import PipelinedCaller

ENTRIES = 2
CALLERS = 12
MAX_AHEAD = 16
PORT_OFFSET = 2820  # keeps the ports apart from those of the process tests
NETWORK = 101  # of the first fleet's loopback addresses
FLEETS = 4
CROSSED_S = 1.0  # requests that cross the close of their connection learn it sooner
IDLE_TIMEOUTS_MS = (2000, 1000, 4000)
HEADER_TIMEOUTS_MS = (1500, 600, 3000, 1000)
SMALL_BUFFER_BYTES = 4096
MALFORMED = (b"no request at all\r\n\r\n", b"GET / HTTP/1.1\r\nContent-Length: 5x\r\n\r\n")
ENDS = ("rest", "rest", "rest", "stall in a header", "stall in a body", "half-close", "malformed")


class Caller(threading.Thread):
    """Uses one connection after another, each in a manner drawn from the seed."""

    def __init__(self, hunt, seed):
        super().__init__(daemon=True)
        self.hunt = hunt
        self.random = random.Random(seed)
        self.results = []
        self.start()

    def run(self):
        while not self.hunt.stop_event.is_set():
            try:
                entry = self.random.randrange(ENTRIES)
                connection = PipelinedCaller(self.hunt.fleet.caller_addresses[entry])
            except OSError:
                time.sleep(0.02)
                continue
            self.use(connection, entry)
            connection.input.close()
            connection.socket.close()

    def use(self, connection, entry):
        ahead = self.random.choice((1, 1, 2, 4, MAX_AHEAD))
        in_pieces = self.random.random() < 0.3
        reads_late = self.random.random() < 0.2
        has_small_buffer = self.random.random() < 0.2
        if has_small_buffer:
            connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        is_open = True
        while is_open:
            end = self.random.choice(ENDS)
            how = (f"entry-{entry}, {ahead} ahead, pieces {in_pieces}, late {reads_late}, "
                   f"small buffer {has_small_buffer}, then {end}")
            batch = []
            try:
                for _ in range(ahead):
                    self.send(connection, batch, in_pieces)
                self.finish(connection, batch, end)
            except OSError:
                pass  # the entry has closed: what it has sent is read below
            for sent in batch:
                sent.how = how
            if reads_late:
                time.sleep(self.random.uniform(0.5, 3.0))
            is_open = self.read(connection, batch) and end == "rest"
            self.results += batch
            if is_open:
                is_open = not self.hunt.stop_event.wait(self.rest())

    def rest(self):
        around = self.hunt.idle_timeout_s * self.random.choice((0.8, 0.99, 1.0, 1.01))
        return self.random.choice((0, 0, 0, 0.01, 0.2, around))

    def send(self, connection, batch, in_pieces):
        sent, header, body = make_request(connection, self.random.choice(KINDS), self.random)
        batch.append(sent)
        data = header + body
        cuts = [len(header)] if b"Expect" in header else []
        if in_pieces:
            cuts += [self.random.randrange(1, len(data)) for _ in range(self.random.randrange(3))]
        start = 0
        for cut in sorted(cuts):
            connection.socket.sendall(data[start:cut])
            start = cut
            time.sleep(self.random.choice((0, 0.01, 0.1, 0.7 if in_pieces else 0)))
        connection.socket.sendall(data[start:])

    def finish(self, connection, batch, end):
        if end == "half-close":
            connection.socket.shutdown(socket.SHUT_WR)
        elif end == "malformed":
            batch.append(Sent("", "", "GET", None))
            connection.socket.sendall(self.random.choice(MALFORMED))
        elif end.startswith("stall"):
            sent, header, body = make_request(connection, STALLED, self.random)
            cut = self.random.randrange(1, len(header))
            if end == "stall in a body":
                cut = len(header) + self.random.randrange(len(body) - 1)
            batch.append(sent)
            connection.socket.sendall((header + body)[:cut])

    def read(self, connection, batch):
        """Returns whether the connection stays open."""
        is_open, error = True, ""
        for sent in batch:
            if error or not is_open:
                sent.error = error or "behind a response that closes"
                continue
            began = time.monotonic()
            try:
                status, headers, body = connection.read(sent.method)
                sent.take(status, headers, body)
                is_open = headers.get("Connection") != "close"
            except (OSError, ValueError, http.client.HTTPException) as failure:
                error = sent.error = repr(failure)
                sent.waited_s = time.monotonic() - began
                sent.ended = time.strftime("%H:%M:%S", time.gmtime())
        return is_open and not error


class Hunt(BaseHunt):
    """Entries that stand still, signals, changes and faults of targets drawn from a seed."""

    behaviours = BEHAVIOURS + ({"silent": 1}, {"crashOnPoison": 1})
    normal = dict(NORMAL, silent=0, crashOnPoison=0)
    idle_timeout_s = 15.0

    def __init__(self, seed, fleet_number):
        super().__init__(seed, HuntFleet(fleet_number, PORT_OFFSET, NETWORK, ENTRIES))

    def start_callers(self):
        return [Caller(self, self.random.random()) for _ in range(CALLERS)]

    def steps(self):
        return (self.pause_an_entry, self.hang_up, self.change_document, self.spoil_a_target)

    def document(self, version):
        value = changed_document(version)
        idle_ms = IDLE_TIMEOUTS_MS[version % len(IDLE_TIMEOUTS_MS)]
        value["Limits"]["IdleTimeout"] = f"{idle_ms}ms"
        header_ms = HEADER_TIMEOUTS_MS[version % len(HEADER_TIMEOUTS_MS)]
        value["Limits"]["HeaderTimeout"] = f"{header_ms}ms"
        rules = value["Listeners"][0]["Rules"]
        rules[0]["Action"]["Service"] = ("catalogue", "orders")[version // 2 % 2]
        rules[1]["Action"]["Service"] = ("orders", "catalogue")[version // 3 % 2]
        self.idle_timeout_s = idle_ms / 1000
        return value

    def pause_an_entry(self, chooser):
        process = self.fleet.processes[f"entry-{chooser.randrange(ENTRIES)}"]
        process.signal(signal.SIGSTOP)
        time.sleep(chooser.choice((0.2, 1.0, 4.0)) * chooser.uniform(0.5, 1.0))
        process.signal(signal.SIGCONT)

    def check_runs(self, results):
        runs = self.fleet.standin_report()["runs"]
        for sent in results:
            ran = runs.get(sent.request_id, 0)
            fault = self.fault_of(sent, ran)
            if fault:
                self.findings.add(f"{sent.request_id} {sent.method} {sent.path} "
                                  f"({sent.how} {sent.ended}): {fault}")
        self.check_entries()
        served = sum(sent.status == 200 for sent in results)
        unanswered = sum(sent.status == 0 for sent in results)
        print(f"  {len(results)} requests, {served} served, {unanswered} without a response, "
              f"{self.version} versions")

    def fault_of(self, sent, ran):
        if sent.fault:
            return sent.fault
        if sent.status in NOT_RUN_STATUSES and ran > 0:
            return f"ran although its status was {sent.status}"
        if ran > 1 and not sent.is_safe():
            return f"ran {ran} times"
        if sent.status == 0 and ran > 0:
            return f"ran and got no response: {sent.error}"
        if sent.waited_s > CROSSED_S:
            return f"no response after {sent.waited_s:.2f} s: {sent.error}"
        return ""

    def check_entries(self):
        for i in range(ENTRIES):
            process = self.fleet.processes[f"entry-{i}"]
            if process.popen.poll() is not None:
                self.findings.add(f"entry-{i} ended by itself, exit code {process.popen.poll()}")
            with open(process.log_path) as log:
                for line in log:
                    if '"event":336' in line and '"cause":"caller-closed"' not in line:
                        self.findings.add(f"entry-{i}: {line.strip()}")


if __name__ == "__main__":
    sys.exit(run_hunt(Hunt, __doc__, FLEETS))
