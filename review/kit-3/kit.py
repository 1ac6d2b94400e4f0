"""Stand-ins of the users' platform for the cases of this review: the store, the
application servers, the clients, and the machines with the project's own node
processes.  All addresses are loopback addresses; all run on the real clock.

The stand-ins follow PROTOCOL.md: a sound store, sound servers, sound clients.
What a case changes about them is set in the case's own script.
"""

import asyncio
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = pathlib.Path(os.environ.get(
    "MULBERRYSHIFT", ROOT / "target" / "mulberryshift"))
ID = "X-Mulberryshift-Request-Id"
TIMEOUT = "X-Mulberryshift-Timeout-Ms"
SIGNATURE = "X-Mulberryshift-Server-Signature"
TARGET = "X-Mulberryshift-Target-Instance"
NOT_EXECUTED = "X-Mulberryshift-Not-Executed"
INSTANCE = "X-Mulberryshift-Instance-Id"
TENANT = "X-Mulberryshift-Tenant-Id"
HOST = "case.example"
HISTORY_S = 20.0


class Record:
    """record.txt: what was sent, answered and run, with seconds from start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


async def read_head(reader):
    """Returns the first line and the fields of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.setdefault(name.strip().lower(), value.strip())
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
            body += part
    length = int(fields.get("content-length", 0))
    return await reader.readexactly(length) if length else b""


