"""A node that is stopped and started again uses a server again that has left,
on a heartbeat from before its departure."""

import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from departure import NODE, deliver, deregister, restart, run_case, until

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_TRAVEL_S = 3.5  # of the late heartbeat
# Times from the departure.
STOP_S = 0.2
RESTART_DELAY_S = 0.3  # after the end of the process
END_S = 9.0  # the server serves until then


async def play(mesh, server):
    started = -float("inf")
    late = server.heartbeat()
    departure = time.monotonic()
    mesh.record.write(f"heartbeat {late} of {server.name} is on its way")
    if not await deregister(mesh, server):
        return None
    if TROUBLE:
        await until(departure + STOP_S)
        mesh.send(NODE, signal.SIGTERM)
        await mesh.sidecars[NODE].wait()
        mesh.record.write(f"sidecar vm-{NODE} has ended")
        await until(time.monotonic() + RESTART_DELAY_S)
        started = await restart(mesh)
    await until(departure + HEARTBEAT_TRAVEL_S)
    await deliver(mesh, server, late)
    await until(departure + END_S)
    return started


run_case(FOLDER, play)
