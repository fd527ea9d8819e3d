"""Starts the project's programs for a case, as the platform does, on loopback addresses.

The platform, the operator, the requesters and the backends are small stand-ins of this folder. They
follow SYSTEM.md, PROTOCOL.md and DEPLOY.md; nothing here belongs to the product.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEARTBEAT = "1500ms"


class CannotRun(Exception):
    """The case could not be played; run.sh then exits with 2."""


def run_case(play_case):
    """Exits with the result of a case: 1 broken, 0 held, 2 if it couldn't run for any reason."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        result = play_case()
    except CannotRun as reason:
        print("cannot run:", reason)
        result = 2
    except Exception:  # an error of the stand-ins says nothing about the rule
        traceback.print_exc()
        result = 2
    sys.exit(result)


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def render(template, fields):
    """Fills in a template of deploy/: {{a.b}}, {{a.0}} and {{a|json}}."""

    def value(match):
        path, _, form = match.group(1).partition("|")
        current = fields
        for part in path.split("."):
            current = current[int(part)] if isinstance(current, list) else current[part]
        return json.dumps(current) if form == "json" or not isinstance(current, str) else current

    with open(os.path.join(ROOT, "deploy", template)) as file:
        return re.sub(r"\{\{([^}]+)\}\}", value, file.read())


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Program:
    """One process of the product on a machine of its own (a loopback address)."""

    def __init__(self, fleet, kind, index):
        self.fleet = fleet
        self.kind = kind
        self.index = index
        self.name = f"{kind}-{index}"
        third = 1 if kind == "control" else 2
        self.ip = f"127.{fleet.net}.{third}.{10 + index}"
        ports = [free_port(self.ip) for _ in range(3)]
        if kind == "control":
            self.listen = {"Control": f"{self.ip}:{ports[0]}"}
        else:
            self.listen = {"Front": f"{self.ip}:{ports[0]}", "Ready": f"{self.ip}:{ports[1]}"}
        self.internal_port = ports[2]
        self.process = None

    @property
    def address(self):
        return self.listen.get("Control") or self.listen["Front"]

    def write_settings(self, first=False):
        fleet = self.fleet
        zone = f"zone-{'abc'[self.index % 3]}"
        fields = {
            "NodeName": self.name, "Zone": zone, "IpAddress": self.ip,
            "InternalPortRange": [self.internal_port], "Bootstrap": first, "Heartbeat": HEARTBEAT,
            "SeedNodes": [program.address for program in fleet.controls[:3]],
            "DataDir": os.path.join(fleet.folder, self.name + ".data"),
            "ListenAddresses": self.listen, "FaultTolerance": {"Machines": 1},
            "Bounds": fleet.bounds,
        }
        settings = os.path.join(fleet.folder, self.name + ".boot")
        with open(settings, "w") as file:
            file.write(render(self.kind + ".json", fields))
        return settings

    def start(self, first=False):
        settings = self.write_settings(first)
        fleet = self.fleet
        log = open(os.path.join(fleet.folder, self.name + ".log"), "a")
        binary = os.path.join(fleet.programs, "kumquat-" + self.kind)
        self.process = subprocess.Popen([binary, "--settings", settings], cwd=ROOT, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def runs(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.runs():
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None:
            self.send(signal.SIGKILL)
            self.process.wait()

    def memory_mb(self):
        """The largest resident memory so far, and the present one."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                text = file.read()
        except OSError:
            return 0, 0
        found = [re.search(key + r":\s+(\d+) kB", text) for key in ("VmHWM", "VmRSS")]
        return tuple(int(match.group(1)) // 1024 if match else 0 for match in found)

    def log_text(self):
        with open(os.path.join(self.fleet.folder, self.name + ".log")) as file:
            return file.read()


class Fleet:
    def __init__(self, record, controls=3, entries=2):
        self.record = record
        self.programs = os.environ.get("KUMQUAT_TARGET", os.path.join(ROOT, "target"))
        for name in ("kumquat-control", "kumquat-entry"):
            if not os.access(os.path.join(self.programs, name), os.X_OK):
                raise CannotRun(name + " is not built; build as deploy/system.toml says")
        self.folder = tempfile.mkdtemp(prefix="kumquat-review-")
        self.net = random.randrange(30, 250)
        self.bounds = {"RetryBudgetRatio": 0.2, "BudgetSlack": 64, "Grace": "6s"}
        self.controls = []
        for i in range(controls):
            self.controls.append(Program(self, "control", i))
        self.entries = [Program(self, "entry", i) for i in range(entries)]
        self.closed = False

    def start(self, document=None, seconds=20):
        for program in self.controls + self.entries:
            program.start(first=True)
        if document is not None:
            self.put(document, seconds=seconds)

    def stop(self):
        self.closed = True
        for program in self.controls + self.entries:
            program.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    # The operator.

    def call_control(self, index, method, path, body=None, timeout=1.0):
        """One call; returns (status, body), or (0, reason) without a whole response."""
        ip, port = self.controls[index].address.split(":")
        connection = http.client.HTTPConnection(ip, int(port), timeout=timeout)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException) as error:
            return 0, str(error)
        finally:
            connection.close()

    def put(self, document, seconds=20, first=0, timeout=1.0):
        """Sends a manifest to one member after another until one acknowledges it."""
        body = document if isinstance(document, str) else json.dumps(document, separators=(",", ":"))
        end = time.monotonic() + seconds
        tries = first
        while time.monotonic() < end:
            status, _ = self.call_control(tries % len(self.controls), "PUT",
                                          "/kumquat/v1/document", body, timeout)
            if status == 200:
                return True
            if status in (400, 409, 412, 413, 422):
                raise CannotRun(f"a valid manifest was refused with {status}")
            tries += 1
            time.sleep(0.05)
        return False

    def read_manifest(self, index, timeout=1.0):
        """(status, version or None) of a read at one member."""
        status, body = self.call_control(index, "GET", "/kumquat/v1/document", None, timeout)
        if status != 200:
            return status, None
        return status, int(json.loads(body)["Version"], 16)

    # Requesters.

    def request(self, entry, method, path, host, request_id, body=None, deadline_ms=3000,
                timeout=6.0, connection=None):
        """One request on a connection of its own, or on `connection`; (status, headers, body)."""
        own = connection is None
        if own:
            ip, port = self.entries[entry].listen["Front"].split(":")
            connection = http.client.HTTPConnection(ip, int(port), timeout=timeout)
        try:
            connection.request(method, path, body, {
                "Host": host, "Kumquatdeal-Request-Id": request_id,
                "Kumquatdeal-Deadline-Ms": str(deadline_ms)})
            answer = connection.getresponse()
            return answer.status, dict(answer.getheaders()), answer.read()
        except (OSError, http.client.HTTPException) as error:
            return 0, {}, str(error).encode()
        finally:
            if own:
                connection.close()

    def ready(self, entry):
        ip, port = self.entries[entry].listen["Ready"].split(":")
        connection = http.client.HTTPConnection(ip, int(port), timeout=0.5)
        try:
            connection.request("GET", "/kumquat/v1/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class MemoryLimit(threading.Thread):
    """The platform: kills a process that uses more memory than its machine grants, and restarts a
    process that has ended, after a short delay."""

    def __init__(self, fleet, limits, restart_delay=0.5):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.limits = limits
        self.restart_delay = restart_delay
        self.halted = set()
        self.down_since = {}
        self.kills = []
        self.start()

    def run(self):
        while not self.fleet.closed:
            for program in self.fleet.controls + self.fleet.entries:
                if program.name not in self.halted:
                    self.look_after(program)
            time.sleep(0.005)

    def look_after(self, program):
        now = time.monotonic()
        if program.runs():
            peak, _ = program.memory_mb()
            if peak > self.limits[program.kind]:
                self.fleet.record.write(f"platform: {program.name} has used {peak} MB of "
                                        f"{self.limits[program.kind]} MB: killed")
                self.kills.append((now, program.name, peak))
                program.kill()
                self.down_since[program.name] = now
        elif program.process is not None:
            since = self.down_since.setdefault(program.name, now)
            if now - since > self.restart_delay:
                del self.down_since[program.name]
                if self.fleet.closed:
                    return
                program.start()
                self.fleet.record.write(f"platform: {program.name} started again")


def manifest(version, routes, services, limits=None):
    """`routes`: (host, name, prefix, kind, service, timeout_ms, attempts)."""
    hosts = {}
    for host, name, prefix, kind, service, timeout_ms, attempts in routes:
        hosts.setdefault(host, []).append({
            "Name": name, "RouteType": kind, "TargetLatency": f"{max(50, timeout_ms // 3)}ms",
            "Priority": 1, "Match": {"PathPrefix": prefix},
            "Action": {"Service": service, "Timeout": f"{timeout_ms}ms", "Attempts": attempts}})
    return {
        "Version": f"{version:08x}",
        "Limits": limits or {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
                             "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
        "Listeners": [{"Hostname": host, "Rules": rules} for host, rules in hosts.items()],
        "Clusters": [{"Name": name, "HealthPath": "/health", "MaxConnections": 260,
                      "Protocol": "h1", "Tls": False} for name in services]}
