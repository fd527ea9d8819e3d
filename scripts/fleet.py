"""Runs a local fleet of kumquatdeal processes: a control group, entries and stand-in targets.

Used by the demo, the process tests and the measurements. The fleet signals only the processes that
it started, by process ID. All addresses are on the loopback interface.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

from address_claim import AddressClaim

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

PROFILES = {
    "clearline": {
        "domains": ["khomas-1", "khomas-2", "khomas-3"],
        "services": [("catalogue", 20, 2), ("orders", 10, 2), ("drawings", 6, 2)],
        "mix": "catalogue:lookup:0.80:10,orders:booking:0.12:15,drawings:upload:0.08:20",
        "rate": 900,
    },
    "authority": {
        "domains": ["muscat-1", "muscat-2", "muscat-3"],
        "services": [("ledger", 20, 4), ("dispatch", 10, 4), ("calibrate", 6, 4)],
        "mix": "ledger:lookup:0.80:10,dispatch:booking:0.12:15,calibrate:upload:0.08:20",
        "rate": 1200,
    },
}


def wait_until(check, seconds, what, running=()):
    """Polls check() until it is true; raises RuntimeError naming `what` after `seconds`.

    Raises at once if one of the processes in `running` has ended.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        done = succeeds(check)
        # Also after a success, which may be the answer of another process at the same address.
        check_running(running)
        if done:
            return
        time.sleep(0.05)
    raise RuntimeError("timed out waiting for " + what)


def succeeds(check):
    """Whether check() is true; an error that a fleet causes while it starts counts as false."""
    try:
        return check()
    except (OSError, ValueError, KeyError, RuntimeError, subprocess.SubprocessError):
        return False


def check_running(processes):
    """Raises RuntimeError if one of the processes has ended, with the last line of its output."""
    for process in processes:
        code = process.popen.poll()
        if code is not None:
            raise RuntimeError(f"{process.name} ended with code {code}: {process.last_line()}")


