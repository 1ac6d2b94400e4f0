#!/usr/bin/env python3
"""Measures calls under load and faults with real processes on loopback.

One data centre of four nodes; each upstream has 6 slots and a service time of
20 ms, so the capacity is 1,200 calls/s.  Two open-loop loads run side by side:
class "repeatable" and class "once".  Cases:

  load    0.5, 1, 1.5 and 3 times the capacity, 20 % once; once without keys
          and with keys kept in memory; and once alone near the capacity
  faults  at 0.6 times the capacity: healthy, one of four upstreams dead, its
          node dead, slow, lying about its slots, cold
  chain   calls of depth 1 to 9 whose leaf fails

Prints Markdown tables; writes data files for scripts/plot_calls.gp.

Usage: measure_calls.py BUILD [--cases load,faults,chain] [--seconds 5]
                        [--seed 1] [--data DIRECTORY]
"""

import argparse
import itertools
import json
import pathlib
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]
                       / "tests" / "process"))
from mesh import Mesh, http, wait_for  # noqa: E402  (path set above)

NODES = 4
SLOTS = 6
SERVICE_MS = 20
CAPACITY = NODES * SLOTS * 1000 / SERVICE_MS
DEADLINE_MS = 500
ONCE_SHARE = 0.2
# Callers' connections to all nodes: more than the calls that can run and wait
# at the gates, so that the loads stay open loops.  A node keeps connections
# alive up to three quarters of its threads.
CONNECTIONS = {"repeatable": 512, "once": 384}
EXTRA = {"listen": "http_threads = 320\ngate_threads = 16"}


def document(order_keys):
    text = (f'[[service]]\nname = "stock"\norder_keys = "{order_keys}"\n\n')
    routes = [("/look", "GET", "repeatable"), ("/buy", "GET", "once"),
              ("/order", "POST", "once")]
    for path, method, call_class in routes:
        text += (f'[[route]]\npath = "{path}"\nservice = "stock"\n'
                 f'methods = ["{method}"]\nclass = "{call_class}"\n'
                 f'deadline_ms = {DEADLINE_MS}\n\n')
    return text


def open_mesh(options):
    return Mesh(options.build, NODES, data_centres=[("west-a", "west")],
                slots=SLOTS, extra=EXTRA, ip_base=options.ip_base)


def behave(node, **behaviour):
    status, _, _ = http(f"http://{node.ip}:8000/behaviour", "PUT",
                        json.dumps(behaviour).encode())
    assert status == 200, (node.name, behaviour, status)


def settle(mesh, order_keys="memory"):
    mesh.await_members(NODES)
    code, output = mesh.apply(document(order_keys))
    assert code == 0, output
    mesh.await_version(1)
    for node in mesh.nodes:
        wait_for(f"upstream of {node.name}",
                 lambda n=node: http(f"http://{n.ip}:8000/counts")[0] == 200)
        behave(node, delay_ms=SERVICE_MS)
        wait_for(f"answer through {node.name}",
                 lambda n=node: http(n.url("/look"))[0] == 200)
    # The ramp of new members takes 10 s.
    time.sleep(10)


def start_load(mesh, options, seeds, call_class, path, rate, post, targets=None):
    command = [str(mesh.build / "standin-load"), "--path", path,
               "--rate", str(rate), "--seconds", str(options.seconds),
               "--connections", str(CONNECTIONS[call_class]),
               "--post-share", "1" if post else "0",
               "--deadline", str(DEADLINE_MS),
               "--seed", str(next(seeds))]
    for node in targets or mesh.nodes:
        command += ["--target", f"{node.ip}:8080"]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def read_counts(mesh):
    """Returns (executions, calls that gates received)."""
    executions = tries = 0
    for node in mesh.nodes:
        status, _, body = http(f"http://{node.ip}:8000/counts", timeout=2)
        if status == 200:
            executions += json.loads(body)["executions"]
        tries += sum(value for name, value in node.metrics().items()
                     if "gate_class_calls_total" in name)
    return executions, tries


