"""The control log keeps every manifest; after a kill no member can load it within its memory."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from fleet import CannotRun, Fleet, MemoryLimit, Record, manifest, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = {"control": 256, "entry": 650}  # the site's core and smallest front machines
FIRST_ROUTES = 36
BIG_CONFIG = 420  # the largest `big_config` of the site file
BIG_CONFIGS = 3
CHANGES = 420
GAP_S = 0.16
SENDING_S = 82.0  # at most
LOG_MB = 95  # at least
READ_BACK_S = 25.0  # longer than Recover (15 s) and StableWindow (3 s)
SERVICES = ["ledger", "dispatch", "calibrate"]


def routes(count, version):
    """Routes as long as those of the example in PROTOCOL.md; a change moves some timeouts."""
    for i in range(count):
        timeout = 600 + (version + i) % 200 if i % 7 == 0 else 600
        yield (f"hulo{i % 12:02d}.example", f"r-b9wu{i:06d}", f"/xapu{i % 300:03d}/ny{i:05d}/",
               "safe", SERVICES[i % 3], timeout, 2)


def document(version):
    bigs = min(BIG_CONFIGS, max(0, version - 1))
    return manifest(version, routes(FIRST_ROUTES + BIG_CONFIG * bigs, version), SERVICES)


def main():
    folder = os.path.dirname(os.path.abspath(__file__))
    record = Record(os.path.join(folder, "record.txt"))
    fleet = Fleet(record, controls=3, entries=1)
    try:
        return play(fleet, record)
    finally:
        fleet.stop()


def play(fleet, record):
    for program in fleet.controls + fleet.entries:
        program.start(first=True)
    platform = MemoryLimit(fleet, MEMORY_MB)
    if not fleet.put(document(1)):
        raise CannotRun("the first manifest was not acknowledged")
    acknowledged = 1
    sending = time.monotonic()
    for version in range(2, 2 + CHANGES):
        begin = time.monotonic()
        if begin - sending > SENDING_S:
            break
        if fleet.put(document(version), seconds=5, first=version):
            acknowledged = version
        if version % 25 == 0:
            peaks = [program.memory_mb()[0] for program in fleet.controls]
            record.write(f"operator: version {version:08x} acknowledged; members' memory {peaks} MB")
        time.sleep(max(0.0, GAP_S - (time.monotonic() - begin)))
    record.write(f"operator: newest acknowledged version {acknowledged:08x}")
    logs = [os.path.getsize(os.path.join(fleet.folder, program.name + ".data", "log")) // 1_000_000
            for program in fleet.controls]
    record.write(f"the members' logs have {logs} MB")
    if min(logs) < LOG_MB or platform.kills:
        raise CannotRun("too few changes were acknowledged, or a process ended before the fault")

    if TROUBLE:
        for program in fleet.controls:
            platform.halted.add(program.name)
        for program in fleet.controls:
            program.kill()
        record.write("final fault: the processes of the three core machines were killed")
        time.sleep(0.8)
        for program in fleet.controls:
            program.start()
            platform.halted.discard(program.name)
        record.write("their processes were started again, with their disks")

    end = time.monotonic() + READ_BACK_S
    newest = 0
    reads = 0
    last_answers = []
    while time.monotonic() < end:
        for index in range(3):
            status, version = fleet.read_manifest(index)
            reads += 1
            last_answers.append(status)
            if version is not None:
                newest = max(newest, version)
                if version < acknowledged:
                    record.write(f"read of control-{index}: older version {version:08x}")
        time.sleep(0.3)
    kills = len(platform.kills)
    record.write(f"operator: {reads} reads, newest version read {newest:08x}, last answers "
                 f"{last_answers[-3:]}; the platform killed members {kills} times for memory")
    broken = newest < acknowledged
    record.write("CONFIG broken: the manifest doesn't come" if broken else "CONFIG held")
    return 1 if broken else 0


if __name__ == "__main__":
    run_case(main)
