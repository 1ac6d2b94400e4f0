"""Callers that keep connections open and judge what they receive."""

import asyncio
import itertools
import time

from mesh import PORTS

TIMEOUT_MS = 1000
IDS = itertools.count(1)  # of all requests of this process
PROMISES = (503, 429, 408, 421)  # the request has not run and never will


class Outcome:
    """What became of one request."""

    def __init__(self, request_id, vm, path, sent):
        self.id = request_id
        self.vm = vm
        self.path = path
        self.once = path.startswith("/once/")
        self.sent = sent
        self.ended = None
        self.status = None  # None: no answer
        self.closed = False  # the connection ended without an answer
        self.wrong = None


class Callers:
    """A number of callers at each VM."""

    def __init__(self, mesh, rnd, each):
        self.mesh = mesh
        self.rnd = rnd
        self.outcomes = []
        self.stopped = False
        self.tasks = [asyncio.create_task(self._run(vm))
                      for vm in mesh.vms for _ in range(each)]

    async def stop(self):
        # wait_for of Python before 3.12 may lose a cancellation that comes as
        # its inner call ends, so the tasks look at `stopped` too.
        self.stopped = True
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _path(self):
        service = self.rnd.choice(["orders", "stock", "once"])
        return f"/{service}/item"

    async def _run(self, vm):
        connection = None
        while not self.stopped:
            await asyncio.sleep(self.rnd.uniform(0.01, 0.08))
            try:
                if connection is None:
                    connection = await asyncio.wait_for(
                        asyncio.open_connection(vm.ip, PORTS["calls"]), 1)
                if not await self.call(vm, connection, self._path()):
                    connection[1].close()
                    connection = None
            except (OSError, asyncio.TimeoutError):
                connection = None
                await asyncio.sleep(0.1)

    async def call(self, vm, connection, path):
        """Sends one request; returns whether the connection can be kept."""
        outcome = Outcome(f"{next(IDS):08x}", vm, path, time.monotonic())
        self.outcomes.append(outcome)
        names = self.mesh.names
        method = "POST" if outcome.once else "GET"
        connection[1].write(
            f"{method} {path} HTTP/1.1\r\nHost: {names['host']}\r\n"
            f"{names['id']}: {outcome.id}\r\n"
            f"{names['timeout_ms']}: {TIMEOUT_MS}\r\n"
            "Content-Length: 0\r\n\r\n".encode())
        try:
            kept = await asyncio.wait_for(
                self._read(connection[0], outcome), TIMEOUT_MS / 1000 + 1)
        except asyncio.TimeoutError:
            kept = False
        outcome.ended = time.monotonic()
        return kept

    async def _read(self, reader, outcome):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            lines = head.split("\r\n")
            fields = {name.lower(): value.strip() for name, _, value in
                      (line.partition(":") for line in lines[1:] if line)}
            body = await reader.readexactly(int(fields["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            outcome.closed = True
            return False
        outcome.status = int(lines[0].split()[1])
        if outcome.status == 200 and body.decode() != outcome.id:
            outcome.wrong = f"body {body[:40]!r}"
        named = fields.get(self.mesh.names["id"].lower())
        if named not in (None, outcome.id):
            outcome.wrong = f"an answer to request {named}"
        return fields.get("connection", "").lower() != "close"
