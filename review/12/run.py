"""DRAIN after a restart while the store turned the machine away; see
claim.txt."""

import asyncio
import os
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit-3"))
import kit

# 0: no disruption; "kill": only the loss of all processes; else both.
TROUBLE = os.environ.get("TROUBLE", "1")
NETWORK = int(os.environ.get("NETWORK", "111"))
MACHINES = 8
DRAIN_S = 2.0               # DrainS
IN_TOUCH_S = 3.0            # StabilityWindowS
STORE_AWAY_S = 4.5          # for which the store turns the machine away
CALM_S = 8.0                # between the two disruptions
LATE_S = 4.5                # the heartbeat arrives so long after it was sent
SERVES_ON_S = 11.0          # the server serves so long after its departure


async def client(mesh, machine, stop):
    while not stop.is_set():
        await asyncio.sleep(random.uniform(0.1, 0.3))
        await mesh.call(machine, "/desk/x", timeout_ms=1500)


async def restart(mesh, machine, away):
    """The platform restarts a node whose server goes on.  AWAY: the store
    turns the machine away from shortly before the new process on."""
    own = machine.store_address[0]
    machine.signal(signal.SIGTERM)
    await asyncio.sleep(mesh.grace_s - 1.5)
    if away:
        mesh.store.refuse = lambda ip: "busy" if ip == own else None
        mesh.record.say(f"the store turns {machine.name} away")
    lasts = asyncio.create_task(asyncio.sleep(STORE_AWAY_S))
    await machine.child.wait()
    await machine.start()
    await lasts
    if away:
        mesh.store.refuse = None
        mesh.record.say(f"the store serves {machine.name} again")


async def play(mesh):
    record = mesh.record
    for index in range(MACHINES):
        mesh.add(f"zone-{index % 2}", "region-a", "stock")
    mesh.config([{"PathPrefix": "/desk/", "RouteType": "safe",
                  "Service": "stock"}], ["stock"])
    await mesh.start()
    await mesh.start_machines()
    for machine in mesh.machines:
        await mesh.add_server(machine, f"i-{machine.index}")
    if not await mesh.await_ready():
        record.say("the nodes did not become ready")
        return 2
    stop = asyncio.Event()
    tasks = [asyncio.create_task(client(mesh, machine, stop))
             for machine in mesh.machines for _ in range(2)]
    await asyncio.sleep(5)
    machine = mesh.machines[int(os.environ.get("MACHINE", "5"))]
    server = mesh.servers[machine.index]
    await restart(mesh, machine, TROUBLE not in ("0", "kill"))
    await asyncio.sleep(CALM_S)
    server.beats = False
    server.seq += 1
    late = server.beat_body()  # sent now, and held up on its way
    if await server.deregister() != 200:
        record.say("the departure was not acknowledged")
        return 2
    left = server.acknowledged_at
    await asyncio.sleep(0.4)
    if TROUBLE != "0":
        record.say("all processes are killed")
        await asyncio.gather(*[each.kill() for each in mesh.machines])
        await asyncio.sleep(0.2)
        await mesh.start_machines()
    started = record.now()
    await asyncio.sleep(left + LATE_S - record.now())
    status = await server.post(f"/v1/Instances.Heartbeat/{server.name}", late)
    record.say(f"a heartbeat of {server.name} arrives {LATE_S} s late: "
               f"{status}")
    await asyncio.sleep(left + SERVES_ON_S - record.now())
    server.crash()
    record.line(f"{server.name} has ended")
    stop.set()
    await asyncio.sleep(2)
    for task in tasks:
        task.cancel()
    if any(each.ends for each in mesh.machines):
        return 2
    if sum(1 for run in mesh.runs if run.at > started + IN_TOUCH_S) < 50:
        record.say("too few requests ran")
        return 2
    broken = [run for run in mesh.runs if run.server is server
              and run.at > left + DRAIN_S and run.at > started + IN_TOUCH_S]
    record.say(f"{len(broken)} requests reached {server.name} later than "
               f"{DRAIN_S} s after its departure was acknowledged, from "
               "machines in touch"
               + (f"; the first {broken[0].at - left:.1f} s, the last "
                  f"{broken[-1].at - left:.1f} s after it" if broken else ""))
    record.say("DRAIN is broken" if broken else "DRAIN holds")
    return 1 if broken else 0


sys.exit(kit.main(play, HERE / "record.txt", NETWORK))
