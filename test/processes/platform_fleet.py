"""A local deployment that speaks the platform's formats, from the templates in deploy/."""

import http.client
import json
import os
import re
import shutil
import tempfile
import threading
import time

from support import wait_until
from fleet import Process, ROOT

HOST = "quotes.example"
SERVICES = [("catalogue", 4, 2), ("orders", 3, 2)]


def render(template, fields):
    """Fills a template as the platform does: {{a.b}} is a value, {{a|json}} its JSON."""

    def value(match):
        path, _, form = match.group(1).partition("|")
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        if form == "json" or not isinstance(found, str):
            return json.dumps(found)
        return found

    with open(os.path.join(ROOT, "deploy", template)) as file:
        return re.sub(r"\{\{([^}]+)\}\}", value, file.read())


def document(version, routes=(("/lookup/", "safe", "catalogue"), ("/book/", "unsafe", "orders"))):
    """A whole configuration, as an operator of the platform writes it."""
    rules = [{"Name": "r" + prefix.strip("/"), "RouteType": kind, "TargetLatency": "500ms",
              "Priority": 1, "Match": {"PathPrefix": prefix},
              "Action": {"Service": service, "Timeout": "3000ms", "Attempts": 2}}
             for prefix, kind, service in routes]
    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms",
              "IdleTimeout": "15000ms"}
    return {"Version": f"{version:08x}", "Limits": limits, "Listeners": [{"Hostname": HOST, "Rules": rules}],
            "Clusters": [{"Name": name, "HealthPath": "/health", "MaxConnections": 250,
                          "Protocol": "h1", "Tls": False} for name, _, _ in SERVICES]}


