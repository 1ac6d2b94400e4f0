"""A server falls silent; after ReuseAfterS its address goes to a server of
another service.  No server may run a request of another service (ROUTE)."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from rig import BOUNDS, now, play  # noqa: E402

SLOTS = 12
ORDER_S, LEDGER_S = 0.21, 0.04      # work of the two kinds of request
ORDER_DEADLINE_S, LEDGER_DEADLINE_S = 4.0, 0.5
ORDERS_PER_S, LEDGERS_PER_S = 40, 40
ALLOWED = {"/order/": "order-desk", "/ledger/": "order-desk",
           "/stock/": "kiosk-stock"}


class Place:
    """The address of a server.  A connection belongs to the server that had
    the address when it was opened; one of a dark server gets no answer."""

    def __init__(self, server):
        self.server = server
        self.dark = set()

    async def serve(self, reader, writer):
        server = self.server
        if server in self.dark:
            await asyncio.sleep(3600)
        await server.serve(reader, writer)


def work(target):
    seconds = ORDER_S if target.startswith("/order/") else LEDGER_S
    return seconds, b"x" * 1500


async def scenario(rig):
    await rig.store.start()
    zones = [("medeu", "almaty"), ("bostandyk", "almaty"),
             ("medeu", "almaty"), ("bostandyk", "almaty")]
    services = ["order-desk", "order-desk", "kiosk-stock", "kiosk-stock"]
    rig.configure(7, [("/order/", "unsafe", "order-desk", ORDER_DEADLINE_S),
                      ("/ledger/", "safe", "order-desk", LEDGER_DEADLINE_S),
                      ("/stock/", "safe", "kiosk-stock", 3.0)],
                  ["order-desk", "kiosk-stock"])
    places = []
    for (zone, region), service in zip(zones, services):
        machine = rig.machine(zone, region, service)
        server = rig.server(machine, service, work, SLOTS)
        place = Place(server)
        places.append(place)
        await asyncio.start_server(place.serve, *machine.app)
        await machine.start(first=True)
        server.start_heartbeats()
    await rig.all_ready()
    await asyncio.sleep(3)

    tasks = []

    async def load(prefix, method, rate, deadline, end):
        while now() < end:
            machine = random.choice(rig.machines)
            tasks.append(asyncio.create_task(rig.request(
                machine, f"{prefix}{random.randrange(10 ** 6)}", method,
                b"y" * 4000 if method == "POST" else b"", deadline)))
            await asyncio.sleep(random.expovariate(rate))

    end = now() + 12
    loads = [asyncio.create_task(load("/order/", "POST", ORDERS_PER_S,
                                      ORDER_DEADLINE_S, end)),
             asyncio.create_task(load("/ledger/", "GET", LEDGERS_PER_S,
                                      LEDGER_DEADLINE_S, end))]
    await asyncio.sleep(3)
    if rig.trouble:
        old = places[0].server
        places[0].dark.add(old)
        old.stop_heartbeats()
        old.work = lambda target: (3600, b"")
        rig.note(f"server {old.name} of {old.service} falls silent")
        await asyncio.sleep(BOUNDS["ReuseAfterS"] + 0.2)
        new = rig.server(rig.machines[0], "kiosk-stock", work, SLOTS)
        places[0].server = new
        rig.machines[0].service = new.service
        rig.machines[0].write_settings()
        new.start_heartbeats()
        rig.note(f"server {new.name} of {new.service} has its address")
    await asyncio.gather(*loads)
    await asyncio.gather(*tasks)
    wrong = [run for run in rig.runs
             if ALLOWED["/" + run[4].split("/")[1] + "/"] != run[1].service]
    for at, server, ident, method, target in wrong:
        rig.note(f"WRONG at {at - rig.started:.3f}: {method} {target} id "
                 f"{ident} run by {server.name} of {server.service}")
    rig.note(f"{len(rig.runs)} runs, {len(wrong)} by a service that no "
             "configuration allows")
    return not wrong


play(__file__, scenario)