def run_load(mesh, options, factor, once_share, keyed, targets=None,
             during=None):
    """Runs both loads; returns a row for each class and one for both."""
    rate = factor * CAPACITY
    # A seed of its own for each load: it is part of the order keys.
    seeds = itertools.count(options.next_seed)
    options.next_seed += 2
    executions, tries = read_counts(mesh)
    loads = {}
    if once_share < 1:
        loads["repeatable"] = start_load(mesh, options, seeds, "repeatable", "/look",
                                         rate * (1 - once_share), False,
                                         targets)
    if once_share > 0:
        loads["once"] = start_load(mesh, options, seeds, "once",
                                   "/order" if keyed else "/buy",
                                   rate * once_share, keyed, targets)
    if during:
        during()
    results = {name: json.loads(load.communicate()[0])
               for name, load in loads.items()}
    time.sleep(0.5)
    executions_after, tries_after = read_counts(mesh)
    calls = answered = in_time = 0
    row = {"offered/s": rate}
    for name, result in results.items():
        own = sum(result[k] for k in ("answered", "upstream_error", "not_run",
                                      "unknown", "failed"))
        calls += own
        answered += result["answered"]
        in_time += result["in_time"]
        row[f"{name} in time %"] = 100 * result["in_time"] / own
        row[f"{name} not run %"] = 100 * result["not_run"] / own
        row[f"{name} unknown"] = result["unknown"]
        row[f"{name} failed"] = result["failed"] + result["upstream_error"]
        row[f"{name} p50 ms"] = result["answered_latency"]["p50_us"] / 1000
        row[f"{name} p99 ms"] = result["answered_latency"]["p99_us"] / 1000
    row["goodput/s"] = in_time / options.seconds
    row["executions/call"] = (executions_after - executions) / calls
    row["tries/call"] = (tries_after - tries) / calls
    row["wasted"] = executions_after - executions - answered
    return row


def print_table(title, rows):
    keys = list(dict.fromkeys(key for row in rows for key in row))
    print(f"\n### {title}\n")
    print("| " + " | ".join(keys) + " |")
    print("|" + " --- |" * len(keys))
    for row in rows:
        cells = (row.get(key, "-") for key in keys)
        print("| " + " | ".join(f"{cell:.4g}" if isinstance(cell, float)
                                else str(cell) for cell in cells) + " |",
              flush=True)


def write_data(options, name, rows, keys):
    if not options.data:
        return
    directory = pathlib.Path(options.data)
    directory.mkdir(parents=True, exist_ok=True)
    lines = ["# " + "\t".join(keys)]
    for row in rows:
        lines.append("\t".join(str(row.get(key, "NaN")) for key in keys))
    (directory / name).write_text("\n".join(lines) + "\n")


def measure_load(options):
    for keyed in (False, True):
        rows = []
        with open_mesh(options) as mesh:
            settle(mesh)
            for factor in map(float, options.factors.split(",")):
                row = {"load": factor}
                row.update(run_load(mesh, options, factor, ONCE_SHARE, keyed))
                rows.append(row)
                time.sleep(1)
            for factor in map(float, options.once_factors.split(",")):
                row = {"load": f"{factor} once"}
                row.update(run_load(mesh, options, factor, 1, keyed))
                rows.append(row)
                time.sleep(1)
        keys = "memory keys" if keyed else "no keys"
        print_table(f"Load, {keys}", rows)
        write_data(options, f"load-{'memory' if keyed else 'none'}.dat",
                   [row for row in rows if isinstance(row["load"], float)],
                   ["load", "offered/s", "goodput/s", "once in time %",
                    "repeatable in time %", "once p99 ms",
                    "repeatable p99 ms", "tries/call"])


