"""Process tests of documents that are sent again before their first copy is in force, and of the
lowest version."""

import json
import os
import signal
import threading
import unittest

from platform_fleet import PlatformFleet, document
from support import wait_until

DOCUMENT_PATH = "/kumquat/v1/document"
DUMP_PATH = "/kumquat/v1/dump"
COPIES = 8


class MemberFleet(PlatformFleet):
    def loopback_address(self, name):
        return f"127.0.39.{10 + int(name.split('-')[1])}"


class ResentDocuments(unittest.TestCase):
    def setUp(self):
        self.fleet = MemberFleet(base=1760, entries=0)
        self.addCleanup(self.fleet.stop)
        for member in range(3):
            self.fleet.start_control(member, True)

    def call(self, member, method, path, data=None, timeout=2.0):
        try:
            status, _, body = self.fleet.call(self.fleet.control_addresses[member], method, path, data,
                                              timeout=timeout)
            return status, body
        except OSError:
            return 0, b""

    def put(self, member, data, timeout=2.0):
        return self.call(member, "PUT", DOCUMENT_PATH, data, timeout)[0]

    def dump(self, member):
        return json.loads(self.call(member, "GET", DUMP_PATH)[1])

    def test_the_lowest_version_is_in_force_once_confirmed(self):
        text = json.dumps(document(0)).encode()
        wait_until(lambda: self.put(0, text) == 200, 10, "version 0 to be confirmed")
        for member in range(3):
            wait_until(lambda m=member: self.call(m, "GET", DOCUMENT_PATH) == (200, text), 5,
                       "version 0 to be read")

    def test_copies_of_an_uncommitted_document_do_not_lengthen_the_log(self):
        first = json.dumps(document(1)).encode()
        wait_until(lambda: self.put(0, first) == 200, 10, "the first document")
        addresses = self.fleet.control_addresses
        leader = addresses.index(self.dump(0)["leader"])
        followers = [member for member in range(3) if member != leader]
        wait_until(lambda: self.dump(leader)["lastIndex"] == self.dump(leader)["committed"], 5,
                   "all to be committed")
        before = self.dump(leader)
        for member in followers:
            self.signal(member, signal.SIGSTOP)
        second = json.dumps(document(2)).encode()
        statuses = []
        threads = [threading.Thread(target=lambda: statuses.append(self.put(leader, second, 5.0)))
                   for _ in range(COPIES)]
        for thread in threads:
            thread.start()
        wait_until(lambda: self.dump(leader)["lastIndex"] > before["lastIndex"], 2, "the proposal")
        for _ in range(COPIES):
            self.put(leader, second, 0.02)  # its sender doesn't wait for the response
        after = self.dump(leader)
        for member in followers:
            self.signal(member, signal.SIGCONT)
        for thread in threads:
            thread.join()
        self.assertEqual(after["term"], before["term"])
        self.assertEqual(after["lastIndex"], before["lastIndex"] + 1)
        self.assertLessEqual(set(statuses), {200, 503})
        wait_until(lambda: self.put(leader, second) == 200, 10, "the document to be confirmed")
        for member in range(3):
            wait_until(lambda m=member: self.call(m, "GET", DOCUMENT_PATH) == (200, second), 5,
                       "the document to be read")

    def signal(self, member, number):
        os.kill(self.fleet.processes[f"control-{member}"].pid, number)


if __name__ == "__main__":
    unittest.main()