class PlatformFleet:
    """Three control members, two entries and stand-in targets; all on loopback."""

    def __init__(self, base=400, controls=3, entries=2):
        self.base = base
        self.build = os.environ.get("KUMQUAT_BUILD", os.path.join(ROOT, "build"))
        self.folder = tempfile.mkdtemp(prefix="kumquat-platform-")
        self.controls = [f"127.0.0.1:{7101 + base + i}" for i in range(controls)]
        self.callers = [f"127.0.0.1:{8001 + base + i}" for i in range(entries)]
        self.ready = [f"127.0.0.1:{9001 + base + i}" for i in range(entries)]
        self.admin = f"127.0.0.1:{9901 + base}"
        self.processes = {}
        self.requests = 0

    def fields(self, name, first):
        return {"NodeName": name, "Zone": "zone-" + name[-1], "SeedNodes": self.controls[:3],
                "IpAddress": self.own_address(name), "InternalPortRange": [self.free_port(name)],
                "Bootstrap": first, "FaultTolerance": {"Machines": 1}, "Heartbeat": "1500ms",
                "DataDir": os.path.join(self.folder, name + ".data"),
                "Bounds": {"RetryBudgetRatio": 0.2, "BudgetSlack": 64, "Grace": "6s"}}

    def own_address(self, name):
        """An address of its own for each process: some ports are the same on all instances."""
        return f"127.0.{1 if name.startswith('control') else 2}.{10 + int(name.split('-')[1])}"

    def free_port(self, name):
        """A port of its own for each process, in the place of one for each instance."""
        return 9301 + self.base + int(name.split('-')[1])

    def rewrite_settings(self, name, template, seeds):
        """Renders a running entry's settings again, with other seeds."""
        i = int(name[-1])
        listen = {"Front": self.callers[i], "Ready": self.ready[i]}
        fields = dict(self.fields(name, False), ListenAddresses=listen, SeedNodes=seeds)
        with open(os.path.join(self.folder, name + ".json"), "w") as file:
            file.write(render(template, fields))

    def launch(self, program, template, name, listen, first):
        fields = dict(self.fields(name, first), ListenAddresses=listen)
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            file.write(render(template, fields))
        self.processes[name] = Process(
            name, [os.path.join(self.build, program), "--settings", path], self.folder)

    def start_control(self, i, first=False):
        self.launch("kumquat-control", "control.json", f"control-{i}",
                    {"Control": self.controls[i]}, first)

    def start_entry(self, i, first=False):
        self.launch("kumquat-entry", "entry.json", f"entry-{i}",
                    {"Front": self.callers[i], "Ready": self.ready[i]}, first)

    def start(self):
        for i in range(len(self.controls)):
            self.start_control(i, True)
        for i in range(len(self.callers)):
            self.start_entry(i, True)
        services = ",".join(f"{name}:{count}:{slots}" for name, count, slots in SERVICES)
        self.processes["standin"] = Process("standin", [
            os.path.join(self.build, "kumquat-standin"), "--platform", "--services", services,
            "--entries", ",".join(self.controls), "--admin", self.admin, "--first_port",
            str(20000 + 4 * self.base), "--work_ms", "10", "--lease_ms", "1500"], self.folder)
        self.put(document(1))
        wait_until(self.serves, 20, "all entries to serve")

    def stop(self):
        for process in self.processes.values():
            process.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def wipe(self, i):
        """Kills a member, empties its disk and starts it at its old address."""
        self.processes[f"control-{i}"].kill()
        shutil.rmtree(os.path.join(self.folder, f"control-{i}.data"))
        self.start_control(i)

    # Calls.

    def call(self, address, method, path, body=None, headers=None, timeout=5):
        connection = http.client.HTTPConnection(address, timeout=timeout)
        try:
            connection.request(method, path, body, headers or {})
            answer = connection.getresponse()
            return answer.status, dict(answer.getheaders()), answer.read()
        finally:
            connection.close()

    def request(self, entry, path, method="GET", body=None):
        """One sending of a caller; gives its ID too."""
        self.requests += 1
        sending = f"{self.requests:016x}"
        headers = {"Host": HOST, "Kumquatdeal-Request-Id": sending,
                   "Kumquatdeal-Deadline-Ms": "3000"}
        status, got, data = self.call(self.callers[entry], method, path, body, headers)
        return status, got, data, sending

    def serves(self):
        return all(self.request(i, path, method)[0] == 200 for i in range(len(self.callers))
                   for path, method in (("/lookup/x", "GET"), ("/book/x", "POST")))

    def try_put(self, value, member=0):
        body = value if isinstance(value, (str, bytes)) else json.dumps(value)
        try:
            return self.call(self.controls[member], "PUT", "/kumquat/v1/document", body)[0]
        except OSError:
            return 0

    def put(self, value, seconds=20):
        """Sends a document to one member after another until one accepts it."""
        end = time.monotonic() + seconds
        member = 0
        while time.monotonic() < end:
            if self.try_put(value, member % len(self.controls)) == 200:
                return
            member += 1
            time.sleep(0.1)
        raise RuntimeError("no member accepted the document")

    def read(self, member):
        """The document that a member says is the newest, or None."""
        try:
            status, _, data = self.call(self.controls[member], "GET", "/kumquat/v1/document")
        except OSError:
            return None
        return json.loads(data) if status == 200 else None

    def metric(self, address, name):
        """The sum of a metric over its labels."""
        text = self.call(address, "GET", "/kumquat/v1/metrics")[2].decode()
        lines = [line for line in text.splitlines() if re.match(name + r"[{ ]", line)]
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines)

    def change_behaviour(self, targets, **changes):
        status, _, data = self.call(self.admin, "POST", "/behaviour/" + targets,
                                    json.dumps(changes))
        if status != 200:
            raise ValueError(f"the stand-in refused {changes}: {data.decode()}")

    def standin_report(self):
        return json.loads(self.call(self.admin, "GET", "/report")[2])


class Callers(threading.Thread):
    """Sends bookings one after another until told to stop; keeps what each was told."""

    def __init__(self, fleet, entry, path="/book/x"):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.entry = entry
        self.path = path
        self.told = []
        self.ended = threading.Event()
        self.start()

    def run(self):
        while not self.ended.is_set():
            try:
                status, _, _, sending = self.fleet.request(self.entry, self.path, "POST", b"b")
                self.told.append((sending, status))
            except OSError:
                self.told.append((None, 0))
                time.sleep(0.02)

    def finish(self):
        self.ended.set()
        self.join(10)
        return self.told
