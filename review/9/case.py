"""A process that starts again while the store is down uses a server again that
has left, on a heartbeat from before its departure."""

import asyncio
import os
import pathlib
import signal
import sys
import time
import traceback

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from mesh2 import Mesh, Server

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NETWORK = 89
SERVICES = ["stock", "orders", "orders", "stock"]
NODE = 1  # beside the server that leaves
HEARTBEAT_S = 1.5
DRAIN_S = 2.0
STABILITY_WINDOW_S = 3.0
# Times from the departure.
STORE_DOWN_S = -0.5
KILL_S = 0.2
RESTART_S = 0.5
LATE_HEARTBEAT_S = 1.5
STORE_BACK_S = 7.0
END_S = 8.0  # the server serves until then


class Clients:
    """Clients of the node; each sends one request after the other."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.stopped = False
        self.sent = {}  # id -> time
        self.tasks = [asyncio.create_task(self.run()) for _ in range(2)]

    async def run(self):
        while not self.stopped:
            now = time.monotonic()
            request_id, _, _, _ = await self.mesh.request(NODE, "/orders/x")
            self.sent[request_id] = now
            await asyncio.sleep(0.02)

    async def stop(self):
        self.stopped = True
        await asyncio.gather(*self.tasks)


async def start(mesh, servers):
    await mesh.start_store()
    for index, service in enumerate(SERVICES):
        await mesh.start_sidecar(index, service)
    for index, service in enumerate(SERVICES):
        servers.append(Server(mesh, index, f"i-{index}", service))
        await servers[-1].start()
    served = await mesh.await_served(NODE, "/orders/x")
    await asyncio.sleep(5)
    return served


async def deregister(mesh, server):
    """The server leaves without a draining heartbeat.  Returns whether that
    was acknowledged."""
    server.beats.cancel()
    server.state = "leaving"
    status = await mesh.control(server.ip, "Deregister", server.name,
                                {"born": server.born})
    server.acknowledged = time.monotonic()
    mesh.record.write(f"server {server.name} deregisters and gets {status}")
    return status == 200


async def until(moment):
    await asyncio.sleep(max(0, moment - time.monotonic()))


async def play(mesh, server):
    """Returns when the node's process started last, None when the departure
    was not acknowledged."""
    started = -float("inf")
    if TROUBLE:
        mesh.record.write("the store stops to answer")
        mesh.store.send_signal(signal.SIGSTOP)
    departure = time.monotonic() - STORE_DOWN_S
    late = server.heartbeat()
    mesh.record.write(f"heartbeat {late} of {server.name} is on its way")
    await until(departure)
    if not await deregister(mesh, server):
        return None
    if TROUBLE:
        await until(departure + KILL_S)
        mesh.send(NODE, signal.SIGKILL)
        await mesh.sidecars[NODE].wait()
        await until(departure + RESTART_S)
        await mesh.start_sidecar(NODE, SERVICES[NODE], first=False)
        started = time.monotonic()
    await until(departure + LATE_HEARTBEAT_S)
    status = await mesh.control(server.ip, "Heartbeat", server.name, late)
    mesh.record.write(f"heartbeat {late['Status']['Seq']} of {server.name} "
                      f"arrives and gets {status}")
    await until(departure + STORE_BACK_S)
    if TROUBLE:
        mesh.store.send_signal(signal.SIGCONT)
        mesh.record.write("the store answers again")
    await until(departure + END_S)
    return started


def judge(mesh, server, clients, started):
    """Returns whether the rule was broken: by requests that the node itself
    took and sent on, in a process that has run for StabilityWindowS."""
    late = [request_id for at, request_id in server.runs
            if at > server.acknowledged + DRAIN_S
            and clients.sent.get(request_id, -float("inf"))
            > started + STABILITY_WINDOW_S]
    text = (f"{len(server.runs)} requests ran at {server.name}; {len(late)} "
            f"of them were sent by clients of vm-{NODE} more than "
            f"{STABILITY_WINDOW_S} s after its process had started, and came "
            f"later than {DRAIN_S} s after it had acknowledged that the "
            "server is gone")
    mesh.record.write(text)
    print(text)
    return bool(late)


async def main():
    mesh = Mesh(FOLDER, NETWORK, "config 1 orders stock / /v1/", HEARTBEAT_S)
    servers = []
    try:
        if not await start(mesh, servers):
            return 2
        clients = Clients(mesh)
        await asyncio.sleep(2)
        started = await play(mesh, servers[NODE])
        servers[NODE].stop()
        await clients.stop()
        if started is None or not servers[NODE].runs:
            return 2
        return 1 if judge(mesh, servers[NODE], clients, started) else 0
    finally:
        for server in servers:
            server.stop()
        await mesh.stop()


try:
    code = asyncio.run(main())
except Exception:
    traceback.print_exc()
    code = 2
sys.exit(code)
