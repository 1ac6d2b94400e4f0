"""A server that sends the first bytes of a second copy of an answer, late.

PROTOCOL.md, Servers: a faulty server may truncate a response and send
additional bytes after a complete one; an extra response may arrive late, at
the point where the next response is expected.
"""

import asyncio
import time

from mesh2 import ID, NOT_RUN, SIGNATURE, Server

DATE = "Date: Mon, 07 Dec 2026 03:00:00 GMT"


class Garbled(Server):
    """Sends bytes of COPY_SHARE of its answers a second time: when the next
    request on the connection is at work, and only as far as the text CUT_AFTER.
    REFUSE_EVERY and FAIL_EVERY: it refuses, or fails, each request with such a
    number.  Copies are made only of answers with the status COPIED, and only
    before an answer with the status FOLLOWED."""

    def __init__(self, mesh, index, name, service, copy_share=0.0, copied=0,
                 followed=0, cut_after="", refuse_every=0, fail_every=0):
        super().__init__(mesh, index, name, service)
        self.copy_share = copy_share
        self.copied = copied
        self.followed = followed
        self.cut_after = cut_after
        self.refuse_every = refuse_every
        self.fail_every = fail_every
        self.requests = 0
        self.answers = 0
        self.copies = 0
        self.failed = []  # ids of the requests that it answered 500
        self.last = {}  # writer -> (id, status, text) of the last answer

    def text_of(self, status, body, fields, request_id):
        lines = [f"HTTP/1.1 {status} Status", DATE]
        lines += [f"{name}: {value}" for name, value in fields]
        lines += [f"{ID}: {request_id}", "Keep-Alive: timeout=10",
                  f"Content-Length: {len(body)}"]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def decide(self):
        """Returns the status of the answer to the next request."""
        self.requests += 1
        if self.refuse_every and self.requests % self.refuse_every == 0:
            return 503
        if self.fail_every and self.requests % self.fail_every == 0:
            return 500
        return 200

    def send_copy(self, writer, status):
        """Sends the start of a second copy of the last answer, late."""
        before = self.last.get(writer)
        if (before is None or before[1] != self.copied
                or status != self.followed
                or self.copies + 1 > self.copy_share * self.answers):
            return
        text = before[2]
        end = text.index(self.cut_after.encode()) + len(self.cut_after)
        writer.write(text[:end])
        self.copies += 1
        self.mesh.record.write(
            f"server {self.name} sends the first {end} bytes of its answer "
            f"{before[1]} to {before[0]} once more")

    async def run(self, request_id, fields, body, writer):
        status = self.decide()
        self.send_copy(writer, status)
        if status == 503:
            text = self.text_of(503, b"", [(NOT_RUN, "1")], request_id)
        else:
            self.running += 1
            self.runs.append((time.monotonic(), request_id))
            self.mesh.record.write(f"server {self.name} runs {request_id}")
            await asyncio.sleep(self.work_s)
            self.running -= 1
            answer = b"failed" if status == 500 else request_id.encode()
            if status == 500:
                self.failed.append(request_id)
            text = self.text_of(status, answer,
                                [(SIGNATURE, f"s.{request_id}")], request_id)
        self.mesh.record.write(f"server {self.name} answers {status} to "
                               f"{request_id}")
        self.answers += 1
        self.last[writer] = (request_id, status, text)
        writer.write(text)
