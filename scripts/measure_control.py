#!/usr/bin/env python3
"""Measures control with real processes on loopback.

For each number of nodes and each way of control (tree and the naive poll):
convergence time of changes, control bytes and processor time a node, resident
memory, platform calls.  Prints a Markdown table and writes JSON.

Usage: measure_control.py BUILD [--sizes 8,32,96] [--changes 5] [--json FILE]
"""

import argparse
import datetime
import json
import pathlib
import statistics
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]
                       / "tests" / "process"))
from mesh import Mesh  # noqa: E402  (path set above)


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def effect_times(mesh, version):
    """Returns the times (s since the epoch) at which nodes log VERSION."""
    times = []
    for node in mesh.nodes:
        for line in node.process.log.read_text().splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            text = entry["message"]
            if text.startswith(f"version {version} is in"):
                when = datetime.datetime.fromisoformat(
                    entry["time"].replace("Z", "+00:00"))
                times.append(when.timestamp())
    return times


def control_bytes(mesh):
    """Returns (sum over the nodes, largest node, sum to the other region)."""
    totals, far = [], 0.0
    for node in mesh.nodes:
        metrics = {name: value for name, value in node.metrics().items()
                   if name.startswith("mulberryshift_control_bytes_total")}
        totals.append(sum(metrics.values()))
        far += sum(value for name, value in metrics.items()
                   if "other-region" in name)
    return totals, far


def change(mesh, version, text):
    """Applies TEXT; returns the seconds until each node has it."""
    start = time.time()
    code, output = mesh.apply(text)
    if code != 0:
        raise RuntimeError(output)
    mesh.await_version(version, limit=60)
    return [when - start for when in effect_times(mesh, version)]


def measure(build, size, control, changes):
    extra = {"mesh": f'control = "{control}"',
             "listen": "http_threads = 4\ngate_threads = 4"}
    with Mesh(build, size, extra=extra, upstreams=False,
              log_level="info", ip_base=80) as mesh:
        if control == "tree":
            mesh.await_members(size, limit=90)
        text = mesh.document("/stock", padding=2000)
        change(mesh, 1, text)
        time.sleep(5)
        row = {"nodes": size, "control": control}

        before, far_before = control_bytes(mesh)
        cpu_before = [n.process.cpu_seconds() for n in mesh.nodes]
        counts_before = mesh.counts()
        idle = 20.0
        time.sleep(idle)
        after, far_after = control_bytes(mesh)
        cpu_after = [n.process.cpu_seconds() for n in mesh.nodes]
        counts_after = mesh.counts()
        rates = [(b - a) / idle for a, b in zip(before, after)]
        cpu = [(b - a) / idle * 100 for a, b in zip(cpu_before, cpu_after)]
        row["idle_bytes_s_mean"] = statistics.mean(rates)
        row["idle_bytes_s_max"] = max(rates)
        row["idle_far_bytes_s"] = (far_after - far_before) / idle
        row["idle_cpu_percent_mean"] = statistics.mean(cpu)
        row["idle_cpu_percent_max"] = max(cpu)
        row["platform_calls_s"] = sum(
            counts_after[k] - counts_before[k]
            for k in ("reads", "writes", "watches")) / idle

        times = []
        before, far_before = control_bytes(mesh)
        started = time.time()
        for index in range(changes):
            times += change(mesh, index + 2,
                            text.replace("2000", str(2001 + index), 1))
            time.sleep(1)
        elapsed = time.time() - started
        after, far_after = control_bytes(mesh)
        idle_part = [rate * elapsed for rate in rates]
        per_change = [(b - a - i) / changes for a, b, i in
                      zip(before, after, idle_part)]
        row["line_change_p50_s"] = quantile(times, 0.5)
        row["line_change_p99_s"] = quantile(times, 0.99)
        row["line_change_max_s"] = max(times)
        row["line_change_bytes_node"] = statistics.mean(per_change)
        row["line_change_bytes_far"] = (
            far_after - far_before
            - row["idle_far_bytes_s"] * elapsed) / changes

        whole = "".join(f"# {index * 7919 % 104729} new text\n"
                        for index in range(5000))
        times = change(mesh, changes + 2, text + whole)
        row["document_change_max_s"] = max(times)
        rss = [n.process.rss_bytes() for n in mesh.nodes]
        row["rss_mb_mean"] = statistics.mean(rss) / 1e6
        row["rss_mb_max"] = max(rss) / 1e6
        return row


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--sizes", default="8,32,96")
    parser.add_argument("--changes", type=int, default=5)
    parser.add_argument("--controls", default="tree,poll")
    parser.add_argument("--json")
    options = parser.parse_args()
    rows = []
    for size in map(int, options.sizes.split(",")):
        for control in options.controls.split(","):
            rows.append(measure(options.build, size, control,
                                options.changes))
            print(rows[-1], file=sys.stderr)
    keys = list(rows[0])
    print("| " + " | ".join(keys) + " |")
    print("|" + " --- |" * len(keys))
    for row in rows:
        print("| " + " | ".join(
            f"{row[k]:.3g}" if isinstance(row[k], float) else str(row[k])
            for k in keys) + " |")
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
