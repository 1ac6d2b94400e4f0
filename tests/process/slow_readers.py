#!/usr/bin/env python3
"""Process tests: callers that request long answers and read them slowly.

Usage: slow_readers.py BUILD [NAME...]     runs all tests, or those named

Two VMs run real processes on loopback.  A crowd of callers at the first VM
requests long answers.  Each test guards against a sidecar that exceeds its
memory or its descriptors, ends, or no longer answers other callers.  Nothing
depends on times or on the share of requests that are served.
"""

import json
import pathlib
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

MEMORY_MB = 96
CALLERS = 32
BODY_BYTES = 2_500_000
REQUESTS_PER_CONNECTION = 16
ROUNDS = 120
ROUND_S = 0.05
SLOW_READ_BYTES = 64
MAX_DESCRIPTORS = 256
TRIES = 60

NETWORK = 77
STORE = f"127.{NETWORK}.9.1:8300"
SETTINGS = """[node]
name = "vm-{index}"
data_centre = "a"
region = "near"
service = "orders"
first_start = true
memory_mb = {memory_mb}
[listen]
calls = "{ip}:8101"
links = "{ip}:8102"
ready = "{ip}:8103"
control = "{ip}:8104"
metrics = "{ip}:8105"
[upstream]
address = "{ip}:8106"
heartbeat_s = 0.3
[platform]
address = "{store}"
[limits]
grace_s = 6.0
retry_ratio = 0.2
retry_slack = 60
"""
TESTS = []


def test(function):
    TESTS.append(function)
    return function


class Mesh:
    """A store and two VMs, each with a sidecar and an upstream."""

    def __init__(self, build, directory):
        self.build = build
        self.directory = directory
        self.children = []
        self.names = {}
        self.sidecars = []

    def spawn(self, log, *arguments, **options):
        with open(self.directory / log, "ab") as output:
            options.setdefault("stdout", output)
            child = subprocess.Popen([str(a) for a in arguments],
                                     stderr=output, **options)
        self.children.append(child)
        return child

    def start(self):
        store = self.spawn("store.log", self.build / "standin-mesh_store",
                           STORE, stdin=subprocess.PIPE,
                           stdout=subprocess.PIPE)
        store.stdin.write(b"config 1 orders / /v1/\n")
        store.stdin.flush()
        while not self.names:
            line = store.stdout.readline()
            assert line, "the store has ended"
            if line.startswith(b"{"):
                self.names = json.loads(line)
        for index in range(2):
            self.start_vm(index)

    def start_vm(self, index):
        ip = f"127.{NETWORK}.0.{index + 1}"
        settings = self.directory / f"vm-{index}.toml"
        settings.write_text(SETTINGS.format(index=index, ip=ip, store=STORE,
                                            memory_mb=MEMORY_MB))
        self.sidecars.append(self.spawn(
            f"sidecar-{index}.log", self.build / "mulberryshift", "sidecar",
            "--settings", settings))
        self.spawn(f"upstream-{index}.log",
                   self.build / "standin-mesh_upstream", f"{ip}:8106",
                   f"{ip}:8106", f"{ip}:8104", f"i-{index}", "orders", "a",
                   "1")

    def stop(self):
        for child in self.children:
            child.send_signal(signal.SIGKILL)
            child.wait()

    def request(self, request_id, size=0):
        query = f"?bytes={size}" if size else ""
        return (f"GET /orders/item{query} HTTP/1.1\r\n"
                f"Host: {self.names['host']}\r\n"
                f"{self.names['id']}: {request_id}\r\n"
                f"{self.names['timeout_ms']}: 1000\r\n\r\n").encode()

    def ask(self, request_id):
        """Returns whether an ordinary request gets its answer."""
        data = b""
        try:
            with socket.create_connection(address_of(0), timeout=2) as caller:
                caller.sendall(self.request(request_id))
                while b"\r\n\r\n" + request_id.encode() not in data:
                    part = caller.recv(65536)
                    if not part:
                        return False
                    data += part
        except OSError:
            return False
        return data.startswith(b"HTTP/1.1 200 ")

    def await_answer(self, prefix):
        for count in range(TRIES):
            if self.ask(f"{prefix}-{count}"):
                return
            time.sleep(0.25)
        raise AssertionError("an ordinary request is not answered")


