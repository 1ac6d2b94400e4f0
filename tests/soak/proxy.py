"""A TCP proxy on loopback that spoils the connections through it."""

import asyncio
import socket
import struct

CHUNK = 65536


class Proxy:
    """Forwards LISTEN to TARGET.  `mode` says what happens to the bytes:

    pass     forwarded
    delay    forwarded `delay` seconds later
    silence  accepted and kept, both ways, until the mode changes
    one-way  requests pass, replies are kept
    reset    open connections and new ones are reset
    """

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.mode = "pass"
        self.delay = 0.0
        self.changed = asyncio.Event()
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *self.listen)

    def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def set(self, mode, delay=0.0):
        self.mode = mode
        self.delay = delay
        self.changed.set()
        self.changed = asyncio.Event()
        if mode == "reset":
            for writer in list(self.writers):
                self._reset(writer)

    @staticmethod
    def _reset(writer):
        peer = writer.get_extra_info("socket")
        if peer is not None:
            try:
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
            except OSError:
                pass  # it has ended by itself
        writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            if self.mode == "reset":
                self._reset(writer)
                return
            there, back = await asyncio.open_connection(*self.target)
            self.writers.add(back)
            await asyncio.gather(self._copy(reader, back, False),
                                 self._copy(there, writer, True))
        except OSError:
            self._reset(writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    def _holds(self, is_reply):
        return self.mode == "silence" or (self.mode == "one-way" and is_reply)

    async def _copy(self, reader, writer, is_reply):
        try:
            while data := await reader.read(CHUNK):
                while self._holds(is_reply):
                    await self.changed.wait()
                if self.mode == "delay":
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
        except OSError:
            self._reset(writer)
        finally:
            self.writers.discard(writer)
            writer.close()
