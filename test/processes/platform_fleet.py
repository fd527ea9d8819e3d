"""A local fleet that uses the platform's formats, with settings from the templates in deploy/."""

import http.client
import json
import os
import re
import shutil
import tempfile
import threading
import time

from support import wait_until
from address_claim import AddressClaim
from fleet import Process, ROOT

HOST = "quotes.example"
SERVICES = [("catalogue", 4, 2), ("orders", 3, 2)]
METRICS_PORT = 9464  # of every instance, as the templates have it


def render(template, fields):
    """Renders a template in deploy/ as the platform does.

    {{a.b}} is replaced by a value, a number in the path being a list index; {{a|json}} is replaced
    by the value as JSON. Values other than strings are always rendered as JSON.
    """

    def value(match):
        path, _, output_format = match.group(1).partition("|")
        current = fields
        for part in path.split("."):
            current = current[int(part)] if isinstance(current, list) else current[part]
        if output_format == "json" or not isinstance(current, str):
            return json.dumps(current)
        return current

    with open(os.path.join(ROOT, "deploy", template)) as file:
        return re.sub(r"\{\{([^}]+)\}\}", value, file.read())


def document(version, routes=(("/lookup/", "safe", "catalogue"), ("/book/", "unsafe", "orders"))):
    """A complete configuration document in the platform's format."""
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
    """Control members, entries and stand-in targets, all on the loopback interface."""

    def __init__(self, base=400, controls=3, entries=2):
        self.base = base
        self.build = os.environ.get("KUMQUAT_BUILD", os.path.join(ROOT, "build"))
        self.folder = tempfile.mkdtemp(prefix="kumquat-platform-")
        self.control_addresses = [f"127.0.0.1:{7101 + base + i}" for i in range(controls)]
        self.caller_addresses = [f"127.0.0.1:{8001 + base + i}" for i in range(entries)]
        self.ready_addresses = [f"127.0.0.1:{9001 + base + i}" for i in range(entries)]
        self.admin_address = f"127.0.0.1:{9901 + base}"
        self.first_target_port = 20000 + 4 * base
        self.processes = {}
        self.request_count = 0
        self.claim = AddressClaim(self.addresses())

    def addresses(self):
        """All addresses that the processes of start() listen on."""
        addresses = [*self.control_addresses, *self.caller_addresses, *self.ready_addresses,
                     self.admin_address]
        names = [f"control-{i}" for i in range(len(self.control_addresses))]
        names += [f"entry-{i}" for i in range(len(self.caller_addresses))]
        for name in names:
            for port in (METRICS_PORT, self.internal_port(name)):
                addresses.append(f"{self.loopback_address(name)}:{port}")
        targets = sum(count for _, count, _ in SERVICES)
        return addresses + [f"127.0.0.1:{self.first_target_port + i}" for i in range(targets)]

    def template_fields(self, name, first_start):
        return {"NodeName": name, "Zone": "zone-" + name[-1],
                "SeedNodes": self.control_addresses[:3],
                "IpAddress": self.loopback_address(name),
                "InternalPortRange": [self.internal_port(name)],
                "Bootstrap": first_start, "FaultTolerance": {"Machines": 1}, "Heartbeat": "1500ms",
                "DataDir": os.path.join(self.folder, name + ".data"),
                "Bounds": {"RetryBudgetRatio": 0.2, "BudgetSlack": 64, "Grace": "6s"},
                "Limits": {"LinkMbps": 1000.0}}

    def loopback_address(self, name):
        """A separate loopback address for each process: some ports are the same on all instances."""
        return f"127.0.{1 if name.startswith('control') else 2}.{10 + int(name.split('-')[1])}"

    def internal_port(self, name):
        """A separate internal port for each process; a deployment has one for each instance."""
        return 9301 + self.base + int(name.split('-')[1])

    def render_settings(self, template, fields):
        """The settings of a process; a subclass may add to them."""
        return render(template, fields)

    def rewrite_settings(self, name, template, seeds):
        """Renders the settings of a running entry again with other seed nodes."""
        i = int(name[-1])
        listen = {"Front": self.caller_addresses[i], "Ready": self.ready_addresses[i]}
        fields = dict(self.template_fields(name, False), ListenAddresses=listen, SeedNodes=seeds)
        with open(os.path.join(self.folder, name + ".json"), "w") as file:
            file.write(render(template, fields))

    def launch(self, program, template, name, listen, first_start):
        fields = dict(self.template_fields(name, first_start), ListenAddresses=listen)
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            file.write(self.render_settings(template, fields))
        self.processes[name] = Process(
            name, [os.path.join(self.build, program), "--settings", path], self.folder)

    def start_control(self, i, first_start=False):
        self.launch("kumquat-control", "control.json", f"control-{i}",
                    {"Control": self.control_addresses[i]}, first_start)

    def start_entry(self, i, first_start=False):
        self.launch("kumquat-entry", "entry.json", f"entry-{i}",
                    {"Front": self.caller_addresses[i], "Ready": self.ready_addresses[i]},
                    first_start)

    def start(self):
        for i in range(len(self.control_addresses)):
            self.start_control(i, True)
        for i in range(len(self.caller_addresses)):
            self.start_entry(i, True)
        services = ",".join(f"{name}:{count}:{slots}" for name, count, slots in SERVICES)
        self.processes["standin"] = Process("standin", [
            os.path.join(self.build, "kumquat-standin"), "--platform", "--services", services,
            "--entries", ",".join(self.control_addresses), "--admin", self.admin_address,
            "--first_port", str(self.first_target_port), "--work_ms", "10", "--lease_ms", "1500"],
            self.folder)
        self.put_document(document(1))
        wait_until(self.all_entries_serve, 20, "all entries to serve", self.processes.values())

    def stop(self):
        for process in self.processes.values():
            process.stop()
        self.claim.release()
        shutil.rmtree(self.folder, ignore_errors=True)

    def wipe_member(self, i):
        """Kills a control member, deletes its data and restarts it at the same address."""
        self.processes[f"control-{i}"].kill()
        shutil.rmtree(os.path.join(self.folder, f"control-{i}.data"))
        self.start_control(i)

    # Requests.

    def call(self, address, method, path, body=None, headers=None, timeout=5):
        connection = http.client.HTTPConnection(address, timeout=timeout)
        try:
            connection.request(method, path, body, headers or {})
            answer = connection.getresponse()
            return answer.status, dict(answer.getheaders()), answer.read()
        finally:
            connection.close()

    def request(self, entry, path, method="GET", body=None, extra_headers=None):
        """Sends a caller's request; returns status, headers, body and request ID."""
        self.request_count += 1
        request_id = f"{self.request_count:016x}"
        headers = {"Host": HOST, "Kumquatdeal-Request-Id": request_id,
                   "Kumquatdeal-Deadline-Ms": "3000", **(extra_headers or {})}
        status, got, data = self.call(self.caller_addresses[entry], method, path, body, headers)
        return status, got, data, request_id

    def all_entries_serve(self):
        return all(self.request(i, path, method)[0] == 200
                   for i in range(len(self.caller_addresses))
                   for path, method in (("/lookup/x", "GET"), ("/book/x", "POST")))

    def try_put_document(self, value, member=0):
        """Sends a document to a member; returns the HTTP status, or 0 without a connection."""
        body = value if isinstance(value, (str, bytes)) else json.dumps(value)
        try:
            return self.call(self.control_addresses[member], "PUT", "/kumquat/v1/document", body)[0]
        except OSError:
            return 0

    def put_document(self, value, seconds=20):
        """Sends a document to the members in turn until one accepts it."""
        end = time.monotonic() + seconds
        member = 0
        while time.monotonic() < end:
            if self.try_put_document(value, member % len(self.control_addresses)) == 200:
                return
            member += 1
            time.sleep(0.1)
        raise RuntimeError("no member accepted the document")

    def read_document(self, member):
        """The newest document that a member can confirm, or None."""
        try:
            status, _, data = self.call(self.control_addresses[member], "GET",
                                        "/kumquat/v1/document")
        except OSError:
            return None
        return json.loads(data) if status == 200 else None

    def metric(self, address, name):
        """The sum of a metric over all its label values."""
        text = self.call(address, "GET", "/kumquat/v1/metrics")[2].decode()
        lines = [line for line in text.splitlines() if re.match(name + r"[{ ]", line)]
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines)

    def change_behaviour(self, targets, **changes):
        status, _, data = self.call(self.admin_address, "POST", "/behaviour/" + targets,
                                    json.dumps(changes))
        if status != 200:
            raise ValueError(f"kumquat-standin refused {changes}: {data.decode()}")

    def standin_report(self):
        return json.loads(self.call(self.admin_address, "GET", "/report")[2])


class BookingCaller(threading.Thread):
    """Sends bookings one after another until finish(); records request ID and status of each.

    A request without a response is recorded as (None, 0).
    """

    def __init__(self, fleet, entry, path="/book/x"):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.entry = entry
        self.path = path
        self.results = []
        self.stop_event = threading.Event()
        self.start()

    def run(self):
        while not self.stop_event.is_set():
            try:
                status, _, _, request_id = self.fleet.request(self.entry, self.path, "POST", b"b")
                self.results.append((request_id, status))
            except OSError:
                self.results.append((None, 0))
                time.sleep(0.02)

    def finish(self):
        self.stop_event.set()
        self.join(10)
        return self.results
