#!/usr/bin/env python3
"""Measures what the mesh adds to a call, over one pair of nodes on loopback.

The load program sends each call directly to the upstream and through both
nodes, interleaved, so that noise of the machine meets both.  Also measures
processor time a call and resident memory against callers' connections.

Usage: measure_latency.py BUILD [--rates 100,500,2000] [--runs 3] [--json FILE]
"""

import argparse
import json
import pathlib
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]
                       / "tests" / "process"))
from mesh import Mesh, http, wait_for  # noqa: E402  (path set above)

PAIR = [("west-a", "west"), ("west-a", "west")]


def load(mesh, *options):
    """Runs the load program; returns its JSON."""
    result = subprocess.run([mesh.build / "standin-load", *map(str, options)],
                            capture_output=True, text=True, check=False)
    if result.returncode not in (0, 1) or not result.stdout:
        raise RuntimeError(result.stderr)
    return json.loads(result.stdout)


def start_pair(build):
    """Two nodes; only the second has an upstream."""
    mesh = Mesh(build, 2, data_centres=PAIR, slots=64, upstreams=False,
                extra={"listen": "http_threads = 256\ngate_threads = 32"},
                ip_base=90)
    return mesh


def settle(mesh):
    mesh.nodes[1].start_upstream()
    mesh.apply(mesh.document("/stock"))
    mesh.await_version(1)
    wait_for("first answer",
             lambda: http(mesh.nodes[0].url("/stock"))[0] == 200)


def measure_latency(mesh, rate, seconds):
    front, back = mesh.nodes
    cpu = [node.process.cpu_seconds() for node in mesh.nodes]
    switches = [node.process.context_switches() for node in mesh.nodes]
    result = load(mesh, "--target", f"{front.ip}:8080", "--direct",
                  f"{back.ip}:8000", "--path", "/stock", "--rate", rate,
                  "--seconds", seconds)
    result["rate"] = rate
    result["cpu_s"] = [node.process.cpu_seconds() - before
                       for node, before in zip(mesh.nodes, cpu)]
    result["context_switches"] = [
        node.process.context_switches() - before
        for node, before in zip(mesh.nodes, switches)]
    return result


def measure_memory(build):
    """Returns [(connections, resident bytes of the first node)]."""
    rows = []
    for connections in (8, 64, 192):
        with start_pair(build) as mesh:
            settle(mesh)
            load(mesh, "--target", f"{mesh.nodes[0].ip}:8080", "--path",
                 "/stock", "--connections", connections, "--seconds", 2)
            rows.append((connections,
                         mesh.nodes[0].process.rss_bytes()))
    return rows


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--rates", default="100,500,2000")
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=int, default=5)
    parser.add_argument("--json")
    options = parser.parse_args()
    rows = []
    with start_pair(options.build) as mesh:
        settle(mesh)
        for _ in range(options.runs):
            for rate in map(int, options.rates.split(",")):
                rows.append(measure_latency(mesh, rate, options.seconds))
                print(json.dumps(rows[-1]))
    memory = measure_memory(options.build)
    print(json.dumps({"memory": memory}))
    if options.json:
        pathlib.Path(options.json).write_text(
            json.dumps({"latency": rows, "memory": memory}, indent=1))


if __name__ == "__main__":
    main()
