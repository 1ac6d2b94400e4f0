"""A server that deregisters and serves on for some seconds, and what its node
sends it after that."""

import asyncio
import sys
import time
import traceback

from mesh2 import Mesh, Server

SERVICES = ["stock", "orders", "orders", "stock"]
NODE = 1  # beside the server that leaves
HEARTBEAT_S = 1.5
DRAIN_S = 2.0
STABILITY_WINDOW_S = 3.0
SETTLE_S = 5


class Clients:
    """Clients of the node; each sends one request after the other while the
    node is ready."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.stopped = False
        self.sent = {}  # id -> time
        self.tasks = [asyncio.create_task(self.run()) for _ in range(2)]

    async def run(self):
        while not self.stopped:
            if not await self.mesh.ready(NODE):
                await asyncio.sleep(0.1)
                continue
            now = time.monotonic()
            request_id, _, _, _ = await self.mesh.request(NODE, "/orders/x")
            self.sent[request_id] = now
            await asyncio.sleep(0.02)

    async def stop(self):
        self.stopped = True
        await asyncio.gather(*self.tasks)


async def until(moment):
    await asyncio.sleep(max(0, moment - time.monotonic()))


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


async def deliver(mesh, server, heartbeat):
    """A heartbeat arrives that the server sent earlier."""
    status = await mesh.control(server.ip, "Heartbeat", server.name, heartbeat)
    mesh.record.write(f"heartbeat {heartbeat['Status']['Seq']} of "
                      f"{server.name}, ready, arrives and gets {status}")


async def restart(mesh):
    """Starts the node's process again.  Returns when."""
    await mesh.start_sidecar(NODE, SERVICES[NODE], first=False)
    return time.monotonic()


async def start(mesh, servers):
    await mesh.start_store()
    for index, service in enumerate(SERVICES):
        await mesh.start_sidecar(index, service)
    for index, service in enumerate(SERVICES):
        servers.append(Server(mesh, index, f"i-{index}", service))
        await servers[-1].start()
    served = await mesh.await_served(NODE, "/orders/x")
    await asyncio.sleep(SETTLE_S)
    return served


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


async def run(folder, play):
    mesh = Mesh(folder, "config 1 orders stock / /v1/", HEARTBEAT_S)
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


def run_case(folder, play):
    """PLAY takes the mesh and the server, and returns when the process of the
    node started last, or None when the departure was not acknowledged."""
    try:
        code = asyncio.run(run(folder, play))
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