def measure_faults(options):
    rows = []
    names = options.faults.split(",")
    for fault in names:
        with open_mesh(options) as mesh:
            settle(mesh)
            victim = mesh.nodes[3]
            others = mesh.nodes[:3]

            def inject(fault=fault, victim=victim):
                # The fault starts one second into the load.
                time.sleep(1)
                if fault == "upstream dead":
                    victim.upstream.kill()
                elif fault == "node dead":
                    victim.process.kill()
                elif fault == "slow":
                    behave(victim, slow_factor=10)
                elif fault == "lying":
                    behave(victim, reported_slots=100,
                           refuse_beyond_slots=True)
                elif fault == "lying slow":
                    behave(victim, reported_slots=100, slow_factor=10)
                elif fault == "cold":
                    behave(victim, cold_ms=3000)

            row = {"fault": fault}
            row.update(run_load(mesh, options, options.fault_load, ONCE_SHARE,
                                False, others, inject))
            rows.append(row)
    print_table(f"Faults at {options.fault_load} times the capacity", rows)
    write_data(options, "faults.dat",
               [{**row, "fault": f'"{row["fault"]}"'} for row in rows],
               ["fault", "offered/s", "goodput/s", "once in time %",
                "repeatable in time %", "once p99 ms", "repeatable p99 ms",
                "tries/call"])


def chain_call(mesh, depth):
    """Calls through a chain of DEPTH upstreams."""
    nodes = mesh.nodes
    headers = {}
    if depth > 1:
        headers["Call-Next"] = ",".join(
            nodes[(i + 1) % NODES].url("/look") for i in range(depth - 1))
    return http(nodes[0].url("/look"), headers=headers, timeout=5)


def measure_chain(options):
    rows = []
    with open_mesh(options) as mesh:
        settle(mesh)
        for leaf in ("healthy", "half fails", "fails"):
            share = {"healthy": 0, "half fails": 0.5, "fails": 1}[leaf]
            for node in mesh.nodes:
                behave(node, delay_ms=1, fail_leaf_share=share,
                       fail_status=503)
            for depth in (1, 4, 8, 9):
                executions, tries = read_counts(mesh)
                statuses, faults = {}, []
                for _ in range(options.chains):
                    status, _, body = chain_call(mesh, depth)
                    text = body.decode(errors="replace")
                    faults += check_contexts(text)
                    last = text.rsplit("next ", 1)[-1].split()[0]
                    key = f"{status}/{last if depth > 1 else '-'}"
                    statuses[key] = statuses.get(key, 0) + 1
                executions_after, tries_after = read_counts(mesh)
                rows.append({
                    "leaf": leaf, "depth": depth, "calls": options.chains,
                    "statuses, caller/leaf": json.dumps(statuses),
                    "executions/call": (executions_after - executions)
                    / options.chains,
                    "executions/(call x depth)":
                    (executions_after - executions) / options.chains
                    / min(depth, 8),
                    "tries/(call x depth)": (tries_after - tries)
                    / options.chains / min(depth, 8),
                    "context faults": len(faults)})
                for fault in faults[:3]:
                    print(fault, file=sys.stderr)
    print_table("Chains of calls", rows)


def check_contexts(text):
    """Returns what is wrong with the contexts that upstreams report."""
    contexts = [dict(part.split("=") for part in line.split()[1].split(";"))
                for line in text.splitlines()
                if line.startswith("context id=")]
    faults = []
    for outer, inner in zip(contexts, contexts[1:]):
        for name in ("remaining_ms", "retries"):
            if int(inner[name]) > int(outer[name]):
                faults.append((name, outer, inner))
        if int(inner["depth"]) != int(outer["depth"]) + 1:
            faults.append(("depth", outer, inner))
    return faults


def main():
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build")
    parser.add_argument("--cases", default="load,faults,chain")
    parser.add_argument("--factors", default="0.5,1,1.5,3")
    parser.add_argument("--once-factors", default="0.8,1.2")
    parser.add_argument("--faults", default="healthy,upstream dead,node dead,"
                        "slow,lying,lying slow,cold")
    parser.add_argument("--fault-load", type=float, default=0.6)
    parser.add_argument("--chains", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--ip-base", type=int, default=60,
                        help="second octet of the addresses")
    parser.add_argument("--data")
    options = parser.parse_args()
    options.next_seed = options.seed
    print(f"{time.strftime('%Y-%m-%d %H:%M UTC', time.gmtime())}, "
          f"seed {options.seed}, {options.seconds:g} s a row, "
          f"{' '.join(sys.argv[1:])}")
    measures = {"load": measure_load, "faults": measure_faults,
                "chain": measure_chain}
    for case in options.cases.split(","):
        measures[case](options)


if __name__ == "__main__":
    main()