def address_of(index):
    return f"127.{NETWORK}.0.{index + 1}", 8101


def peak_kb(child):
    """Returns the highest resident memory of a process in KiB."""
    status = pathlib.Path(f"/proc/{child.pid}/status").read_text()
    line = next(line for line in status.splitlines()
                if line.startswith("VmHWM"))
    return int(line.split()[1])


def descriptors(child):
    return len(list(pathlib.Path(f"/proc/{child.pid}/fd").iterdir()))


class Caller:
    """Sends requests ahead and reads at most READ_BYTES in each round."""

    def __init__(self, mesh, name, read_bytes, batch):
        self.mesh = mesh
        self.name = name
        self.read_bytes = read_bytes
        self.batch = batch
        self.connection = None
        self.sent = 0
        self.starts = 0

    def step(self):
        try:
            if self.connection is None:
                self.connect()
            if self.sent < REQUESTS_PER_CONNECTION:
                self.send()
            if self.read_bytes:
                self.read()
        except OSError:
            self.close()

    def connect(self):
        self.connection = socket.socket()
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.connection.settimeout(1)
        self.connection.connect(address_of(0))
        self.sent = 0
        self.starts += 1

    def send(self):
        text = b""
        for _ in range(self.batch):
            self.sent += 1
            text += self.mesh.request(
                f"{self.name}-{self.starts}-{self.sent}", BODY_BYTES)
        self.connection.sendall(text)

    def read(self):
        if select.select([self.connection], [], [], 0)[0]:
            if not self.connection.recv(self.read_bytes):
                self.close()

    def close(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None


def run_crowd(mesh, read_bytes, batch):
    """Runs the crowd and checks the sidecars meanwhile and afterwards."""
    callers = [Caller(mesh, f"c{i}", read_bytes, batch)
               for i in range(CALLERS)]
    most = 0
    mesh.await_answer("before")
    for _ in range(ROUNDS):
        for caller in callers:
            caller.step()
        for index, child in enumerate(mesh.sidecars):
            assert child.poll() is None, \
                f"sidecar {index} ended with {child.returncode}"
            most = max(most, descriptors(child))
        time.sleep(ROUND_S)
    peaks = [peak_kb(child) for child in mesh.sidecars]
    print(f"  peak of the sidecars {peaks} KiB of {MEMORY_MB * 1024}, "
          f"at most {most} descriptors, "
          f"{sum(caller.starts for caller in callers)} connections")
    mesh.await_answer("after")
    peaks = [peak_kb(child) for child in mesh.sidecars]
    for caller in callers:
        caller.close()
    assert max(peaks) < MEMORY_MB * 1024, f"peak of {max(peaks)} KiB"
    assert most < MAX_DESCRIPTORS, f"{most} descriptors"


@test
def callers_that_read_nothing(mesh):
    """Guards against unsent answers that are held without a bound."""
    run_crowd(mesh, 0, 1)


@test
def callers_that_read_a_few_bytes_at_a_time(mesh):
    """Guards against callers that stay active enough to keep their unsent
    answers."""
    run_crowd(mesh, SLOW_READ_BYTES, 1)


@test
def callers_that_send_many_requests_ahead(mesh):
    """Guards against the answers of one connection that together exceed the
    memory."""
    run_crowd(mesh, 0, 8)


def run(function, build):
    with tempfile.TemporaryDirectory(prefix="slow-readers-") as name:
        mesh = Mesh(build, pathlib.Path(name))
        try:
            mesh.start()
            function(mesh)
        except (AssertionError, OSError):
            traceback.print_exc()
            return False
        finally:
            mesh.stop()
    return True


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    chosen = sys.argv[2:]
    failed = 0
    passed = 0
    for function in TESTS:
        if chosen and function.__name__ not in chosen:
            continue
        print(f"[ RUN  ] {function.__name__}", flush=True)
        ok = run(function, build)
        print(f"[ {'OK' if ok else 'FAIL':4} ] {function.__name__}",
              flush=True)
        passed += ok
        failed += not ok
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
