"""Stand-ins for the platform's store, upstreams and consumers, and a runner
for the entry processes. They follow the users' pages (PROTOCOL.md, NEWS.md)
and use only the Python standard library and loopback addresses."""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
DAEMON = ROOT / "target/apps/jujubecartd/jujubecartd"


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, one line each, in record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def add(self, text):
        self.file.write(f"{now() - self.start:8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.add(text)
        print(text, flush=True)


def free_ports(address, count):
    """Free ports below those that the system gives to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(18000, 30000)
        with socket.socket() as item:
            try:
                item.bind((address, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


async def read_head(reader):
    """Reads a message head; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return b""


def response(status, reason, body=b"", fields=()):
    head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n"
    for name, value in fields:
        head += f"{name}: {value}\r\n"
    return head.encode() + b"\r\n" + body


class Store:
    """The platform's store: items, a revision counter, watches, eras."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 10
        self.history_from = 10
        self.history = []
        self.era = 0
        self.states_era = False
        self.away = False
        self.changed = asyncio.Event()
        self.connections = set()

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def touch(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        """Accepts a write; returns its revision."""
        if isinstance(value, (dict, list)):
            value = json.dumps(value)
        if isinstance(value, str):
            value = value.encode()
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {"value": value, "revision": self.revision,
                           "created": known["created"] if known else self.revision}
        self.history.append((self.revision, key, value))
        self.touch()
        return self.revision

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append((self.revision, key, None))
            self.touch()

    def copy(self):
        return {k: dict(v) for k, v in self.items.items()}, self.revision

    def leave(self):
        """The store is away: connections end, new ones get 503."""
        self.away = True
        for writer in list(self.connections):
            writer.transport.abort()
        self.touch()

    def come_back_from(self, copied):
        """Comes back from a copy; what was accepted since is gone."""
        items, revision = copied
        self.items = {k: dict(v) for k, v in items.items()}
        self.revision = revision
        self.history = []
        self.history_from = revision
        self.era += 1
        self.away = False
        self.touch()

    def item_json(self, key):
        item = self.items[key]
        return {"key": key, "value": base64.b64encode(item["value"]).decode(),
                "revision": item["revision"], "created": item["created"], "lease": 0}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, fields = head
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ", 2)
                status, answer = await self.handle(method, target, body)
                extra = [("Content-Type", "application/json")]
                if self.states_era:
                    extra.append(("Store-Era", str(self.era)))
                writer.write(response(status, "X", json.dumps(answer).encode(), extra))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, method, target, body):
        if self.away:
            return 503, {}
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        if method == "GET" and parts.path == "/kv-key":
            if query["key"] not in self.items:
                return 404, {"as-of": self.revision}
            return 200, {**self.item_json(query["key"]), "as-of": self.revision}
        if method == "GET" and parts.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("path-prefix", ""))
                          and k > query.get("after", ""))
            return 200, {"items": [self.item_json(k) for k in keys[:500]],
                         "has-more": len(keys) > 500, "as-of": self.revision}
        if method == "GET" and parts.path == "/kv-watch":
            return await self.watch(query)
        if method == "POST" and parts.path == "/kv-txn":
            return self.transact(json.loads(body))
        return 404, {}

    async def watch(self, query):
        after = int(query["after"])
        prefix = query.get("path-prefix", "")
        until = now() + int(query["wait-ms"]) / 1000
        era = self.era
        while True:
            if self.away:
                return 503, {}
            if after > self.revision or after < self.history_from or era != self.era:
                return 410, {}
            events = []
            for revision, key, value in self.history:
                if revision > after and key.startswith(prefix):
                    if value is None:
                        events.append({"key": key, "revision": revision, "tombstone": True})
                    else:
                        events.append({"key": key, "revision": revision, "lease": 0,
                                       "created": revision,
                                       "value": base64.b64encode(value).decode()})
            left = until - now()
            if events or left <= 0:
                return 200, {"events": events, "as-of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        for row in call.get("expect", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.item_json(r["key"]) for r in call["expect"]
                                       if r["key"] in self.items]}
        for row in call.get("puts", []):
            self.put(row["key"], base64.b64decode(row["value"]))
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Upstream:
    """One upstream: serves one request at a time on a connection and keeps its
    entry in the store up to date."""

    def __init__(self, record, ident, service, zone, slots=4, work=0.02):
        self.record = record
        self.id = ident
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work = work
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.checked_in = 0.0
        self.state = "ready"
        self.leaving_field = False
        self.running = 0
        self.runs = []
        self.connections = set()
        self.tasks = []
        self.server = None
        self.hook = None

    async def start(self, address, port=0):
        self.server = await asyncio.start_server(self.serve, address, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def entry(self):
        self.sequence += 1
        return {"address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone,
                         "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence,
                           "warmup-left": "0ms"}}

    def report(self, store):
        if not store.away:
            store.put("servers/" + self.id, self.entry())

    async def heartbeat(self, store, interval=1.5):
        while True:
            self.checked_in = now()
            self.report(store)
            await asyncio.sleep(interval)

    def keep_reporting(self, store, interval=1.5):
        self.tasks.append(asyncio.ensure_future(self.heartbeat(store, interval)))

    async def end(self):
        for task in self.tasks:
            task.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def load(self):
        return f"{self.running},0,{self.slots},100"

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, fields = head
                method, path, _ = line.split(" ", 2)
                if method == "GET" and path == "/health":
                    ok = self.state == "ready" and not self.leaving_field
                    extra = [("Instance-Id", self.id), ("Upstream-Load", self.load())]
                    if self.leaving_field:
                        extra.append(("Server-Leaving", "1"))
                    writer.write(response(200 if ok else 503, "X", b"", extra))
                    await writer.drain()
                    continue
                body = await read_body(reader, fields)
                if self.hook and await self.hook(self, method, path, fields, body, writer):
                    continue
                await self.answer(method, path, fields, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def said(self, ident):
        """Fields of every answer to a request."""
        extra = [("Request-Id", ident), ("Upstream-Load", self.load())]
        if self.leaving_field:
            extra.append(("Server-Leaving", "1"))
        return extra

    async def answer(self, method, path, fields, body, writer):
        ident = fields.get("request-id", "")
        expected = fields.get("expected-instance")
        if expected and expected != self.id:
            self.record.add(f"upstream {self.id} turned {ident} away: expected {expected}")
            writer.write(response(421, "Misdirected Request", b"", self.said(ident)
                                  + [("Instance-Id", self.id)]))
            await writer.drain()
            return
        self.running += 1
        self.runs.append((now(), ident, fields))
        self.record.add(f"upstream {self.id} (born {self.born}) runs {ident} {method} {path}"
                        f" tenant={fields.get('tenant', '')}")
        try:
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
        writer.write(response(200, "OK", b"body of " + ident.encode(),
                              self.said(ident) + [("Response-Signature", "3e1b.07.5a2.600.0." + ident[:8])]))
        await writer.drain()


class Entry:
    """An entry process, started as the deploy file says."""

    def __init__(self, record, store, name, ip, zone, folder, bounds, zones, limits=None):
        self.record = record
        self.name = name
        self.ip = ip
        self.front, self.ready, self.peer = free_ports(ip, 3)
        fields = {
            "node": name, "zone": zone, "region": zones[zone], "ip": ip,
            "limits": {"cpu-share": 0.2, "cores": 1, **(limits or {})},
            "listen": {"front": f"{ip}:{self.front}", "ready": f"{ip}:{self.ready}"},
            "port-range": [self.peer, self.peer], "platform": {"address": store.address},
            "zones": zones, "bounds": bounds}
        text = (ROOT / "deploy/settings.json.template").read_text(encoding="utf-8")
        self.settings = folder / f"{name}.json"
        self.settings.write_text(render(text, fields), encoding="utf-8")
        self.log = folder / f"{name}.log"
        self.process = None

    async def start(self):
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(DAEMON), cwd=ROOT, stdout=log, stderr=log,
                env={"JUJUBECART_SETTINGS": str(self.settings),
                     "PATH": os.environ.get("PATH", "")})
        self.record.add(f"entry {self.name} started")

    async def is_ready(self):
        try:
            status, _, _ = await ask(self.ip, self.ready, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, TypeError):
            return False

    async def wait_ready(self, limit=15):
        until = now() + limit
        while now() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.02)
        return False

    async def kill(self):
        self.record.add(f"entry {self.name} killed")
        self.process.kill()
        await self.process.wait()

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def lookup(fields, path):
    value = fields
    parts = path.split(".")
    for index, part in enumerate(parts):
        if isinstance(value, dict) and part in value:
            value = value[part]
        elif isinstance(value, list) and part.isdigit():
            value = value[int(part)]
        else:
            return None
    return value


def render(text, fields):
    """Fills in the template as DEPLOY.md says; sections and values only."""
    def section(match):
        return match[2] if lookup(fields, match[1]) not in (None, False) else ""

    def value(match):
        found = lookup(fields, match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", value, text)


async def ask(ip, port, message, limit):
    """Sends one request on a new connection; returns status, fields, body."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), limit)
    try:
        writer.write(message if isinstance(message, bytes) else message.encode())

        async def answer():
            head = await read_head(reader)
            if head is None:
                return None
            return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])
        return await asyncio.wait_for(answer(), limit)
    finally:
        writer.close()


