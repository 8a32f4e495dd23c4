"""Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata
store"), with the operator's writes and the drill of the news page."""

import asyncio
import base64
import copy
import json
import time
from urllib.parse import parse_qs, urlsplit

from http_wire import BrokenMessage, message, read_head, read_body

PAGE_ITEMS = 500
PIECE_BYTES = 8192
HISTORY_S = 20.0


class Store:
    """Keys, revisions, leases and watches. All answers are linearizable."""

    def __init__(self, answer_s=0.004):
        self.answer_s = answer_s
        self.era = 1
        self.revision = 10
        self.items = {}
        self.events = []
        self.oldest_event = 10
        self._times = []
        self.away = self.deaf = False
        self.refused_peers = {}
        # Bandwidth of the links of single machines, by their address here.
        self.link_mbps = {}
        self._links = {}
        self._servers = []
        self.calls = []
        self._changed = asyncio.Event()

    async def listen(self, host):
        """Opens an address of the store; each machine has one of its own, by
        which its calls are known. Returns the address with its port."""
        server = await asyncio.start_server(self._serve, host, 0,
                                            limit=1 << 23)
        self._servers.append(server)
        port = server.sockets[0].getsockname()[1]
        return f"{host}:{port}"

    def close(self):
        for server in self._servers:
            server.close()

    # Writes by the operator and the upstreams, and those of the system.

    def write(self, puts=(), removals=()):
        """Applies a transaction; returns its revision."""
        self.revision += 1
        self._forget_history()
        self._times.append((time.monotonic(), self.revision))
        for key, value in puts:
            created = self.items.get(key, {}).get("created", self.revision)
            self.items[key] = {"value": value, "revision": self.revision,
                               "created": created}
            self.events.append((self.revision, key, value))
        for key in removals:
            if self.items.pop(key, None) is not None:
                self.events.append((self.revision, key, None))
        self._wake()
        return self.revision

    async def compact(self, change, deaf_s=1.0):
        """Watches hear nothing while a change is made; then the history is
        dropped and they are cut (`platform_compact`)."""
        self.deaf = True
        change()
        await asyncio.sleep(deaf_s)
        self.events, self._times = [], []
        self.oldest_event = self.revision
        self.deaf = False
        self._wake()

    def _forget_history(self):
        horizon = time.monotonic() - HISTORY_S
        while self._times and self._times[0][0] < horizon:
            self.oldest_event = self._times.pop(0)[1]
        while self.events and self.events[0][0] <= self.oldest_event:
            self.events.pop(0)

    def put_json(self, key, value):
        return self.write(puts=[(key, json.dumps(value).encode())])

    def remove(self, key):
        return self.write(removals=[key])

    # Drill: the store comes back from a copy.

    def copy_state(self):
        return self.revision, copy.deepcopy(self.items)

    def return_from_copy(self, state):
        self.revision, self.items = state[0], copy.deepcopy(state[1])
        self.events, self._times = [], []
        self.oldest_event = self.revision
        self.era += 1
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    # The wire.

    async def _serve(self, reader, writer):
        peer = writer.get_extra_info("sockname")[0]
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                await asyncio.sleep(self.answer_s)
                answer = await self._answer(peer, head, body)
                if answer is None:
                    break
                status, value = answer
                await self._send(peer, writer, message(
                    f"HTTP/1.1 {status} x",
                    [("Content-Type", "application/json"),
                     ("Store-Era", str(self.era))],
                    json.dumps(value).encode()))
        except (BrokenMessage, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _send(self, peer, writer, data):
        """Sends an answer, at the speed of the link of a slow machine."""
        mbps = self.link_mbps.get(peer)
        if mbps is None:
            writer.write(data)
            return await writer.drain()
        link = self._links.setdefault(peer, asyncio.Lock())
        for start in range(0, len(data), PIECE_BYTES):
            piece = data[start:start + PIECE_BYTES]
            async with link:
                await asyncio.sleep(len(piece) * 8 / (mbps * 1e6))
                writer.write(piece)
                await writer.drain()

    async def _answer(self, peer, head, body):
        method, target, _ = head.start_line.split(" ", 2)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in
                 parse_qs(parts.query, keep_blank_values=True).items()}
        self.calls.append((peer, method, parts.path))
        if self.away:
            return 503, {}
        if peer in self.refused_peers:
            return self.refused_peers[peer], {}
        if parts.path == "/kv-key":
            return self._key(query)
        if parts.path == "/kv-range":
            return self._range(query)
        if parts.path == "/kv-watch":
            return await self._watch(query)
        if parts.path == "/kv-txn":
            return self._transact(json.loads(body))
        return 404, {}

    def _item(self, key):
        item = self.items[key]
        return {"key": key, "value": base64.b64encode(item["value"]).decode(),
                "revision": item["revision"], "created": item["created"],
                "lease": 0}

    def _key(self, query):
        if query["key"] not in self.items:
            return 404, {"as-of": self.revision}
        return 200, dict(self._item(query["key"]), **{"as-of": self.revision})

    def _range(self, query):
        keys = sorted(key for key in self.items
                      if key.startswith(query.get("path-prefix", "")) and
                      key > query.get("after", ""))
        page = keys[:PAGE_ITEMS]
        return 200, {"items": [self._item(key) for key in page],
                     "has-more": len(keys) > len(page), "as-of": self.revision}

    async def _watch(self, query):
        after, era = int(query["after"]), self.era
        prefix = query.get("path-prefix", "")
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query["wait-ms"]) / 1000
        while True:
            if self.away:
                return 503, {}
            if self.era != era:
                return None
            if after < self.oldest_event or after > self.revision:
                return 410, {}
            if self.deaf:
                if loop.time() >= until:
                    return 200, {"events": [], "as-of": after}
                await asyncio.sleep(0.02)
                continue
            events = [self._event(*event) for event in self.events
                      if event[0] > after and event[1].startswith(prefix)]
            left = until - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "as-of": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    @staticmethod
    def _event(revision, key, value):
        if value is None:
            return {"key": key, "revision": revision, "tombstone": True}
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": revision, "lease": 0}

    def _transact(self, call):
        for row in call.get("expect", []):
            known = self.items.get(row["key"], {}).get("revision", 0)
            if known != row["revision"]:
                return 412, {"items": [self._item(row["key"])]
                             if row["key"] in self.items else []}
        puts = [(row["key"], base64.b64decode(row["value"]))
                for row in call.get("puts", [])]
        if any(key.startswith(("op/", "servers/")) for key, _ in puts):
            return 403, {}
        return 200, {"revision": self.write(puts, call.get("remove", []))}
