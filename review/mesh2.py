"""Stand-ins for the cases of the second review: servers, clients and the
processes of a small deployment on loopback addresses.

The store is the project's own standin-mesh_store.  Servers and clients are
written here after PROTOCOL.md.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = os.environ.get("PROGRAM", "target/mulberryshift")
STORE = os.environ.get("STORE", "target/standin-mesh_store")
ID = "X-Mulberryshift-Request-Id"
TIMEOUT = "X-Mulberryshift-Timeout-Ms"
SIGNATURE = "X-Mulberryshift-Server-Signature"
TARGET = "X-Mulberryshift-Target-Instance"
NOT_RUN = "X-Mulberryshift-Not-Executed"
INSTANCE = "X-Mulberryshift-Instance-Id"
PORTS = range(8101, 8107)
STORE_PORT = 8300
MAX_MACHINES = 4
SETTINGS = """[node]
name = "vm-{index}"
data_centre = "{centre}"
region = "near"
service = "{service}"
first_start = {first}
memory_mb = {memory}
cores = 0.2
link_mbps = 1000.0
[listen]
calls = "{ip}:8101"
links = "{ip}:8102"
ready = "{ip}:8103"
control = "{ip}:8104"
metrics = "{ip}:8105"
[upstream]
address = "{ip}:8106"
heartbeat_s = {heartbeat}
[platform]
address = "{store}"
[limits]
grace_s = 6.0
retry_ratio = 0.2
retry_slack = 56
retry_window_s = 10
"""


async def read_message(reader):
    """Returns the first line, the header fields and the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return lines[0], fields, body


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        now = time.monotonic() - self.start
        self.file.write(f"{now:9.3f} s  {text}\n")
        self.file.flush()


class Server:
    """An application server after PROTOCOL.md."""

    def __init__(self, mesh, index, name, service, port=8106, slots=6,
                 work_s=0.03):
        self.mesh = mesh
        self.ip = mesh.ip_of(index)
        self.port = port
        self.name = name
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.runs = []  # (time, id)
        self.acknowledged = None
        self.beats = None
        self.listener = None
        self.heartbeat_s = mesh.heartbeat_s
        self.tasks = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.ip,
                                                   self.port)
        self.beats = asyncio.create_task(self.beat())
        self.mesh.record.write(f"server {self.name} ({self.service}) starts")

    def heartbeat(self):
        self.sequence += 1
        return {"Address": f"{self.ip}:{self.port}", "born": self.born,
                "Info": {"Service": self.service, "Version": "v1",
                         "Zone": "a", "Slots": self.slots},
                "Status": {"State": self.state, "Seq": self.sequence,
                           "ColdLeftS": 0}}

    async def beat(self):
        while True:
            leaving = self.state == "draining"
            try:
                status = await self.mesh.control(self.ip, "Heartbeat",
                                                 self.name, self.heartbeat())
            except (OSError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                status = None
            if leaving and status == 200 and self.acknowledged is None:
                self.acknowledged = time.monotonic()
                self.mesh.record.write(
                    f"server {self.name}: its leaving is acknowledged")
            await asyncio.sleep(self.heartbeat_s)

    def drain(self):
        self.mesh.record.write(f"server {self.name} says that it leaves")
        self.state = "draining"
        self.beats.cancel()
        self.beats = asyncio.create_task(self.beat())

    def stop(self):
        if self.beats is not None:
            self.beats.cancel()
        if self.listener is not None:
            self.listener.close()
        for task in self.tasks:
            task.cancel()

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                line, fields, body = await read_message(reader)
                await self.handle(line, fields, body, writer)
        except (asyncio.IncompleteReadError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()

    def answer(self, writer, status, body, fields=(), request_id=None):
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}",
                 "Keep-Alive: timeout=10"]
        if request_id is not None:
            lines.append(f"{ID}: {request_id}")
        lines += [f"{name}: {value}" for name, value in fields]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def handle(self, line, fields, body, writer):
        target = line.split(" ")[1]
        request_id = fields.get(ID.lower())
        if target == "/health":
            self.answer(writer, 200 if self.state == "ready" else 503, b"",
                        [(INSTANCE, self.name)])
            return
        if fields.get(TARGET.lower(), self.name) != self.name:
            self.mesh.record.write(f"server {self.name} answers 421 to "
                                   f"{request_id}")
            self.answer(writer, 421, b"", [(NOT_RUN, "1")], request_id)
            return
        if self.running >= self.slots + 24:
            self.answer(writer, 503, b"", [(NOT_RUN, "1")], request_id)
            return
        await self.run(request_id, fields, body, writer)

    async def run(self, request_id, fields, body, writer):
        self.running += 1
        self.runs.append((time.monotonic(), request_id))
        self.mesh.record.write(f"server {self.name} runs {request_id}")
        await asyncio.sleep(self.work_s)
        self.running -= 1
        self.answer(writer, 200, f"{request_id} by {self.name}".encode(),
                    [(SIGNATURE, f"s.{request_id}")], request_id)


