"""Measures a local fleet and writes the raw figures as JSON to docs/measurements/.

Each experiment prints one line per row while it runs; `scripts/measure.py all` runs all of them in
turn. Figures are compared with a baseline from the same run, because timings on a machine vary.
"""

import argparse
import json
import os
import subprocess
import sys
import time

from fleet import Fleet, ROOT, finish_load, wait_until

OUTPUT = os.path.join(ROOT, "docs", "measurements")


def write_results(name, rows):
    os.makedirs(OUTPUT, exist_ok=True)
    with open(os.path.join(OUTPUT, name + ".json"), "w") as file:
        json.dump(rows, file, indent=1)
        file.write("\n")


def print_row(row):
    print("  ".join(f"{key}={value:.3f}" if isinstance(value, float) else f"{key}={value}"
                    for key, value in row.items()), flush=True)
    return row


def quantiles(result, kind):
    latency = result["kinds"][kind]["latencyMs"]
    return latency["p50"], latency["p99"], latency["p999"]


def fit_line(points):
    """Fits y = base + slope * x by least squares; also gives the largest residual relative to y."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    worst = max(abs(y - base - slope * x) / max(abs(y), 1e-9) for x, y in points)
    return {"base": base, "slope": slope, "worst_residual_share": worst}


def apply_override(fleet, text):
    """Applies the fleet's configuration with `text` as one more file; waits for all entries."""
    folder = os.path.join(fleet.folder, "configuration")
    if not os.path.isdir(folder):
        subprocess.run(["cp", "-r", fleet.configuration, folder], check=True)
    with open(os.path.join(folder, "95-measure.json"), "w") as file:
        file.write(text)
    fleet.ctl("apply", folder, "--wait", f"--wait_entries={fleet.entry_count}")


def overhead():
    """Latency and CPU time that an entry adds to a request, compared with direct requests."""
    rows = []
    for rate in (500, 1000, 2000):
        with Fleet(entries=1, controls=1, services=[("catalogue", 8, 50)]) as fleet:
            targets = ",".join(f"127.0.0.1:{20000 + i}" for i in range(8))
            flags = dict(mix="catalogue:lookup:1:0", rate=rate, seconds=8, standin="")
            fleet.load(**{**flags, "seconds": 2})
            direct, _ = fleet.load(entries=targets, direct="true", **flags)
            cpu = fleet.entry_processes[0].cpu_seconds()
            through, _ = fleet.load(**flags)
            cpu = fleet.entry_processes[0].cpu_seconds() - cpu
            calls = through["kinds"]["catalogue lookup"]["sent"]
            d50, d99, _ = quantiles(direct, "catalogue lookup")
            t50, t99, _ = quantiles(through, "catalogue lookup")
            rows.append(print_row({"rate": rate, "direct_p50_ms": d50, "through_p50_ms": t50,
                                   "added_p50_ms": t50 - d50, "direct_p99_ms": d99,
                                   "through_p99_ms": t99, "added_p99_ms": t99 - d99,
                                   "cpu_us_per_call": cpu * 1e6 / calls}))
    write_results("overhead", rows)


def saturation():
    """Requests per second that one saturated entry answers, by number of threads."""
    rows = []
    for threads in (1, 2, 4):
        with Fleet(entries=1, controls=1, threads=threads,
                   services=[("catalogue", 16, 200)]) as fleet:
            apply_override(fleet, json.dumps({"services": {"catalogue": {
                "limits": {"concurrency": 4000, "queue": 1000}}}}))
            cpu = fleet.entry_processes[0].cpu_seconds()
            start = time.monotonic()
            loads = [fleet.start_load(mix="catalogue:lookup:1:0", rate=12000, seconds=5,
                                      standin="", seed=i) for i in range(2)]
            results = [finish_load(load)[0] for load in loads]
            seconds = time.monotonic() - start
            cpu = fleet.entry_processes[0].cpu_seconds() - cpu
            answered = sum(r["kinds"]["catalogue lookup"]["answered"] for r in results)
            rows.append(print_row({"threads": threads, "answered_per_second": answered / seconds,
                                   "entry_cores": cpu / seconds,
                                   "cpu_us_per_call": cpu * 1e6 / max(answered, 1)}))
    write_results("saturation", rows)


