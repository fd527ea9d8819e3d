"""Measures a local fleet and writes the raw figures as JSON below docs/measurements/.

Each experiment prints one line a row as it goes; `scripts/measure.py all` runs them in turn.
Figures are compared with a baseline of the same run, since machines are noisy.
"""

import argparse
import json
import os
import subprocess
import sys
import time

from fleet import Fleet, ROOT, finish_load, wait_until

OUTPUT = os.path.join(ROOT, "docs", "measurements")


def write(name, rows):
    os.makedirs(OUTPUT, exist_ok=True)
    with open(os.path.join(OUTPUT, name + ".json"), "w") as file:
        json.dump(rows, file, indent=1)
        file.write("\n")


def show(row):
    print("  ".join(f"{key}={value:.3f}" if isinstance(value, float) else f"{key}={value}"
                    for key, value in row.items()), flush=True)
    return row


def quantiles(result, kind):
    latency = result["kinds"][kind]["latencyMs"]
    return latency["p50"], latency["p99"], latency["p999"]


def fit(points):
    """Least squares y = a + b x; gives a, b and the largest residual as a share of y."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    worst = max(abs(y - base - slope * x) / max(abs(y), 1e-9) for x, y in points)
    return {"base": base, "slope": slope, "worst_residual_share": worst}


def override(fleet, text):
    """Puts one more configuration file in force, after the example's own."""
    folder = os.path.join(fleet.folder, "configuration")
    if not os.path.isdir(folder):
        subprocess.run(["cp", "-r", fleet.configuration, folder], check=True)
    with open(os.path.join(folder, "95-measure.json"), "w") as file:
        file.write(text)
    fleet.ctl("apply", folder, "--wait", f"--wait_entries={fleet.entry_count}")


def overhead():
    """Time and CPU that an entry adds to a call, against direct calls in the same run."""
    rows = []
    for rate in (500, 1000, 2000):
        with Fleet(entries=1, controls=1, services=[("catalogue", 8, 50)]) as fleet:
            targets = ",".join(f"127.0.0.1:{20000 + i}" for i in range(8))
            flags = dict(mix="catalogue:lookup:1:0", rate=rate, seconds=8, standin="")
            fleet.load(**{**flags, "seconds": 2})
            direct, _ = fleet.load(entries=targets, direct="true", **flags)
            cpu = fleet.entry[0].cpu_seconds()
            through, _ = fleet.load(**flags)
            cpu = fleet.entry[0].cpu_seconds() - cpu
            calls = through["kinds"]["catalogue lookup"]["sent"]
            d50, d99, _ = quantiles(direct, "catalogue lookup")
            t50, t99, _ = quantiles(through, "catalogue lookup")
            rows.append(show({"rate": rate, "direct_p50_ms": d50, "through_p50_ms": t50,
                              "added_p50_ms": t50 - d50, "direct_p99_ms": d99,
                              "through_p99_ms": t99, "added_p99_ms": t99 - d99,
                              "cpu_us_per_call": cpu * 1e6 / calls}))
    write("overhead", rows)


def saturation():
    """Calls a second that one entry answers when pushed, by threads."""
    rows = []
    for threads in (1, 2, 4):
        with Fleet(entries=1, controls=1, threads=threads,
                   services=[("catalogue", 16, 200)]) as fleet:
            override(fleet, json.dumps({"services": {"catalogue": {
                "limits": {"concurrency": 4000, "queue": 1000}}}}))
            cpu = fleet.entry[0].cpu_seconds()
            start = time.monotonic()
            loads = [fleet.start_load(mix="catalogue:lookup:1:0", rate=12000, seconds=5,
                                      standin="", seed=i) for i in range(2)]
            results = [finish_load(load)[0] for load in loads]
            seconds = time.monotonic() - start
            cpu = fleet.entry[0].cpu_seconds() - cpu
            answered = sum(r["kinds"]["catalogue lookup"]["answered"] for r in results)
            rows.append(show({"threads": threads, "answered_per_second": answered / seconds,
                              "entry_cores": cpu / seconds,
                              "cpu_us_per_call": cpu * 1e6 / max(answered, 1)}))
    write("saturation", rows)


EXPERIMENTS = {f.__name__: f for f in (overhead, saturation)}


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