def is_free(address, port):
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


def find_network():
    """Returns a second number of loopback addresses whose ports are free."""
    for network in random.sample(range(20, 250), 50):
        addresses = [(f"127.{network}.0.{index + 1}", port)
                     for index in range(MAX_MACHINES) for port in PORTS]
        if all(is_free(*address) for address in
               addresses + [(f"127.{network}.9.1", STORE_PORT)]):
            return network
    raise OSError("no free addresses")


class Mesh:
    """The store, the sidecars and their settings."""

    def __init__(self, folder, config, heartbeat_s=0.5, memory=260):
        self.folder = pathlib.Path(folder)
        self.record = Record(self.folder / "record.txt")
        self.network = find_network()
        self.config = config
        self.heartbeat_s = heartbeat_s
        self.memory = memory
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = []
        self.sidecars = {}
        self.store = None
        self.services = {}
        self.count = 0

    def ip_of(self, index):
        return f"127.{self.network}.0.{index + 1}"

    def store_address(self):
        return f"127.{self.network}.9.1:{STORE_PORT}"

    async def spawn(self, log, *arguments, **options):
        with open(self.temporary / log, "ab") as output:
            process = await asyncio.create_subprocess_exec(
                *arguments, cwd=REPOSITORY, stderr=output,
                stdout=options.pop("stdout", output), **options)
        self.processes.append(process)
        return process

    async def start_store(self):
        self.store = await self.spawn(
            "store.log", STORE, self.store_address(), "3",
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE)
        await self.command(self.config)

    async def command(self, line):
        self.store.stdin.write(line.encode() + b"\n")
        await self.store.stdin.drain()
        while True:
            answer = await self.store.stdout.readline()
            if not answer or answer.strip() == b"ok":
                return

    async def start_sidecar(self, index, service, first=True, store=None):
        path = self.temporary / f"vm-{index}.toml"
        self.services[index] = service
        path.write_text(SETTINGS.format(
            index=index, ip=self.ip_of(index), service=service, centre="a",
            first=str(first).lower(), memory=self.memory,
            heartbeat=self.heartbeat_s,
            store=store or self.store_address()))
        self.sidecars[index] = await self.spawn(
            f"sidecar-{index}.log", PROGRAM, "sidecar", "--settings",
            str(path))
        self.record.write(f"sidecar vm-{index} starts")

    def send(self, index, number):
        self.record.write(f"sidecar vm-{index} gets {number.name}")
        self.sidecars[index].send_signal(number)

    async def control(self, ip, call, name, body):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(ip, 8104), 1)
        try:
            text = json.dumps(body).encode() if body is not None else b""
            writer.write(f"POST /v1/Instances.{call}/{name} HTTP/1.1\r\n"
                         f"Host: control\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(text)}\r\n\r\n".encode()
                         + text)
            line, _, _ = await asyncio.wait_for(read_message(reader), 1)
            return int(line.split(" ")[1])
        finally:
            writer.close()

    async def ready(self, index):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.ip_of(index), 8103), 1)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n")
            line, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return line.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def request(self, index, path, method="GET", body=b"",
                      timeout_ms=800, host="mesh.example", extra="",
                      request_id=None):
        """One client attempt on a new connection.  Returns id, status, fields
        and body; the status is None when there was no answer."""
        self.count += 1
        drawn = f"{self.count:06x}{random.getrandbits(32):08x}"
        request_id = request_id or drawn
        self.record.write(f"client sends {request_id} to vm-{index}: "
                          f"{method} {path}")
        status, fields, answer = None, {}, b""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.ip_of(index), 8101), 1)
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                          f"{ID}: {request_id}\r\n{TIMEOUT}: {timeout_ms}\r\n"
                          f"{extra}Content-Length: {len(body)}\r\n\r\n"
                          ).encode() + body)
            line, fields, answer = await asyncio.wait_for(
                read_message(reader), timeout_ms / 1000 + 1)
            status = int(line.split(" ")[1])
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        self.record.write(f"client gets {status} for {request_id}")
        return request_id, status, fields, answer

    async def await_served(self, index, path, tries=150):
        for _ in range(tries):
            _, status, _, _ = await self.request(index, path)
            if status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        if os.environ.get("KEEP"):
            print(self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)
