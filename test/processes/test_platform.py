"""Process tests in the platform's formats: requests, documents, departures and lost members."""

import json
import os
import signal
import socket
import subprocess
import threading
import unittest

from platform_fleet import BookingCaller, PlatformFleet, document
from support import wait_until

# Statuses that assure the caller that its request was not executed.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Platform(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def check_runs(self, results):
        """Checks that no request ran twice and that none ran whose status says it did not."""
        runs = self.fleet.standin_report()["runs"]
        for request_id, status in results:
            if request_id:
                self.assertLessEqual(runs.get(request_id, 0), 1)
                if status in NOT_RUN_STATUSES:
                    self.assertEqual(runs.get(request_id, 0), 0)

    def test_responses_of_targets_are_passed_on(self):
        status, headers, data, request_id = self.fleet.request(0, "/lookup/stock?size=70000")
        self.assertEqual(status, 200)
        self.assertEqual(headers["Kumquatdeal-Request-Id"], request_id)
        self.assertIn("Kumquatdeal-Response-Stamp", headers)
        self.assertEqual(len(data), 70000)
        self.assertEqual(self.fleet.request(1, "/nowhere/x")[0], 404)
        body = b"d" * 300_000
        status, _, data, _ = self.fleet.request(1, "/book/drawing", "POST", body)
        self.assertEqual((status, json.loads(data)["received"]), (200, len(body)))

    def test_the_highest_document_wins_and_invalid_ones_are_refused(self):
        moved = document(5, (("/lookup/", "safe", "catalogue"), ("/fresh/", "safe", "orders")))
        self.fleet.put_document(moved)
        wait_until(lambda: self.fleet.request(0, "/fresh/x")[0] == 200, 4, "the new route")
        self.assertEqual(self.fleet.try_put_document(document(2)), 200)
        self.assertEqual(self.fleet.try_put_document(document(5)), 200)
        self.assertEqual(self.fleet.try_put_document(json.dumps(document(9))[:-40]), 400)
        self.assertEqual(
            self.fleet.try_put_document(document(9, (("/a/", "safe", "nobody"),))), 400)
        for member in range(3):
            self.assertEqual(self.fleet.read_document(member), moved)
        self.assertEqual(self.fleet.request(0, "/book/x", "POST")[0], 404)

    def test_a_long_document_comes_to_each_entry_once(self):
        before = self.fleet.metric(self.fleet.ready_addresses[0],
                                   "kumquat_configuration_fetches_total")
        routes = [(f"/many/{i}/", "safe", "catalogue") for i in range(2000)]
        self.fleet.put_document(document(9, [("/lookup/", "safe", "catalogue")] + routes))
        wait_until(lambda: self.fleet.request(0, "/many/1999/x")[0] == 200, 10, "the last route")
        after = self.fleet.metric(self.fleet.ready_addresses[0],
                                  "kumquat_configuration_fetches_total")
        self.assertEqual(after - before, 1)

    def test_a_changed_settings_file_is_reloaded_with_and_without_a_signal(self):
        for signalled in (True, False):
            self.fleet.rewrite_settings("entry-0", "entry.json",
                                        seeds=self.fleet.control_addresses[:2])
            if signalled:
                self.fleet.processes["entry-0"].signal(signal.SIGHUP)
            wait_until(lambda: self.log_of("entry-0").count('"event":207') >= (1 if signalled else 3),
                       10, "the changed settings to be loaded")
            self.fleet.rewrite_settings("entry-0", "entry.json",
                                        seeds=self.fleet.control_addresses[:3])
            wait_until(lambda: self.log_of("entry-0").count('"event":207') >= (2 if signalled else 4),
                       10, "the original settings to be loaded again")
            self.assertEqual(self.fleet.request(0, "/lookup/x")[0], 200)

    def test_an_invalid_settings_file_leaves_the_old_values(self):
        path = os.path.join(self.fleet.folder, "entry-0.json")
        with open(path, "w") as file:
            file.write("{ broken")
        self.fleet.processes["entry-0"].signal(signal.SIGHUP)
        wait_until(lambda: '"event":208' in self.log_of("entry-0"), 10,
                   "the settings file to be refused")
        self.assertEqual(self.fleet.request(0, "/lookup/x")[0], 200)

    # Guards against settings that the next start would refuse while the process looks healthy.
    def test_a_refused_settings_file_shows_until_it_is_mended(self):
        for name, address in (("entry-0", self.fleet.ready_addresses[0]),
                              ("control-0", self.fleet.control_addresses[0])):
            path = os.path.join(self.fleet.folder, name + ".json")
            with open(path) as file:
                good = file.read()
            for text, rejected in ((good, False), ("{ broken", True), (good, False)):
                with open(path, "w") as file:
                    file.write(text)
                wait_until(lambda: self.fleet.metric(address, "kumquat_settings_rejected")
                           == (1 if rejected else 0), 10, f"{name} to tell rejected={rejected}")
                self.assertEqual(self.dump(address)["settingsRejected"], rejected)
            self.assertIn("kumquat_settings_rejected 0",
                          self.fleet.call(address, "GET", "/kumquat/v1/metrics")[2].decode())

    def dump(self, address):
        """What kumquatctl dump prints."""
        command = [os.path.join(self.fleet.build, "kumquatctl"), "dump", "--address=" + address]
        return json.loads(subprocess.run(command, check=True, capture_output=True,
                                         timeout=10).stdout)

    def log_of(self, name):
        with open(self.fleet.processes[name].log_path) as file:
            return file.read()

    def test_the_limits_of_the_document_apply_to_callers(self):
        limited = document(9)
        limited["Limits"].update(MaxHeaderBytes=2048, MaxBodyBytes=1000, IdleTimeout="400ms")
        self.fleet.put_document(limited)
        long = {"Host": "quotes.example", "X-Long": "h" * 4000}
        wait_until(lambda: self.fleet.call(self.fleet.caller_addresses[0], "GET", "/lookup/x",
                                           headers=long)[0] == 431, 10, "the limit to be in force")
        self.assertEqual(self.fleet.request(0, "/book/x", "POST", b"b" * 2000)[0], 413)
        host, port = self.fleet.caller_addresses[0].split(":")
        with socket.create_connection((host, int(port)), timeout=10) as idle:
            self.assertEqual(idle.recv(1), b"")

    def test_metrics_are_served_on_their_own_address(self):
        self.fleet.request(0, "/lookup/x")
        for name in ("entry-0", "control-0"):
            address = self.fleet.loopback_address(name) + ":9464"
            text = self.fleet.call(address, "GET", "/metrics")[2].decode()
            self.assertIn("# TYPE kumquat_", text)
        text = self.fleet.call(self.fleet.loopback_address("entry-0") + ":9464", "GET",
                               "/metrics")[2]
        self.assertRegex(text.decode(),
                         r'kumquat_request_duration_ms_bucket\{service="catalogue",le="500"\} [1-9]')

    def test_an_acknowledged_departure_ends_new_work(self):
        body = self.fleet.call(self.fleet.admin_address, "GET", "/drain/catalogue-0")
        self.assertEqual(body[0], 200)
        served = self.fleet.standin_report()["targets"]["catalogue-0"]["served"]
        for i in range(60):
            self.assertEqual(self.fleet.request(i % 2, "/lookup/x")[0], 200)
        self.assertEqual(self.fleet.standin_report()["targets"]["catalogue-0"]["served"], served)

    def test_a_retry_reaches_no_target_that_left_meanwhile(self):
        names = [f"catalogue-{i}" for i in range(4)]
        callers = [threading.Thread(target=self.fleet.request, args=(0, "/lookup/x?work=1500000"))
                   for _ in range(8)]
        for caller in callers:
            caller.start()
        wait_until(lambda: self.in_flight(names) >= 6, 10, "the requests to reach targets")
        for name in names[1:]:
            self.assertEqual(
                self.fleet.call(self.fleet.admin_address, "GET", "/drain/" + name)[0], 200)
        busy = self.in_flight(names[1:])
        served = self.served(names[1:])
        # Half of the responses, and of those to load probes, are cut: retries find a target.
        self.fleet.change_behaviour("catalogue", truncateShare=0.5)
        for caller in callers:
            caller.join(20)
        self.assertEqual(self.served(names[1:]), served + busy)

    def in_flight(self, names):
        targets = self.fleet.standin_report()["targets"]
        return sum(targets[name]["inFlight"] for name in names)

    def served(self, names):
        targets = self.fleet.standin_report()["targets"]
        return sum(targets[name]["served"] for name in names)

    def test_a_planned_stop_breaks_no_request(self):
        self.fleet.change_behaviour("orders", meanWorkMs=200)
        callers = [BookingCaller(self.fleet, 0) for _ in range(4)]
        wait_until(lambda: all(len(c.results) > 2 for c in callers), 10, "bookings")
        self.fleet.processes["entry-0"].signal(signal.SIGTERM)
        self.assertEqual(self.fleet.processes["entry-0"].stop(), 0)
        results = [item for caller in callers for item in caller.finish()]
        # Once the listeners are closed, new connections are refused (status 0). No request in
        # progress is broken off.
        log = open(self.fleet.processes["entry-0"].log_path).read()
        self.assertIn('"event":102', log)
        self.check_runs(results)
        self.assertTrue(all(status in (0, 200) + NOT_RUN_STATUSES for _, status in results))

    def test_all_members_killed_at_once_keep_what_they_acknowledged(self):
        self.fleet.put_document(document(7))
        callers = BookingCaller(self.fleet, 1)
        for i in range(3):
            self.fleet.processes[f"control-{i}"].kill()
        for i in range(3):
            self.fleet.start_control(i)
        wait_until(lambda: self.fleet.read_document(0) == document(7), 10, "the document")
        self.fleet.put_document(document(8))
        self.check_runs(callers.finish())

    def test_disks_lost_one_after_another_lose_nothing(self):
        self.fleet.put_document(document(7))
        for lost in range(3):
            self.fleet.wipe_member(lost)
            wait_until(lambda: self.voters() == 3, 15, "the member to be a voter again")
            self.assertEqual(self.fleet.read_document(lost), document(7))

    def voters(self):
        """The number of voters if all members are voters and agree on the voters, otherwise 0."""
        views = []
        for address in self.fleet.control_addresses:
            dump = json.loads(self.fleet.call(address, "GET", "/kumquat/v1/dump")[2])
            views.append(sorted(m["address"] for m in dump["members"] if m["voter"]))
            if not dump["voter"]:
                return 0
        return len(views[0]) if all(view == views[0] for view in views) else 0

    # Guards against a SIGHUP that ends a process which is still reading its settings.
    def test_a_hangup_during_the_start_ends_no_process(self):
        for program in ("kumquat-entry", "kumquat-control"):
            settings = os.path.join(self.fleet.folder, program + ".fifo")
            os.mkfifo(settings)
            process = subprocess.Popen(
                [os.path.join(self.fleet.build, program), "--settings", settings],
                stderr=subprocess.DEVNULL)
            with open(settings, "w") as file:  # returns when the process has begun to read
                process.send_signal(signal.SIGHUP)
                file.write("{ }")
            self.assertEqual(process.wait(10), 2)  # as for any settings that lack a name

    def test_invalid_settings_exit_with_code_2(self):
        path = os.path.join(self.fleet.folder, "bad.json")
        with open(path, "w") as file:
            file.write('{ "name": "x", "controlSeeds": ["nowhere"] }')
        done = subprocess.run([os.path.join(self.fleet.build, "kumquat-entry"), "--settings", path],
                              capture_output=True, text=True, timeout=10)
        self.assertEqual(done.returncode, 2)
        self.assertIn("callerAddress", done.stderr)


if __name__ == "__main__":
    unittest.main()