class TcpRelay(threading.Thread):
    """Forwards TCP connections. While `silent` is set, it reads data and drops it."""

    def __init__(self, port, target_port):
        super().__init__(daemon=True)
        self.target_port = target_port
        self.silent = False
        self.listener = socket.create_server(("127.0.0.1", port), backlog=256)
        self.start()

    def run(self):
        while True:
            caller, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(caller,), daemon=True).start()

    def serve(self, caller):
        try:
            target = socket.create_connection(("127.0.0.1", self.target_port), timeout=2)
        except OSError:
            caller.close()
            return
        target.settimeout(None)
        threading.Thread(target=self.forward, args=(target, caller), daemon=True).start()
        self.forward(caller, target)

    def forward(self, source, sink):
        try:
            while data := source.recv(65536):
                if not self.silent:
                    sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Process:
    """A child process whose output is appended to a log file in the fleet's folder."""

    def __init__(self, name, command, folder):
        self.name = name
        self.command = command
        self.log_path = os.path.join(folder, name + ".log")
        self.popen = None
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen(self.command, stdout=log, stderr=log)

    @property
    def pid(self):
        return self.popen.pid

    def signal(self, number):
        os.kill(self.pid, number)

    def last_line(self):
        with open(self.log_path, errors="replace") as log:
            lines = log.read().splitlines()
        return lines[-1] if lines else "no output"

    def stop(self, seconds=20):
        """Terminates the process, kills it after `seconds` and returns its exit code."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
            try:
                self.popen.wait(seconds)
            except subprocess.TimeoutExpired:
                self.kill()
        return self.popen.returncode

    def kill(self):
        if self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    def cpu_seconds(self):
        with open(f"/proc/{self.pid}/stat") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self):
        with open(f"/proc/{self.pid}/status") as status:
            for line in status:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0.0


class Fleet:
    """A control group, entries and one kumquat-standin process that runs all targets."""

    def __init__(self, profile="clearline", entries=6, controls=3, build=None, base=0,
                 services=None, threads=1, lease_ms=5000, work_ms=10, configuration=None,
                 control_settings=None, relay=False, seed=1):
        self.profile = PROFILES[profile]
        self.services = services or self.profile["services"]
        self.build = build or os.environ.get("KUMQUAT_BUILD", os.path.join(ROOT, "build"))
        self.folder = tempfile.mkdtemp(prefix="kumquat-fleet-")
        self.configuration = configuration or os.path.join(ROOT, "examples", profile,
                                                           "configuration")
        self.base = base
        self.entry_count = entries
        self.control_count = controls
        self.threads = threads
        self.lease_ms = lease_ms
        self.work_ms = work_ms
        self.seed = seed
        self.control_settings = control_settings or {}
        self.control_processes = []
        self.entry_processes = []
        self.standin_process = None
        self.key_file = os.path.join(self.folder, "cluster.key")
        self.claim = AddressClaim(self.addresses(relay))
        # With relays, all traffic to a control member passes through a relay that can drop it.
        self.relays = [TcpRelay(7101 + base + i, self.relayed_port(i))
                       for i in range(controls)] if relay else []
        with open(self.key_file, "w") as file:
            file.write("local-fleet-" + os.urandom(16).hex() + "\n")

    # Addresses.

    def control_address(self, i):
        return f"127.0.0.1:{7101 + self.base + i}"

    def relayed_port(self, i):
        """Where a control member listens that has a relay at its address."""
        return 7151 + self.base + i

    def caller_address(self, i):
        return f"127.0.0.1:{8001 + self.base + i}"

    def internal_address(self, i):
        return f"127.0.0.1:{9001 + self.base + i}"

    def gossip_address(self, i):
        return f"127.0.0.1:{9201 + self.base + i}"

    @property
    def admin_address(self):
        return f"127.0.0.1:{9901 + self.base}"

    @property
    def first_target_port(self):
        return 20000 + 4 * self.base

    def addresses(self, relay):
        """All addresses that the fleet's processes and relays listen on."""
        members = range(self.control_count)
        addresses = [self.control_address(i) for i in members] + [self.admin_address]
        for i in range(self.entry_count):
            addresses += [self.caller_address(i), self.internal_address(i), self.gossip_address(i)]
        targets = sum(count for _, count, _ in self.services)
        ports = list(range(self.first_target_port, self.first_target_port + targets))
        if relay:
            ports += [self.relayed_port(i) for i in members]
        return addresses + [f"127.0.0.1:{port}" for port in ports]

    @property
    def control_addresses(self):
        """Addresses of the control members, comma-separated."""
        return ",".join(self.control_address(i) for i in range(self.control_count))

    @property
    def caller_addresses(self):
        """Caller addresses of the entries, comma-separated."""
        return ",".join(self.caller_address(i) for i in range(self.entry_count))

    # Start and stop.

    def program(self, name):
        return os.path.join(self.build, name)

    def write_settings(self, name, settings):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file, indent=2)
        return path

    def start_control(self, i):
        domains = self.profile["domains"]
        settings = {
            "name": f"control-{i}",
            "failureDomain": domains[i % len(domains)],
            "dataFolder": os.path.join(self.folder, f"control-{i}.data"),
            "members": [{"name": f"control-{j}", "address": self.control_address(j)}
                        for j in range(self.control_count)],
            "clusterKeyFile": self.key_file,
        }
        if self.relays:
            settings["listenAddress"] = f"127.0.0.1:{self.relayed_port(i)}"
        settings.update(self.control_settings)
        path = self.write_settings(f"control-{i}", settings)
        return Process(f"control-{i}", [self.program("kumquat-control"), "--settings", path],
                       self.folder)

    def start_entry(self, i):
        domains = self.profile["domains"]
        peers = [self.gossip_address(j) for j in range(self.entry_count) if j != i]
        settings = {
            "name": f"entry-{i}",
            "failureDomain": domains[i % len(domains)],
            "callerAddress": self.caller_address(i),
            "internalAddress": self.internal_address(i),
            "gossipAddress": self.gossip_address(i),
            "gossipPeers": peers,
            "controlMembers": [self.control_address(j) for j in range(self.control_count)],
            "clusterKeyFile": self.key_file,
            "threads": self.threads,
        }
        path = self.write_settings(f"entry-{i}", settings)
        return Process(f"entry-{i}", [self.program("kumquat-entry"), "--settings", path],
                       self.folder)

    def start_standin(self):
        services = ",".join(f"{name}:{count}:{slots}" for name, count, slots in self.services)
        internals = ",".join(self.internal_address(i) for i in range(self.entry_count))
        return Process("standin", [
            self.program("kumquat-standin"), "--services", services, "--entries", internals,
            "--domains", ",".join(self.profile["domains"]), "--admin", self.admin_address,
            "--first_port", str(self.first_target_port), "--lease_ms", str(self.lease_ms),
            "--work_ms", str(self.work_ms), "--seed", str(self.seed)], self.folder)

    def start(self):
        self.control_processes = [self.start_control(i) for i in range(self.control_count)]
        wait_until(lambda: self.dump(self.control_address(0)), 10, "the first control member",
                   self.control_processes)
        self.ctl("form", control=self.control_address(0))
        wait_until(self.all_members_are_voters, 15, "all control members to be voters",
                   self.control_processes)
        self.ctl("apply", self.configuration)
        self.entry_processes = [self.start_entry(i) for i in range(self.entry_count)]
        self.standin_process = self.start_standin()
        wait_until(self.entries_ready, 20, "all entries to know all targets", self.processes())
        return self

    def processes(self):
        standin = [self.standin_process] if self.standin_process else []
        return self.entry_processes + standin + self.control_processes

    def stop(self):
        """Terminates all processes; returns their exit codes by name."""
        for process in self.processes():
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.terminate()
        codes = {process.name: process.stop() for process in self.processes()}
        self.claim.release()
        return codes

    def __enter__(self):
        try:
            return self.start()
        except Exception:
            self.stop()
            raise

    def __exit__(self, *_):
        self.stop()

    # Queries.

    def get(self, address, path, timeout=2):
        with urllib.request.urlopen(f"http://{address}{path}", timeout=timeout) as answer:
            return answer.read().decode()

    def dump(self, address):
        return json.loads(self.get(address, "/kumquat/v1/dump"))

    def metrics(self, address):
        values = {}
        for line in self.get(address, "/kumquat/v1/metrics").splitlines():
            if line.startswith("#"):
                continue
            name, value = line.rsplit(" ", 1)
            values[name] = float(value)
        return values

    def standin_report(self):
        """What the stand-in targets counted and executed."""
        return json.loads(self.get(self.admin_address, "/report"))

    def change_behaviour(self, targets, **changes):
        """Changes the targets whose names begin with `targets`; returns how many there are."""
        request = urllib.request.Request(f"http://{self.admin_address}/behaviour/{targets}",
                                         data=json.dumps(changes).encode(), method="POST")
        with urllib.request.urlopen(request, timeout=5) as answer:
            return json.loads(answer.read().decode())["changed"]

    def all_members_are_voters(self):
        """True when each member sees itself as a voter and the leader sees a voter per member."""
        dumps = [self.dump(self.control_address(i)) for i in range(self.control_count)]
        voters = [m for m in self.dump(self.leader_address())["members"] if m["voter"]]
        return all(d["voter"] for d in dumps) and len(voters) == self.control_count

    def leader_index(self):
        """The index of the control member that is the leader."""
        for i in range(self.control_count):
            try:
                if self.dump(self.control_address(i))["role"] == "leader":
                    return i
            except OSError:
                continue
        raise RuntimeError("no control member is the leader")

    def leader_address(self):
        return self.control_address(self.leader_index())

    def entries_ready(self):
        """True when each entry is ready and knows all targets as ready and all other entries."""
        wanted = sum(count for _, count, _ in self.services)
        for i in range(self.entry_count):
            dump = self.dump(self.internal_address(i))
            ready = sum(t["state"] == "ready" for s in dump["services"] for t in s["targets"])
            if not dump["ready"] or ready < wanted or dump["livePeers"] < self.entry_count - 1:
                return False
        return True

    def ctl(self, *words, control=None, check=True):
        """Runs kumquatctl; raises RuntimeError on a non-zero exit code if `check` is set."""
        command = [self.program("kumquatctl"), "--control", control or self.control_addresses,
                   "--key", self.key_file, *words]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60)
        if check and done.returncode != 0:
            raise RuntimeError(f"{' '.join(command)}: {done.stdout} {done.stderr}")
        return done

    def load_command(self, **flags):
        flags.setdefault("entries", self.caller_addresses)
        flags.setdefault("standin", self.admin_address)
        return [self.program("kumquat-load")] + [f"--{k}={v}" for k, v in flags.items()]

    def load(self, **flags):
        """Runs kumquat-load; returns its result and whether its checks and audit passed."""
        done = subprocess.run(self.load_command(json="true", **flags), capture_output=True,
                              text=True, timeout=600)
        return json.loads(done.stdout), done.returncode == 0

    def start_load(self, **flags):
        return subprocess.Popen(self.load_command(json="true", **flags), stdout=subprocess.PIPE,
                                text=True)


def finish_load(handle):
    """Waits for a load begun with start_load(); returns the same as Fleet.load()."""
    out, _ = handle.communicate(timeout=600)
    return json.loads(out), handle.returncode == 0


if __name__ == "__main__":
    sys.exit("fleet.py is a module and cannot be run; use scripts/demo")
