#!/usr/bin/env python3
"""Fits straight lines through the measurements that docs/CAPACITY.md uses.

Reads the JSON of measure_control.py and measure_latency.py and prints, for
each quantity, the intercept, the slope, the largest residual and the value at
the design size.

Usage: fit_capacity.py CONTROL.json LATENCY.json
"""

import json
import pathlib
import sys

# At the design size: all nodes, nodes of a data centre, calls a second of a
# node, and callers' connections of a node.
NODES = 750
MEMBERS = 150
# Data centres of measure_control.py.
DATA_CENTRES = 4
CALLS_PER_NODE = 110_000 / 750
CONNECTIONS = 130


def fit(points):
    """Least squares; returns (intercept, slope, largest residual)."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    slope = (sum((x - mean_x) * (y - mean_y) for x, y in points)
             / sum((x - mean_x) ** 2 for x, _ in points))
    intercept = mean_y - slope * mean_x
    return intercept, slope, max(abs(y - intercept - slope * x)
                                 for x, y in points)


def print_fit(name, unit, points, size):
    intercept, slope, residual = fit(points)
    values = ", ".join(f"{x:g}: {y:.4g}" for x, y in points)
    # A quantity that does not grow is not read beyond the largest size.
    result = (f"{intercept + slope * size:.4g} {unit}" if slope > 1e-9 else
              f"no growth; at most {max(y for _, y in points):.4g} {unit}")
    print(f"| {name} | {values} | {intercept:.4g} + {slope:.3g} x | "
          f"{residual:.2g} | {result} |")


def main():
    control = json.loads(pathlib.Path(sys.argv[1]).read_text())
    latency = json.loads(pathlib.Path(sys.argv[2]).read_text())
    rows = [row for row in control if row["control"] == "tree"]
    print("| quantity | measured (size: value) | line | largest residual | "
          "at the design size |")
    print("| --- | --- | --- | --- | --- |")
    for name, unit, key in (
            ("control bytes sent, mean node", "B/s", "idle_bytes_s_mean"),
            ("bytes sent across the paid link, all nodes", "B/s",
             "idle_far_bytes_s"),
            ("processor, mean node", "% of a core", "idle_cpu_percent_mean"),
            ("processor, busiest node", "% of a core",
             "idle_cpu_percent_max"),
            ("platform calls, all nodes", "/s", "platform_calls_s"),
            ("bytes sent for a one-line change, mean node", "B",
             "line_change_bytes_node"),
            ("bytes across the paid link for it", "B",
             "line_change_bytes_far"),
            ("resident memory, mean node", "MB", "rss_mb_mean"),
            ("resident memory, largest node", "MB", "rss_mb_max")):
        print_fit(name, unit, [(row["nodes"], row[key]) for row in rows],
                  NODES)
    print_fit("control bytes sent, busiest node (x: members of its data "
              "centre)", "B/s",
              [(row["nodes"] / DATA_CENTRES, row["idle_bytes_s_max"])
               for row in rows], MEMBERS)
    for index, role in ((0, "node of the caller"), (1, "gate")):
        points = {}
        for run in latency["latency"]:
            points.setdefault(run["rate"], []).append(
                run["cpu_s"][index] / run["answered"]
                * run["calls_per_second"] * 100)
        print_fit(f"processor for calls, {role} (x: calls/s)", "% of a core",
                  [(rate, sum(values) / len(values))
                   for rate, values in sorted(points.items())],
                  CALLS_PER_NODE)
    print_fit("resident memory of the caller's node (x: connections)", "MB",
              [(count, size / 1e6) for count, size in latency["memory"]],
              CONNECTIONS)


if __name__ == "__main__":
    main()