CHOOSERS = ["smallest-estimate", "least-in-flight", "power-of-two", "round-robin", "random"]
TOTAL_SLOTS = 40  # over all 20 targets
WORK_MS = 10  # mean service time


def chooser_settings(chooser, slots_factor=2):
    return json.dumps({"services": {"catalogue": {
        "chooser": chooser,
        "limits": {"concurrency": 400, "queue": 200, "slotsFactor": slots_factor}}}})


def service_counters(fleet):
    """Counters of the service catalogue, of probes and of gossip, summed over all entries."""
    total = {}
    for i in range(fleet.entry_count):
        for name, value in fleet.metrics(fleet.internal_address(i)).items():
            if 'service="catalogue"' in name and "_total" in name:
                key = name.split("{")[0].replace("kumquat_", "").replace("_total", "")
                total[key] = total.get(key, 0) + value
            elif name in ("kumquat_probes_total", "kumquat_gossip_sent_bytes_total"):
                total[name] = total.get(name, 0) + value
    return total


def measure_chooser(fleet, chooser, shape, share, seconds=6, **flags):
    """Runs a load at `share` of the capacity and compares it with one ideal shared queue."""
    rate = share * TOTAL_SLOTS * 1000 / WORK_MS
    before = service_counters(fleet)
    result, audit_passed = fleet.load(mix=f"catalogue:lookup:1:{WORK_MS}", rate=rate,
                                      seconds=seconds, standin="",
                                      ideal=f"catalogue:{TOTAL_SLOTS}", seed=11, **flags)
    after = service_counters(fleet)
    kind = result["kinds"]["catalogue lookup"]
    calls = kind["sent"]
    per_call = {key: (after[key] - before.get(key, 0)) / calls
                for key in ("retries", "hedges", "sheds")}
    probes = (after["kumquat_probes_total"] - before["kumquat_probes_total"]) / calls
    p50, p99, p999 = quantiles(result, "catalogue lookup")
    ideal = result["ideal"]
    return print_row({"chooser": chooser, "shape": shape, "load": share, "p50_ms": p50,
                      "p99_ms": p99, "p999_ms": p999, "p99_to_ideal": p99 / ideal["p99"],
                      "p999_to_ideal": p999 / ideal["p999"],
                      "answered_share": kind["answered"] / calls, **per_call, "probes": probes,
                      "all_whole": audit_passed})


def choice():
    """Target selection algorithms, compared under the same seeded load through six entries."""
    rows = []
    with Fleet(services=[("catalogue", 20, 2)], work_ms=WORK_MS) as fleet:
        for chooser in CHOOSERS:
            apply_override(fleet, chooser_settings(chooser))
            fleet.load(mix=f"catalogue:lookup:1:{WORK_MS}", rate=1000, seconds=2, standin="")
            for share in (0.5, 0.7, 0.85, 0.95):
                rows.append(measure_chooser(fleet, chooser, "even", share))
            rows.append(measure_chooser(fleet, chooser, "bursty", 0.7, burst_every_ms=500,
                                        burst_factor=1.5))
            fleet.change_behaviour("catalogue", shiftEveryMs=200, shiftLengthMs=20, shiftFactor=4)
            rows.append(measure_chooser(fleet, chooser, "shifting", 0.7))
            fleet.change_behaviour("catalogue", shiftEveryMs=0)
            fleet.change_behaviour("catalogue-7", slowdown=6)
            rows.append(measure_chooser(fleet, chooser, "one slow", 0.7))
            fleet.change_behaviour("catalogue-7", slowdown=1, failShare=1)
            rows.append(measure_chooser(fleet, chooser, "one failing", 0.7))
            fleet.change_behaviour("catalogue-7", failShare=0)
            fleet.change_behaviour("catalogue", lieFactor=0.2)
            rows.append(measure_chooser(fleet, chooser, "lying reports", 0.85))
            fleet.change_behaviour("catalogue", lieFactor=1)
            write_results("choice", rows)
    write_results("choice", rows)


