"""Stand-in of an upstream (PROTOCOL.md, "Upstreams" and "Service
discovery")."""

import asyncio
import hashlib
import time

from http_wire import BrokenMessage, message, read_body, read_head, reset

HEARTBEAT_S = 1.5


class Upstream:
    """One upstream: registers itself, runs requests and records the runs."""

    def __init__(self, store, name, service, zone, slots=2, work_s=0.1,
                 host="127.0.0.1", queue=6):
        self.store, self.name, self.service = store, name, service
        self.zone, self.slots, self.work_s = zone, slots, work_s
        self.host, self.queue = host, queue
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.arrivals = []
        self.running = self.waiting = 0
        self.extra_fields = []
        # Called with (upstream, head, body, writer); true if it has answered.
        self.hook = None
        self._slot = asyncio.Semaphore(slots)
        self._server = self._beats = None
        self._writers = set()
        self.address = ""

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, self.host, port,
                                                  limit=1 << 22)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"
        self.report()
        self._beats = asyncio.create_task(self._keep_reporting())

    def report(self):
        """Writes the entry in the store."""
        self.sequence += 1
        self.store.put_json(f"servers/{self.name}", {
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1",
                     "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence,
                       "warmup-left": "0ms"}})

    async def _keep_reporting(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.store.away:
                self.report()

    def stop(self):
        """Ends without a word; the entry stays."""
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    def load(self):
        return f"{self.running},{self.waiting},{self.slots},100"

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                if not await self._answer(head, body, reader, writer):
                    break
                await writer.drain()
        except (BrokenMessage, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head, body, reader, writer):
        method, target, _ = head.start_line.split(" ", 2)
        if target == "/health":
            ready = self.state == "ready"
            writer.write(message(
                f"HTTP/1.1 {200 if ready else 503} x",
                [("Instance-Id", self.name), ("Upstream-Load", self.load())]))
            return True
        identity = head.get("Request-Id")
        self.arrivals.append((time.monotonic(), identity))
        if head.get("Expected-Instance") not in ("", self.name):
            writer.write(message("HTTP/1.1 421 x",
                                 [("Request-Id", identity),
                                  ("Instance-Id", self.name)]))
            return True
        if self.hook is not None and await self.hook(self, head, body, writer):
            return True
        if self.running + self.waiting >= self.slots + self.queue:
            writer.write(message("HTTP/1.1 503 x",
                                 [("Request-Id", identity),
                                  ("Not-Executed", "1"),
                                  ("Upstream-Load", self.load())]
                                 + self.extra_fields))
            return True
        return await self._run(head, body, reader, writer, method, target)

    async def _run(self, head, body, reader, writer, method, target):
        identity = head.get("Request-Id")
        self.waiting += 1
        async with self._slot:
            self.waiting -= 1
            if writer.is_closing() or reader.at_eof():
                return False
            self.running += 1
            self.runs.append({"at": time.monotonic(), "id": identity,
                              "server": self.name, "method": method,
                              "target": target,
                              "digest": hashlib.sha1(body).hexdigest(),
                              "tenant": head.get("Tenant")})
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        writer.write(answer_to(self, identity))
        return True


def body_of(identity):
    """Body with which an upstream answers a request."""
    return f"answer to {identity}\n".encode() * 4


def answer_to(upstream, identity, status=200):
    body = body_of(identity)
    return message(
        f"HTTP/1.1 {status} x",
        [("Request-Id", identity),
         ("Response-Signature", hashlib.sha1(body).hexdigest()[:16]),
         ("Upstream-Load", upstream.load())] + upstream.extra_fields, body)