def reset(writer):
    peer = writer.get_extra_info("socket")
    if peer is not None:
        try:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Store:
    """The platform's metadata store."""

    def __init__(self, record, delay=0.004):
        self.record = record
        self.delay = delay
        self.objects = {}    # kind -> name -> object
        self.events = []     # (revision, time, kind, deleted, object)
        self.revision = 100
        self.dropped = 0     # history up to this revision is gone
        self.era = 1
        self.changed = asyncio.Event()
        # callable(address of the store as the caller knows it) -> None, "busy",
        # "reset" or "silent"
        self.refuse = None
        self.lose = None     # callable(method, kind) -> whether to lose it
        self.calls = 0
        self.writers = set()

    async def start(self, addresses):
        """Listens at one address for each machine, by which the machines are
        told apart."""
        self.listeners = [await asyncio.start_server(self._serve, *address)
                          for address in addresses]

    def _note(self, kind, thing, deleted):
        self.events.append((self.revision, time.monotonic(), kind, deleted,
                            json.loads(json.dumps(thing))))
        now = time.monotonic()
        while self.events and self.events[0][1] < now - HISTORY_S:
            self.dropped = self.events.pop(0)[0]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec=None, status=None):
        """Writes as the operator does."""
        kinds = self.objects.setdefault(kind, {})
        self.revision += 1
        thing = kinds.get(name)
        if thing is None:
            thing = {"Metadata": {"Name": name, "CreatedRev": self.revision,
                                  "Finalizers": [], "Deleting": False},
                     "Spec": None, "Status": None}
            kinds[name] = thing
        if spec is not None:
            thing["Spec"] = spec
        if status is not None:
            thing["Status"] = status
        thing["Metadata"]["Revision"] = self.revision
        self._note(kind, thing, False)
        return thing

    def remove(self, kind, name):
        thing = self.objects.get(kind, {}).pop(name, None)
        if thing is not None:
            self.revision += 1
            thing["Metadata"]["Revision"] = self.revision
            self._note(kind, thing, True)

    def copy(self):
        return (json.loads(json.dumps(self.objects)), self.revision)

    def restore(self, copy):
        """Comes back from a copy: revisions go back, the era rises."""
        self.objects, self.revision = json.loads(json.dumps(copy[0])), copy[1]
        self.events = []
        self.dropped = self.revision
        self.era += 1
        for writer in list(self.writers):
            reset(writer)

    def get(self, kind, name):
        return self.objects.get(kind, {}).get(name)

    async def _serve(self, reader, writer):
        ip = writer.get_extra_info("sockname")[0]
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                self.calls += 1
                mode = self.refuse(ip) if self.refuse else None
                if mode == "silent":
                    await asyncio.sleep(3600)
                if mode == "reset":
                    reset(writer)
                    return
                if mode == "busy":
                    status, reply = 503, {}
                else:
                    status, reply = await self._handle(line, body, ip)
                if status is None:
                    await asyncio.sleep(3600)
                text = json.dumps(reply).encode()
                if self.delay:
                    await asyncio.sleep(self.delay)
                writer.write(f"HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n"
                             "Content-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode()
                             + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, line, body, ip):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(p) for p in path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        kinds = self.objects.setdefault(kind, {})
        if method == "GET" and name is None:
            if "Watch" in query:
                return await self._watch(kind, query)
            return 200, {"items": [kinds[n] for n in sorted(kinds)
                                   if n > query.get("after", "")],
                         "More": False, "AsOf": self.revision}
        if method == "GET":
            return (200, kinds[name]) if name in kinds else (404, {})
        data = json.loads(body) if body else {}
        revision = data.get("Metadata", {}).get("Revision",
                                                query.get("Revision"))
        if method == "POST":
            name = data["Metadata"]["Name"]
        old = kinds.get(name)
        lost = self.lose is not None and self.lose(method, kind, name, ip)
        if method == "POST" and old is not None:
            return 409, old
        if method in ("PUT", "DELETE") and old is None:
            return 404, {}
        if (old is not None and revision is not None
                and int(revision) != old["Metadata"]["Revision"]):
            return 409, old
        if method == "DELETE":
            self.record.line(f"store delete {kind}/{name} by {ip}")
            self.remove(kind, name)
            return (None if lost else 200), old
        if len(parts) > 2 and parts[2] == "status":
            if old["Status"] == data.get("Status"):
                return (None if lost else 200), old
            thing = self.put(kind, name, status=data.get("Status"))
        else:
            if old is not None and old["Spec"] == data.get("Spec"):
                return (None if lost else 200), old
            thing = self.put(kind, name, spec=data.get("Spec"))
        self.record.line(f"store write {kind}/{name} by {ip} revision "
                         f"{self.revision}: "
                         f"{json.dumps(data.get('Status') or data.get('Spec'))[:400]}")
        return (None if lost else 200), thing

    async def _watch(self, kind, query):
        revision = int(query["Watch"])
        end = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            if revision < self.dropped or revision > self.revision:
                return 410, {}
            found = [e for e in self.events if e[0] > revision and e[2] == kind]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": [{"Object": e[4], "Deleted": e[3]}
                                        for e in found], "AsOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Run:
    """One request that a server began to work on."""

    def __init__(self, at, server, request_id, tenant, line, fields):
        self.at, self.server, self.id = at, server, request_id
        self.tenant, self.line, self.fields = tenant, line, fields