def slots_factor():
    """Limit on the requests of all entries at a target, as a multiple of the target's slots."""
    rows = []
    with Fleet(services=[("catalogue", 20, 2)], work_ms=WORK_MS) as fleet:
        for factor in (1, 2, 4, 8):
            apply_override(fleet, chooser_settings("smallest-estimate", factor))
            for share in (0.7, 0.85, 0.95):
                row = measure_chooser(fleet, "smallest-estimate", "even", share)
                rows.append({"slots_factor": factor, **row})
                print(f"  slots_factor={factor}", flush=True)
    write_results("slots_factor", rows)


def overload():
    """Requests answered within the deadline below and above capacity, relative to capacity."""
    rows = []
    with Fleet(services=[("catalogue", 20, 2)], work_ms=WORK_MS) as fleet:
        apply_override(fleet, chooser_settings("smallest-estimate"))
        for share in (0.9, 1.5, 2.0):
            seconds, deadline_ms = 6, 500
            rate = share * TOTAL_SLOTS * 1000 / WORK_MS / 3
            before = service_counters(fleet)
            loads = [fleet.start_load(mix=f"catalogue:lookup:1:{WORK_MS}", rate=rate,
                                      seconds=seconds, standin="", deadline_ms=deadline_ms,
                                      seed=i) for i in range(3)]
            kinds = [finish_load(load)[0]["kinds"]["catalogue lookup"] for load in loads]
            after = service_counters(fleet)
            answered = sum(kind["answered"] for kind in kinds)
            refused = {}
            for kind in kinds:
                for reason, count in kind["refused"].items():
                    refused[reason] = refused.get(reason, 0) + count
            rows.append(print_row({
                "load": share, "answered_per_s_to_capacity":
                    answered / seconds / (TOTAL_SLOTS * 1000 / WORK_MS),
                "p99_ms": max(kind["latencyMs"]["p99"] for kind in kinds),
                "broken": sum(kind["broken"] for kind in kinds),
                "sheds_per_answer": (after["sheds"] - before["sheds"]) / max(answered, 1),
                "refused": json.dumps(refused)}))
    write_results("overload", rows)


def idle_cost(fleet, seconds=6):
    """CPU share, gossip bytes per second and memory of the first entry without requests."""
    time.sleep(4)
    entry = fleet.entry_processes[0]
    cpu = entry.cpu_seconds()
    before = fleet.metrics(fleet.internal_address(0))["kumquat_gossip_sent_bytes_total"]
    time.sleep(seconds)
    after = fleet.metrics(fleet.internal_address(0))["kumquat_gossip_sent_bytes_total"]
    return {"cpu_share": (entry.cpu_seconds() - cpu) / seconds,
            "gossip_bytes_per_s": (after - before) / seconds, "entry_mb": entry.memory_mb()}


def fit_lines(rows, x, fields):
    """Fits a line through each field against column `x`."""
    for field in fields:
        points = [(row[x], row[field]) for row in rows]
        print_row({"slope_of": field, "against": x, **fit_line(points)})
    return {field: fit_line([(row[x], row[field]) for row in rows]) for field in fields}


IDLE_COST_FIELDS = ("cpu_share", "gossip_bytes_per_s", "entry_mb")


