"""Two servers that take orders, one of them with faults, and their clients."""

import asyncio
import sys
import traceback

from garbled import Garbled
from mesh2 import Mesh

CLIENT = 0
SERVERS = 2
CALLERS = 10
WORK_S = 0.15
SECONDS = 25  # of orders, where a case does not say otherwise
SETTLE_S = 5
LEAST_SERVED = 100  # orders; with fewer the case cannot run


async def place_orders(mesh, answers, end):
    """One client that places an order after the other."""
    while asyncio.get_running_loop().time() < end:
        request_id, status, _, body = await mesh.request(
            CLIENT, "/once/order", "POST", b"one crate")
        answers[request_id] = (status, body.decode("latin-1"))
        await asyncio.sleep(0.02)


async def play(folder, judge, faults, seconds):
    """Starts all processes, sends the orders, and returns the exit code.
    FAULTS are options of the first server."""
    mesh = Mesh(folder, "config 1 orders stock / /v1/", heartbeat_s=1.5)
    servers = []
    try:
        await mesh.start_store()
        await mesh.start_sidecar(CLIENT, "stock")
        for index in range(SERVERS):
            await mesh.start_sidecar(index + 1, "orders")
            servers.append(Garbled(mesh, index + 1, f"i-{index}", "orders",
                                   **(faults if index == 0 else {})))
            servers[-1].work_s = WORK_S
            await servers[-1].start()
        if not await mesh.await_served(CLIENT, "/orders/x"):
            return 2
        await asyncio.sleep(SETTLE_S)
        answers = {}
        end = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(*[place_orders(mesh, answers, end)
                               for _ in range(CALLERS)])
        await asyncio.sleep(1)
        served = sum(status == 200 for status, _ in answers.values())
        if served < LEAST_SERVED:
            return 2
        return 1 if judge(mesh, servers, answers) else 0
    finally:
        for server in servers:
            server.stop()
        await mesh.stop()


def run_case(folder, judge, faults, seconds=SECONDS):
    try:
        code = asyncio.run(play(folder, judge, faults, seconds))
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
