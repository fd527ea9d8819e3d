"""Process tests with hundreds of large documents: members that start again within their memory, disks
lost in turn, and logs of versions that did not compact them by size."""

import http.client
import json
import os
import re
import struct
import threading
import time
import unittest
import zlib

from platform_fleet import PlatformFleet, document
from support import wait_until

ROUTES = 1_400
MEMORY_MB = 256  # of a member's instance
MEMORY_SHARE_MB = MEMORY_MB // 4
HELD_MB = 4  # of a member's disk: four times the larger of the document and 1 MiB
CATCH_UP_S = 4.0
RECOVER_S = 15.0


def large_text(version):
    """A document of 245 KB; only its version differs from that of others."""
    routes = [(f"/pa{i:05d}/", "safe", "catalogue") for i in range(ROUTES)]
    if not hasattr(large_text, "text"):
        large_text.text = json.dumps(document(0, routes), separators=(",", ":"))
    return large_text.text.replace('"00000000"', f'"{version:08x}"', 1)


# The stored formats: msgpack in frames of length and checksum.

def packed(value):
    """msgpack of integers, texts, lists and booleans."""
    if isinstance(value, bool):
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        return b"\xcf" + struct.pack(">Q", value)
    if isinstance(value, (str, bytes)):
        data = value if isinstance(value, bytes) else value.encode()
        return b"\xdb" + struct.pack(">I", len(data)) + data
    return b"\xdd" + struct.pack(">I", len(value)) + b"".join(packed(item) for item in value)


def framed(value):
    data = packed(value)
    return struct.pack("<II", len(data), zlib.crc32(data)) + data


def document_command(version):
    return packed([3, 0, 0, ["", 0, [], []], [0, "", "", 0, 0, [0, [], ""]],
                   [version, large_text(version)]])


class MemoryLimit(threading.Thread):
    """Ends a member whose peak resident memory exceeds the limit, as the platform does."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.peaks = {}
        self.ended = []
        self.stopped = threading.Event()
        self.start()

    def run(self):
        while not self.stopped.wait(0.005):
            for name, process in list(self.fleet.processes.items()):
                peak = peak_mb(process)
                self.peaks[name] = max(self.peaks.get(name, 0), peak)
                if peak > MEMORY_MB:
                    self.ended.append((name, peak))
                    process.kill()

    def finish(self):
        self.stopped.set()
        self.join(5)


def peak_mb(process):
    try:
        with open(f"/proc/{process.pid}/status") as file:
            match = re.search(r"VmHWM:\s+(\d+) kB", file.read())
    except (OSError, AttributeError):
        return 0
    return int(match.group(1)) / 1024 if match else 0


class LargeFleet(PlatformFleet):
    def loopback_address(self, name):
        """Its own, so that the metrics' fixed port is free beside other fleets."""
        return super().loopback_address(name).replace("127.0.", "127.30.")


class LargeDocuments(unittest.TestCase):
    def setUp(self):
        self.fleet = LargeFleet(base=3000, entries=0)
        self.addCleanup(self.fleet.stop)
        self.limit = MemoryLimit(self.fleet)
        self.addCleanup(self.limit.finish)

    def start_members(self, first_start):
        for member in range(3):
            self.fleet.start_control(member, first_start)

    def put(self, version, seconds=RECOVER_S):
        """Sends a document to the members in turn until one has confirmed it."""
        end = time.monotonic() + seconds
        attempt = 0
        while time.monotonic() < end:
            if self.put_once(version, attempt % 3) == 200:
                return True
            attempt += 1
            time.sleep(0.05)
        return False

    def put_once(self, version, member):
        try:
            return self.fleet.call(self.fleet.control_addresses[member], "PUT",
                                   "/kumquat/v1/document", large_text(version), timeout=1)[0]
        except (OSError, http.client.HTTPException):
            return 0

    def newest_read(self):
        versions = [0]
        for member in range(3):
            try:
                value = self.fleet.read_document(member)
            except http.client.HTTPException:
                value = None
            versions.append(int(value["Version"], 16) if value else 0)
        return max(versions)

    def send_documents(self, count):
        for version in range(1, count + 1):
            self.assertTrue(self.put(version), f"document {version} was not confirmed")

    def disk_mb(self, member):
        folder = os.path.join(self.fleet.folder, f"control-{member}.data")
        return sum(os.path.getsize(os.path.join(folder, name))
                   for name in os.listdir(folder) if not name.endswith(".new")) / 1e6

    def check_held(self):
        for member in range(3):
            self.assertLess(self.disk_mb(member), HELD_MB)
        self.assertEqual(self.limit.ended, [])
        for name, peak in self.limit.peaks.items():
            self.assertLess(peak, MEMORY_SHARE_MB, name)

    def report(self, what):
        disks = [round(self.disk_mb(member), 2) for member in range(3)]
        peaks = {name: round(peak, 1) for name, peak in self.limit.peaks.items()}
        print(f"{what}: disks {disks} MB, peak memory {peaks} MB")

    def test_members_start_within_their_memory_after_many_documents(self):
        self.start_members(True)
        self.send_documents(300)
        for process in self.fleet.processes.values():
            process.kill()
        begin = time.monotonic()
        self.start_members(False)
        wait_until(lambda: self.newest_read() == 300, RECOVER_S, "the newest document")
        self.report(f"read back {time.monotonic() - begin:.2f} s after the start")
        self.check_held()

    def test_group_survives_two_disks_lost_in_turn(self):
        self.start_members(True)
        self.send_documents(400)
        self.fleet.wipe_member(0)
        time.sleep(CATCH_UP_S)
        self.fleet.wipe_member(1)
        wait_until(lambda: self.newest_read() == 400, RECOVER_S, "the newest document")
        self.assertTrue(self.put(401))
        wait_until(lambda: self.newest_read() == 401, RECOVER_S, "the document sent last")
        self.report("two disks lost")
        self.check_held()

    def write_uncompacted_log(self, count):
        """The files of members of a version that compacted its log by the number of entries only."""
        members = [[11 + i, address, address, True, ""]
                   for i, address in enumerate(self.fleet.control_addresses)]
        entries = b"".join(framed([1, [0, 0, 0], [1 + version, 1, 1, document_command(version)]])
                           for version in range(1, count + 1))
        for i in range(3):
            folder = os.path.join(self.fleet.folder, f"control-{i}.data")
            os.makedirs(folder)
            contents = {"identity": framed(11 + i), "snapshot": framed([1, 1, 1, members, b""]),
                        "log": framed([0, [1, 1, 0], [0, 0, 0, ""]]) + entries}
            for name, content in contents.items():
                with open(os.path.join(folder, name), "wb") as file:
                    file.write(content)

    def test_uncompacted_logs_of_earlier_versions_load_within_the_memory(self):
        self.write_uncompacted_log(400)
        self.assertGreater(self.disk_mb(0), 95)
        begin = time.monotonic()
        self.start_members(False)
        wait_until(lambda: self.newest_read() == 400, RECOVER_S, "the newest document")
        self.report(f"read back {time.monotonic() - begin:.2f} s after the start")
        self.assertTrue(self.put(401))
        wait_until(lambda: all(self.disk_mb(i) < HELD_MB for i in range(3)), 5, "compacted logs")
        self.assertEqual(self.limit.ended, [])


if __name__ == "__main__":
    unittest.main(verbosity=2)
