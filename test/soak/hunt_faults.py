"""The faults that configuration_hunt.py injects into a fleet."""

import random
import signal
import time


class Faults:
    """Methods that each inject one fault and return when the instance runs again."""

    def fault_kill_entry(self, chooser):
        i = chooser.randrange(len(self.lifetimes))
        with self.fault(i, "kill_entry"):
            self.fleet.processes[f"entry-{i}"].kill()
            time.sleep(chooser.uniform(0.1, 2.0))
            self.lifetimes[i] += 1
            self.fleet.start_entry(i)

    def fault_freeze_entry(self, chooser):
        i = chooser.randrange(len(self.lifetimes))
        with self.fault(i, "freeze_entry"):
            self.freeze(f"entry-{i}", chooser.uniform(0.3, 6.0))

    def fault_kill_member(self, chooser):
        i = chooser.choice(self.fleet.live_members)
        with self.fault("core", f"kill_member {i}"):
            self.fleet.processes[f"control-{i}"].kill()
            time.sleep(chooser.uniform(0.1, 2.5))
            self.fleet.start_control(i)

    def fault_stop_member(self, chooser):
        i = chooser.choice(self.fleet.live_members)
        with self.fault("core", f"stop_member {i}"):
            self.fleet.processes[f"control-{i}"].stop(6)
            time.sleep(chooser.uniform(0.1, 1.0))
            self.fleet.start_control(i)

    def fault_freeze_member(self, chooser):
        i = chooser.choice(self.fleet.live_members)
        with self.fault("core", f"freeze_member {i}"):
            self.freeze(f"control-{i}", chooser.uniform(0.3, 6.0))

    def fault_lose_disk(self, chooser):
        i = chooser.choice(self.fleet.live_members)
        with self.fault("core", f"lose_disk {i}"):
            self.fleet.wipe_member(i)
            time.sleep(4.0)  # a second disk may be lost only after the catch-up time

    def fault_kill_all_members(self, _):
        with self.fault("core", "kill_all"):
            for i in self.fleet.live_members:
                self.fleet.processes[f"control-{i}"].kill()
            time.sleep(0.5)
            for i in self.fleet.live_members:
                self.fleet.start_control(i)

    def fault_seeds(self, chooser):
        i = chooser.randrange(len(self.lifetimes))
        live = [self.fleet.control_addresses[j] for j in self.fleet.live_members]
        self.fleet.write_entry_seeds(i, chooser.sample(live, chooser.randrange(1, len(live) + 1)))
        if chooser.random() < 0.5:
            self.fleet.processes[f"entry-{i}"].signal(signal.SIGHUP)

    def fault_replace_member(self, chooser):
        old = chooser.choice(self.fleet.live_members)
        new = len(self.fleet.control_addresses)
        port = 7101 + self.fleet.base + new
        with self.fault("core", f"replace {old} by {new}"):
            self.fleet.control_addresses.append(f"127.0.0.1:{port}")
            self.fleet.start_control(new)
            self.fleet.live_members.append(new)
            time.sleep(chooser.uniform(4.0, 6.0))
            self.fleet.live_members.remove(old)
            self.fleet.processes[f"control-{old}"].stop(1)
            self.fleet.seeds = [self.fleet.control_addresses[j] for j in self.fleet.live_members]
            time.sleep(1.0)

    def freeze(self, name, seconds):
        process = self.fleet.processes[name]
        process.signal(signal.SIGSTOP)
        time.sleep(seconds)
        process.signal(signal.SIGCONT)

    def fault(self, scope, what):
        hunt = self

        class Span:
            def __enter__(self):
                self.record = hunt.history.begin_fault(scope, what)

            def __exit__(self, *_):
                self.record[1] = time.monotonic()

        return Span()

    def inject_faults(self, seed, names):
        chooser = random.Random(seed)
        while not self.calm.is_set():
            name = chooser.choice(names)
            self.fault_counts[name] = self.fault_counts.get(name, 0) + 1
            getattr(self, "fault_" + name)(chooser)
            time.sleep(chooser.choice([0.1, 1.0, 3.5, 6.0]) * chooser.uniform(0.5, 1.2))

    def throttle_members(self):
        """Gives each member only a part of a core, in slices of a tenth of a second."""
        period = 0.1
        while not self.over.is_set():
            names = [f"control-{i}" for i in list(self.fleet.live_members)]
            self.signal_all(names, signal.SIGSTOP)
            time.sleep(period * (1 - self.options.core_share))
            self.signal_all(names, signal.SIGCONT)
            time.sleep(period * self.options.core_share)

    def signal_all(self, names, number):
        for name in names:
            process = self.fleet.processes.get(name)
            if process and process.popen.poll() is None:
                process.signal(number)