class Server:
    """An application server beside a node."""

    def __init__(self, mesh, machine, name, service, slots=6, work_s=0.02,
                 version="v1", port="server"):
        self.mesh, self.machine = mesh, machine
        self.name, self.service, self.slots = name, service, slots
        self.work_s, self.version = work_s, version
        self.address = (machine.ip, machine.ports[port])
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.running = 0
        self.queue = 24
        self.waiting = []
        self.acknowledged_at = None
        self.answer = None   # coroutine(run, writer) -> True when it answered
        self.beats = True
        self.ended = False
        self.arrivals = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.beating = asyncio.create_task(self._beat())

    def crash(self):
        self.ended = True
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    def beat_body(self, state=None, seq=None):
        return {"Address": "%s:%d" % self.address, "born": self.born,
                "Info": {"Service": self.service, "Version": self.version,
                         "Zone": self.machine.zone, "Slots": self.slots},
                "Status": {"State": state or self.state,
                           "Seq": self.seq if seq is None else seq,
                           "ColdLeftS": 0}}

    async def post(self, path, body):
        """Returns the status, None without an answer within a second."""
        try:
            return await asyncio.wait_for(self._post(path, body), 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def _post(self, path, body):
        reader, writer = await asyncio.open_connection(
            self.machine.ip, self.machine.ports["control"])
        text = json.dumps(body).encode()
        writer.write(f"POST {path} HTTP/1.1\r\nHost: node\r\n"
                     "Content-Type: application/json\r\n"
                     f"Content-Length: {len(text)}\r\n"
                     "Connection: close\r\n\r\n".encode() + text)
        try:
            line, fields = await read_head(reader)
            await read_body(reader, fields)
        finally:
            writer.close()
        return int(line.split()[1])

    async def _beat(self):
        while not self.ended:
            if self.beats:
                self.seq += 1
                status = await self.post(
                    f"/v1/Instances.Heartbeat/{self.name}", self.beat_body())
                if (self.state == "draining" and status == 200
                        and self.acknowledged_at is None):
                    self.acknowledged_at = self.mesh.record.now()
                    self.mesh.record.line(f"{self.name} draining acknowledged")
            await asyncio.sleep(self.mesh.beat_s)

    async def deregister(self):
        self.beats = False
        self.state = "draining"
        status = await self.post(f"/v1/Instances.Deregister/{self.name}",
                                 {"born": self.born})
        if status == 200 and self.acknowledged_at is None:
            self.acknowledged_at = self.mesh.record.now()
        self.mesh.record.line(f"{self.name} deregister: {status}")
        return status

    def _say(self, writer, status, body, *fields):
        writer.write((f"HTTP/1.1 {status} X\r\n" + "".join(
            f"{field}\r\n" for field in fields)
            + f"Content-Length: {len(body)}\r\n\r\n").encode() + body)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                if not await self._handle(line, fields, body, writer):
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, line, fields, body, writer):
        request_id = fields.get(ID.lower(), "")
        echo = f"{ID}: {request_id}"
        path = line.split(" ")[1]
        if path == "/health":
            self._say(writer, 200 if self.state == "ready" else 503, b"",
                      f"{INSTANCE}: {self.name}")
            return True
        self.arrivals += 1
        target = fields.get(TARGET.lower())
        if target is not None and target != self.name:
            self._say(writer, 421, b"", echo, f"{INSTANCE}: {self.name}")
            return True
        if self.running >= self.slots:
            if len(self.waiting) >= self.queue:
                self._say(writer, 503, b"", echo, f"{NOT_EXECUTED}: 1")
                return True
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            await turn
        else:
            self.running += 1
        run = Run(self.mesh.record.now(), self, request_id,
                  fields.get(TENANT.lower()), line, fields)
        run.body = body
        self.mesh.runs.append(run)
        self.mesh.record.line(f"run {request_id} at {self.name} "
                              f"{line.split(' ')[0]} {path}"
                              + (f" tenant {run.tenant}" if run.tenant else ""))
        try:
            if self.answer is not None and await self.answer(run, writer):
                return not writer.is_closing()
            query = urllib.parse.parse_qs(path.partition("?")[2])
            await asyncio.sleep(float(query["work"][0]) if "work" in query
                                else self.work_s)
        finally:
            if self.waiting:
                self.waiting.pop(0).set_result(None)
            else:
                self.running -= 1
        extra = ["Connection: close"] if self.state != "ready" else []
        self._say(writer, 200, f"{self.name} {request_id}".encode(), echo,
                  f"{SIGNATURE}: {self.name}.{request_id}",
                  "Keep-Alive: timeout=10", *extra)
        return not extra


