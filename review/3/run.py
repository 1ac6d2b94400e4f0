"""A server's departure is acknowledged while the store is away; then many
processes are killed at once.  After that no request may reach the server
(DRAIN)."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from rig import BOUNDS, RESTART_DELAY_S, now, play  # noqa: E402

SLOTS = 12
WORK_S = 0.16
REQUESTS_PER_S = 40
STORE_DOWN_S = 3.0          # 4.5 at most
SERVES_ON_S = 9.5           # the server, after the acknowledgement


async def leave(rig, server):
    server.stop_heartbeats()
    while server.acknowledged is None:
        sent = now()
        status = await server.deregister()
        rig.note(f"server {server.name}: Deregister sent "
                 f"{sent - rig.started:.3f}, answered {status}")
        await asyncio.sleep(0.1)


async def restart(machine):
    await machine.kill()
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
    server = rig.servers[0]
    settled = now()
    if rig.trouble:
        rig.store.mode = "silent"
        rig.note("the store is down (silent)")
        back = now() + STORE_DOWN_S
        await asyncio.sleep(0.3)
        await leave(rig, server)
        await asyncio.sleep(0.5)
        await asyncio.gather(*[restart(machine) for machine in rig.machines])
        await asyncio.sleep(max(0, back - now()))
        rig.store.wake()
        rig.note("the store is back")
        settled = now()
    else:
        await leave(rig, server)
    await asyncio.sleep(server.acknowledged + SERVES_ON_S - now())
    stop.set()
    await loading
    await asyncio.gather(*tasks)
    bound = max(server.acknowledged + BOUNDS["DrainS"],
                settled + BOUNDS["StabilityWindowS"])
    late = [run for run in rig.runs if run[1] is server and run[0] > bound]
    for at, _server, ident, method, target in late[:20]:
        rig.note(f"LATE: {method} {target} id {ident} reached the server "
                 f"{at - server.acknowledged:.3f} s after the "
                 f"acknowledgement, {at - settled:.3f} s after the last "
                 "disruption")
    rig.note(f"{len(rig.runs)} runs, {len(late)} later than DrainS after the "
             "acknowledged departure, from machines in touch")
    return not late


play(__file__, scenario)