def per_target():
    """Resource use of an idle entry by number of targets, with two entries."""
    rows = []
    for targets in (50, 200, 600):
        with Fleet(entries=2, controls=1, services=[("catalogue", targets, 2)],
                   lease_ms=10000) as fleet:
            rows.append(print_row({"targets": targets, **idle_cost(fleet)}))
    write_results("per_target", {"rows": rows, "fit": fit_lines(rows, "targets", IDLE_COST_FIELDS)})


def per_entry():
    """Resource use of an idle entry by number of entries, with 50 targets."""
    rows = []
    for entries in (3, 6, 12):
        with Fleet(entries=entries, controls=1, services=[("catalogue", 50, 2)],
                   lease_ms=10000) as fleet:
            rows.append(print_row({"entries": entries, **idle_cost(fleet)}))
    write_results("per_entry", {"rows": rows, "fit": fit_lines(rows, "entries", IDLE_COST_FIELDS)})


def per_connection():
    """Memory of an entry by number of idle caller connections."""
    import socket
    rows = []
    with Fleet(entries=1, controls=1, services=[("catalogue", 4, 2)]) as fleet:
        open_connections = []
        host, port = fleet.caller_address(0).split(":")
        for wanted in (100, 400, 900):
            while len(open_connections) < wanted:
                connection = socket.create_connection((host, int(port)))
                connection.sendall(b"GET /kumquat/v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                connection.recv(4096)
                open_connections.append(connection)
            time.sleep(0.5)
            rows.append(print_row({"connections": wanted,
                                   "entry_mb": fleet.entry_processes[0].memory_mb()}))
    write_results("per_connection", {"rows": rows,
                                     "fit": fit_lines(rows, "connections", ("entry_mb",))})


def per_service():
    """Memory of an entry and time until a change is in force, by number of configured services."""
    rows = []
    for count in (10, 50, 110):
        with Fleet(entries=2, controls=3, services=[("catalogue", 4, 2)]) as fleet:
            services = {f"s{i}": {"routes": [{"pathPrefix": f"/s{i}/"}]} for i in range(count)}
            start = time.monotonic()
            apply_override(fleet, json.dumps({"services": services}))
            rows.append(print_row({"services": count, "apply_and_wait_s": time.monotonic() - start,
                                   "entry_mb": fleet.entry_processes[0].memory_mb()}))
    write_results("per_service", {"rows": rows, "fit": fit_lines(rows, "services", ("entry_mb",))})


def control_counters(fleet):
    return fleet.metrics(fleet.leader_address())


def once_records():
    """Cost of bookings: latency, and fsyncs, log bytes, CPU and memory of the control leader."""
    rows = []
    with Fleet(services=[("orders", 10, 20)], work_ms=1) as fleet:
        stored = 0
        for rate in (100, 300, 600):
            before = control_counters(fleet)
            leader = fleet.control_processes[fleet.leader_index()]
            cpu = leader.cpu_seconds()
            result, audit_passed = fleet.load(mix="orders:booking:1:0.1", rate=rate, seconds=8,
                                              seed=rate)
            after = control_counters(fleet)
            kind = result["kinds"]["orders booking"]
            stored += kind["answered"]
            p50, p99, _ = quantiles(result, "orders booking")
            calls = kind["sent"]
            rows.append(print_row({
                "rate": rate, "records": after["kumquat_control_once_records"], "p50_ms": p50,
                "p99_ms": p99, "answered_share": kind["answered"] / calls, "honest": audit_passed,
                "fsyncs_per_booking": (after["kumquat_control_syncs_total"]
                                       - before["kumquat_control_syncs_total"]) / calls,
                "log_bytes_per_booking": (after["kumquat_control_log_bytes_total"]
                                          - before["kumquat_control_log_bytes_total"]) / calls,
                "leader_cpu_us_per_booking": (leader.cpu_seconds() - cpu) * 1e6 / calls,
                "leader_mb": leader.memory_mb()}))
        time.sleep(1)
        start = time.monotonic()
        leader = fleet.leader_index()
        fleet.control_processes[leader].kill()
        wait_until(lambda: fleet.leader_index() >= 0, 20, "a new leader")
        rows.append(print_row({"leaderless_s": time.monotonic() - start}))
    write_results("once_records", {"rows": rows,
                                   "fit": fit_lines(rows[:3], "records", ("leader_mb",))})


def changes():
    """Configuration changes: time until in force on six entries, log bytes, restart time."""
    rows = []
    for snapshot_every in (1000000, 100):
        settings = {"snapshotEveryEntries": snapshot_every}
        with Fleet(services=[("catalogue", 4, 2)], control_settings=settings) as fleet:
            for total in (100, 300, 600):
                before = control_counters(fleet)
                done = int(fleet.dump(fleet.leader_address())["configurationNumber"])
                while done < total:
                    fleet.ctl("apply", fleet.configuration)
                    done += 1
                after = control_counters(fleet)
                waits = []
                for _ in range(5):
                    out = fleet.ctl("apply", fleet.configuration, "--wait", "--wait_entries=6")
                    waits.append(int(out.stdout.rsplit("after ", 1)[1].split()[0]))
                member = (fleet.leader_index() + 1) % 3
                fleet.control_processes[member].kill()
                start = time.monotonic()
                fleet.control_processes[member].start()
                wait_until(lambda: fleet.dump(fleet.control_address(member))
                           ["configurationNumber"] >= done, 20, "the member to catch up")
                log_bytes = (after["kumquat_control_log_bytes_total"]
                             - before["kumquat_control_log_bytes_total"])
                rows.append(print_row({"snapshot_every": snapshot_every, "changes": total,
                                       "in_force_ms_max_of_5": max(waits),
                                       "log_bytes_in_step": log_bytes,
                                       "restart_s": time.monotonic() - start}))
            for fault in ("kill", "freeze"):
                leader = fleet.control_processes[fleet.leader_index()]
                leader.kill() if fault == "kill" else leader.signal(19)  # SIGSTOP
                start = time.monotonic()
                out = fleet.ctl("apply", fleet.configuration, "--wait", "--wait_entries=6")
                rows.append(print_row({"leader": fault, "changes": 1,
                                       "apply_and_in_force_s": time.monotonic() - start,
                                       "in_force_after_accept_ms":
                                           int(out.stdout.rsplit("after ", 1)[1].split()[0])}))
                leader.start() if fault == "kill" else leader.signal(18)  # SIGCONT
                wait_until(fleet.all_members_are_voters, 20, "all members to be voters again")
    write_results("changes", rows)


def flood():
    """Cost of load measurement: probes and gossip bytes per entry and second, by request rate."""
    rows = []
    with Fleet(services=[("catalogue", 20, 2)], work_ms=1) as fleet:
        for rate in (10, 500, 3000):
            before = [fleet.metrics(fleet.internal_address(i)) for i in range(6)]
            fleet.load(mix="catalogue:lookup:1:1", rate=rate, seconds=8, standin="")
            after = [fleet.metrics(fleet.internal_address(i)) for i in range(6)]
            row = {"rate": rate}
            for name in ("kumquat_probes_total", "kumquat_gossip_sent_bytes_total"):
                row[name + "_per_entry_s"] = sum(
                    a[name] - b[name] for a, b in zip(after, before)) / 6 / 8
            rows.append(print_row(row))
    write_results("flood", rows)


EXPERIMENTS = {f.__name__: f for f in (overhead, saturation, choice, slots_factor, overload,
                                   per_target, per_entry, per_connection, per_service,
                                   once_records, changes, flood)}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="+", choices=[*EXPERIMENTS, "all"])
    names = parser.parse_args().names
    for name in EXPERIMENTS if "all" in names else names:
        print(f"# {name}: {EXPERIMENTS[name].__doc__}", flush=True)
        EXPERIMENTS[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
