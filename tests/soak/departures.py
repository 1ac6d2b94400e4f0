"""Departures beside restarts: an upstream deregisters and serves on, its node is
stopped or killed and starts again, and heartbeats from before arrive late."""

import asyncio
import random
import signal
import time

from promises import DRAIN_S, SETTLE_S


class Departures:
    """Departures of one seed.  They are drawn apart from the other faults, so
    that a seed draws the same faults with and without them."""

    def __init__(self, soak, seed, count, seconds):
        self.soak = soak
        self.rnd = random.Random(f"departures {seed}")
        self.times = sorted(self.rnd.uniform(0, seconds)
                            for _ in range(count))
        self.departed = []  # (VM, name of the upstream)

    async def play(self):
        start = time.monotonic()
        running = []
        for at in self.times:
            await asyncio.sleep(max(0, start + at - time.monotonic()))
            vm = self.rnd.choice(self.soak.mesh.vms)
            running.append(asyncio.create_task(self.depart(vm)))
        await asyncio.gather(*running)

    async def depart(self, vm):
        soak = self.soak
        key = ("upstream", vm.index)
        while key in soak.pending:
            await asyncio.sleep(0.05)
        soak.pending.add(key)
        try:
            name, child = vm.upstream_name, vm.upstream.child
            soak.note(f"deregister upstream vm-{vm.index}")
            self.departed.append((vm, name))
            vm.upstream.send(signal.SIGUSR2)
            while (name not in vm.acknowledged
                   and child.returncode is None):
                await asyncio.sleep(0.02)
            await asyncio.sleep(self.rnd.uniform(0, 0.5))
            soak.begin(self.rnd.choice([soak.stop_sidecar,
                                        soak.kill_sidecar]), "sidecar", vm)
            await child.wait()
            await vm.start_upstream()
        finally:
            soak.pending.discard(key)

    def check(self):
        """A departed upstream gets nothing, however its node was restarted,
        unless its node or the connections of it were disturbed just before."""
        for vm, name in self.departed:
            left = vm.acknowledged.get(name, float("inf"))
            late = [now for runs in vm.runs.values()
                    for now, upstream, _, _ in runs
                    if upstream == name and now > left + DRAIN_S
                    and not any(start < now < end + SETTLE_S
                                for start, end in vm.faults)]
            if late:
                self.soak.fail(f"{name}: {len(late)} requests up to "
                               f"{max(late) - left:.1f} s after it had left")