class Consumer:
    """Sends requests, each with its own id, and records the answers."""

    def __init__(self, record):
        self.record = record
        self.count = 0
        self.sent = {}
        self.keys = {}
        self.answers = {}

    async def request(self, entry, path, method="GET", host="shop.example", deadline=2000,
                      key=None, body=None, on_sent=None):
        self.count += 1
        ident = f"{self.count:08x}{os.getpid() & 0xffffffff:08x}"
        message = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {ident}\r\n"
                   f"Request-Deadline: {deadline}\r\n")
        if key:
            message += f"Authorization: Token {key}\r\n"
        if body is not None:
            message += f"Content-Length: {len(body)}\r\n"
        self.sent[ident] = now()
        self.keys[ident] = key
        if on_sent:
            on_sent(ident)
        self.record.add(f"consumer sends {ident} {method} {path} to {entry.name}"
                        + (f" with key {key}" if key else ""))
        try:
            answer = await ask(entry.ip, entry.front,
                               (message + "\r\n").encode() + (body or b""), deadline / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failure:
            self.record.add(f"consumer got no answer to {ident}: {type(failure).__name__}")
            return ident, None
        status = answer[0] if answer else None
        self.answers[ident] = status
        self.record.add(f"consumer got {status} for {ident}")
        return ident, answer


def main(run, limit=115):
    """Runs a case: run(record, folder, trouble) returns 0, 1 or 2."""
    case = Path(sys.argv[1]).resolve()
    record = Record(case / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not DAEMON.exists():
        record.say("the daemon isn't built: run the build of the deploy file first")
        sys.exit(2)
    resources = []

    async def whole():
        with tempfile.TemporaryDirectory() as folder:
            try:
                return await asyncio.wait_for(
                    run(record, Path(folder), trouble, resources), limit)
            finally:
                for item in reversed(resources):
                    await item.end()
                if os.environ.get("KEEP_LOGS"):
                    os.system(f"cp {folder}/*.log {os.environ['KEEP_LOGS']}/")

    try:
        result = asyncio.run(whole())
    except Exception as failure:  # the case could not run
        record.say(f"could not run: {type(failure).__name__}: {failure}")
        result = 2
    record.say(f"trouble={'on' if trouble else 'off'} exit={result}")
    sys.exit(result)
