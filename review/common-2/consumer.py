"""Stand-in of a consumer (PROTOCOL.md, "Requests" and "Answers")."""

import asyncio
import secrets
import time

from http_wire import BrokenMessage, message, read_body, read_head, reset


class Answer:
    """What a consumer saw of one request."""

    def __init__(self, identity, sent_at):
        self.identity, self.sent_at = identity, sent_at
        self.status, self.head, self.body = 0, None, b""
        self.failure = ""
        self.ended_at = 0.0

    def __str__(self):
        return (f"{self.identity} status={self.status} "
                f"ms={(self.ended_at - self.sent_at) * 1000:.0f} "
                f"{self.failure}")


class Connection:
    """One connection to the front address of a machine, kept open."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self, timeout_s=1.0):
        host, port = self.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=1 << 22), timeout_s)

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    def reset(self):
        if self.writer is not None:
            reset(self.writer)
            self.writer = None

    def is_open(self):
        return (self.writer is not None and not self.writer.is_closing()
                and not self.reader.at_eof())

    async def request(self, method, host, path, body=b"", budget_ms=2000,
                      fields=(), identity=None):
        """Sends a request and reads its answer."""
        identity = identity or secrets.token_hex(8)
        out = Answer(identity, time.monotonic())
        head = [("Host", host), ("Request-Id", identity),
                ("Request-Deadline", str(budget_ms))] + list(fields)
        try:
            self.writer.write(message(f"{method} {path} HTTP/1.1", head, body,
                                      length=method != "GET"))
            await asyncio.wait_for(self._read(out), budget_ms / 1000 + 1.0)
        except (BrokenMessage, ConnectionError, OSError,
                asyncio.IncompleteReadError) as failure:
            out.failure = f"closed: {type(failure).__name__}"
        except asyncio.TimeoutError:
            out.failure = "no answer"
        out.ended_at = time.monotonic()
        if out.failure or out.head.get("Connection").lower() == "close":
            self.close()
        return out

    async def _read(self, out):
        while True:
            head = await read_head(self.reader)
            if head is None:
                raise BrokenMessage("closed without an answer")
            out.status = int(head.start_line.split(" ")[1])
            if out.status >= 200:
                break
        out.head = head
        out.body = await read_body(self.reader, head, until_close=True)


async def request_once(address, *args, **options):
    """Sends one request on a connection of its own."""
    link = Connection(address)
    try:
        await link.open()
    except (OSError, asyncio.TimeoutError) as failure:
        out = Answer(options.get("identity") or "", time.monotonic())
        out.failure = f"not connected: {type(failure).__name__}"
        out.ended_at = time.monotonic()
        return out
    answer = await link.request(*args, **options)
    link.close()
    return answer