class Machine:
    """One machine: a node process and the addresses around it."""

    def __init__(self, mesh, index, zone, region, service, memory_mb=260):
        self.mesh, self.index = mesh, index
        self.zone, self.region, self.service = zone, region, service
        self.name = f"m-{index}"
        self.ip = f"127.{mesh.network}.0.{index + 1}"
        names = ["calls", "links", "ready", "control", "metrics", "server",
                 "store", "server2"]
        self.ports = {name: 8401 + i for i, name in enumerate(names)}
        self.memory_mb = memory_mb
        self.settings = mesh.folder / f"{self.name}.toml"
        self.child = None
        self.ends = []   # exit codes of processes that ended by themselves
        self.first = True
        self.log = mesh.folder / f"{self.name}.log"
        self.store_address = (f"127.{mesh.network}.9.{index + 1}", 8400)
        self.expected_end = False

    def write_settings(self):
        store = "%s:%d" % self.store_address
        self.settings.write_text(f"""[node]
name = "{self.name}"
data_centre = "{self.zone}"
region = "{self.region}"
service = "{self.service}"
{'first_start = true' if self.first else ''}
memory_mb = {self.memory_mb}
cores = 0.2
link_mbps = 1000.0

[listen]
calls = "{self.ip}:{self.ports['calls']}"
links = "{self.ip}:{self.ports['links']}"
ready = "{self.ip}:{self.ports['ready']}"
control = "{self.ip}:{self.ports['control']}"
metrics = "{self.ip}:{self.ports['metrics']}"

[upstream]
address = "{self.ip}:{self.ports['server']}"
heartbeat_s = {self.mesh.beat_s}

[platform]
address = "{store}"

[limits]
grace_s = {self.mesh.grace_s}
retry_ratio = 0.2
retry_slack = 56
retry_window_s = 10

{self.mesh.extra_settings}""")

    async def start(self):
        self.write_settings()
        self.expected_end = False
        log = open(self.log, "ab")
        self.child = await asyncio.create_subprocess_exec(
            str(PROGRAM), "sidecar", "--settings", str(self.settings),
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            cwd=self.mesh.folder)
        log.close()
        self.mesh.children.append(self.child)
        self.mesh.record.line(f"start {self.name} pid {self.child.pid}")
        self.first = False
        asyncio.create_task(self._await_end(self.child))

    async def _await_end(self, child):
        code = await child.wait()
        if not self.expected_end and child is self.child:
            self.ends.append(code)
            self.mesh.record.say(f"{self.name} ended by itself with code {code}")

    def signal(self, number):
        self.mesh.record.line(f"signal {signal.Signals(number).name} to "
                              f"{self.name}")
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.expected_end = True
        try:
            self.child.send_signal(number)
        except ProcessLookupError:
            pass

    async def kill(self):
        if self.child is not None and self.child.returncode is None:
            self.signal(signal.SIGKILL)
            await self.child.wait()

    async def ready(self):
        try:
            status, _, _ = await asyncio.wait_for(raw_call(
                (self.ip, self.ports["ready"]),
                b"GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n"), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


async def raw_call(address, text):
    """Sends TEXT on a new connection and returns status, fields and body."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(text)
        line, fields = await read_head(reader)
        return int(line.split()[1]), fields, await read_body(reader, fields)
    finally:
        writer.close()


class Answer:
    """What a client got: status None stands for a connection that ended
    without a whole answer, "timeout" for none in time."""

    def __init__(self, request_id, sent):
        self.id, self.sent = request_id, sent
        self.status = None
        self.fields, self.body, self.ended = {}, b"", None


class Mesh:
    def __init__(self, record, network, beat_s=0.5, grace_s=6):
        self.record = record
        self.network = network
        self.beat_s, self.grace_s = beat_s, grace_s
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.store = Store(record)
        self.machines = []
        self.servers = []
        self.runs = []
        self.answers = []
        self.ids = itertools.count(1)
        self.version = 0
        self.extra_settings = ""
        self.children = []

    def add(self, zone, region, service, **options):
        machine = Machine(self, len(self.machines), zone, region, service,
                          **options)
        self.machines.append(machine)
        return machine

    def config(self, routes, services, tenants=(), limits=None):
        """Writes the next version; returns its number."""
        self.version += 7
        entries = [{"EntryType": "Routes", "Metadata": {"Name": f"r-{i}"},
                    "Spec": dict({"Host": HOST, "TimeoutS": 2,
                                  "TargetLatencyS": 0.5, "Priority": 1,
                                  "MaxAttempts": 2}, **route)}
                   for i, route in enumerate(routes)]
        entries += [{"EntryType": "Services", "Metadata": {"Name": name},
                     "Spec": {"HealthPath": "/health", "MaxConnections": 110,
                              "Protocol": "h1", "Tls": False}}
                    for name in services]
        entries += [{"EntryType": "Tenants", "Metadata": {"Name": name},
                     "Spec": spec} for name, spec in tenants]
        entries.append({"EntryType": "Limits", "Metadata": {},
                        "Spec": limits or {"MaxHeaderBytes": 16384,
                                           "MaxBodyBytes": 67108864,
                                           "HeaderTimeoutS": 3,
                                           "IdleTimeoutS": 15}})
        self.store.put("config", "main", {"Version": self.version,
                                          "Resources": entries})
        self.record.line(f"config version {self.version}")
        return self.version

    async def start(self):
        await self.store.start([machine.store_address
                                for machine in self.machines])

    async def start_machines(self):
        for machine in self.machines:
            await machine.start()

    async def add_server(self, machine, name, **options):
        server = Server(self, machine, name, options.pop(
            "service", machine.service), **options)
        await server.start()
        self.servers.append(server)
        return server

    async def await_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            ready = await asyncio.gather(*[m.ready() for m in self.machines])
            if all(ready):
                return True
            await asyncio.sleep(0.1)
        return False

    async def call(self, machine, path, method="GET", body=b"", key=None,
                   timeout_ms=2000, fields=(), connection=None, quiet=False,
                   request_id=None):
        """One client attempt, on a new connection unless one is given."""
        answer = Answer(request_id or f"{next(self.ids):06x}c",
                        self.record.now())
        answer.machine, answer.path, answer.method = machine, path, method
        answer.key = key
        self.answers.append(answer)
        text = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"{ID}: {answer.id}\r\n{TIMEOUT}: {timeout_ms}\r\n"
                + (f"Authorization: Token {key}\r\n" if key else "")
                + "".join(f"{field}\r\n" for field in fields)
                + f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        own = connection is None
        try:
            if own:
                connection = await asyncio.wait_for(asyncio.open_connection(
                    machine.ip, machine.ports["calls"]), 1)
            connection[1].write(text)
            line, answer.fields = await asyncio.wait_for(
                read_head(connection[0]), timeout_ms / 1000)
            answer.body = await asyncio.wait_for(
                read_body(connection[0], answer.fields), timeout_ms / 1000)
            answer.status = int(line.split()[1])
        except asyncio.TimeoutError:
            answer.status = "timeout"
        except (OSError, asyncio.IncompleteReadError):
            answer.status = None
        finally:
            answer.ended = self.record.now()
            if own and connection is not None:
                connection[1].close()
        if not quiet:
            self.record.line(f"answer {answer.id} {method} {path} at "
                             f"{machine.name}: {answer.status} "
                             f"(sent {answer.sent:.3f})"
                             + ("" if SIGNATURE.lower() in answer.fields
                                else f" own {answer.body[:60]!r}"))
        return answer

    async def stop(self):
        for machine in self.machines:
            await machine.kill()
        for child in self.children:
            if child.returncode is None:
                child.kill()
                await child.wait()
        for server in self.servers:
            if not server.ended:
                server.crash()

    def remove_folder(self):
        shutil.rmtree(self.folder, ignore_errors=True)


def main(play, record_path, network, **options):
    """Plays a case and ends all its processes.  Returns its exit code."""
    async def run():
        # A case that is stopped from outside ends its processes, too.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        record = Record(record_path)
        mesh = Mesh(record, network, **options)
        try:
            return await asyncio.wait_for(play(mesh), 115)
        except (asyncio.TimeoutError, OSError) as error:
            record.say(f"the case could not run: {error!r}")
            return 2
        finally:
            await mesh.stop()
            record.close()
            if not os.environ.get("KEEP_LOGS"):
                mesh.remove_folder()

    if not PROGRAM.exists():
        print(f"{PROGRAM} is missing; build deploy/system.toml first")
        return 2
    return asyncio.run(run())
