"""A server deregisters while the process beside it starts again.  Once that
is acknowledged, no request may reach the server later than DrainS (DRAIN)."""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from rig import BOUNDS, RESTART_DELAY_S, STORE_ANSWER_S, now, play  # noqa: E402

SLOTS = 12
WORK_S = 0.16
REQUESTS_PER_S = 40
RETRY_S = 0.1               # between two attempts of the server to deregister
SERVES_ON_S = 8.0           # after the acknowledgement
SLOW_ANSWER_S = 0.24        # platform_slow, x = 60
SLOW_S = 1.0                # 4.5 at most


async def leave(rig, server):
    """The server sends Deregister until it is acknowledged."""
    server.stop_heartbeats()
    while server.acknowledged is None:
        sent = now()
        status = await server.deregister()
        if status is not None:
            rig.note(f"server {server.name}: Deregister sent "
                     f"{sent - rig.started:.3f}, answered {status}")
        await asyncio.sleep(RETRY_S)


async def restart(rig, machine, number):
    machine.send(number)
    await machine.process.wait()
    await asyncio.sleep(RESTART_DELAY_S)
    await machine.start()


async def scenario(rig):
    await rig.store.start()
    rig.configure(7, [("/stock/", "safe", "kiosk-stock", 3.0)],
                  ["kiosk-stock"])
    for zone, region in [("medeu", "almaty"), ("bostandyk", "almaty"),
                         ("yesil", "astana"), ("saryarka", "astana")]:
        machine = rig.machine(zone, region, "kiosk-stock")
        server = rig.server(machine, "kiosk-stock",
                            lambda target: (WORK_S, b"x" * 1500), SLOTS)
        await asyncio.start_server(server.serve, *machine.app)
        await machine.start(first=True)
        server.start_heartbeats()
    await rig.all_ready()
    await asyncio.sleep(3)

    tasks = []
    stop = asyncio.Event()

    async def load():
        while not stop.is_set():
            tasks.append(asyncio.create_task(rig.request(
                random.choice(rig.machines),
                f"/stock/{random.randrange(10 ** 6)}", timeout=3.0)))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))

    loading = asyncio.create_task(load())
    await asyncio.sleep(4)
    machine, server = rig.machines[0], rig.servers[0]
    settled = now()
    if rig.trouble:
        rig.store.delay = SLOW_ANSWER_S
        rig.note(f"the store answers in {SLOW_ANSWER_S} s")
        slow_until = now() + SLOW_S
        leaving = asyncio.create_task(leave(rig, server))
        await restart(rig, machine, signal.SIGKILL)
        await leaving
        await asyncio.sleep(max(0, slow_until - now()))
        rig.store.delay = STORE_ANSWER_S
        rig.note("the store answers as usual")
        settled = now()
    else:
        await leave(rig, server)
    rig.note(f"server {server.name}: departure acknowledged at "
             f"{server.acknowledged - rig.started:.3f}")
    await asyncio.sleep(server.acknowledged + SERVES_ON_S - now())
    stop.set()
    await loading
    await asyncio.gather(*tasks)
    bound = server.acknowledged + BOUNDS["DrainS"]
    # The process has run, and the store is calm, for StabilityWindowS.
    in_touch = settled + BOUNDS["StabilityWindowS"]
    late = [run for run in rig.runs
            if run[1] is server and run[0] > max(bound, in_touch)]
    for at, _server, ident, method, target in late[:20]:
        rig.note(f"LATE: {method} {target} id {ident} reached the server "
                 f"{at - server.acknowledged:.3f} s after the "
                 f"acknowledgement, {at - settled:.3f} s after the last "
                 "disruption")
    rig.note(f"{len(rig.runs)} runs, {len(late)} later than DrainS after the "
             "acknowledged departure, from machines in touch")
    return not late


play(__file__, scenario)
