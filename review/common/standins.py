"""Stand-ins for the platform's store, upstreams and consumers, and a runner
for entry processes. Everything uses loopback addresses and the real clock."""

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
STORE_ANSWER_S = 0.004
HISTORY_S = 20.0
# Bounds of the site himali-maps.
DRAIN_S = 2.0
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
CONTACT_S = 3.0


class CannotRun(Exception):
    """The case could not run; no statement about the rule."""


class Record:
    """Log of what was sent, answered and run; written to record.txt."""

    def __init__(self):
        self.start = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{self.now():8.3f} {event} {text}")

    def write(self, path):
        with open(path, "w", encoding="utf-8") as out:
            out.write("\n".join(self.lines) + "\n")


async def read_head(reader):
    """Returns the start line and the fields (names in lower case), or None at
    the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("connection ended within a head") from error
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Store:
    """The platform's metadata store, without limits or disruptions."""

    def __init__(self, ip):
        self.ip = ip
        self.port = 0
        self.revision = 1
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.lease = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, self.ip, 0, limit=1 << 22)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {
            "key": key, "value": base64.b64encode(value).decode(),
            "revision": self.revision, "created": created, "lease": lease}
        self.note(self.items[key])

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.note({"key": key, "revision": self.revision, "tombstone": True})

    def note(self, event):
        self.history.append((time.monotonic(), event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError,
                                 asyncio.CancelledError):
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                await asyncio.sleep(STORE_ANSWER_S)
                status, answer = await self.answer(method, target, body)
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/kv-key":
            item = self.items.get(args["key"])
            if item is None:
                return 404, {"as-of": self.revision}
            return 200, {**item, "as-of": self.revision}
        if path == "/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(args["path-prefix"])
                          and key > args.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]],
                         "has-more": len(keys) > 500, "as-of": self.revision}
        if path == "/kv-watch":
            return await self.watch(args)
        if path == "/kv-txn":
            return self.transact(json.loads(body))
        if path == "/kv-lease":
            self.lease += 1
            return 200, {"lease": self.lease,
                         "ttl_time": json.loads(body)["ttl_time"]}
        if path.startswith("/kv-keep/"):
            return 200, {"ttl_time": "3000ms"}
        return 404, {}

    async def watch(self, args):
        after = int(args["after"])
        until = time.monotonic() + int(args["wait-ms"]) / 1000
        while True:
            events = [event for _, event in self.history
                      if event["revision"] > after
                      and event["key"].startswith(args["path-prefix"])]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as-of": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def transact(self, call):
        for row in call.get("expect", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                known = [self.items[each["key"]] for each in call["expect"]
                         if each["key"] in self.items]
                return 412, {"items": known}
        if any(key.startswith(("op/", "servers/")) for key in
               [row["key"] for row in call.get("puts", [])]
               + call.get("remove", [])):
            return 403, {}
        for row in call.get("puts", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Request:
    def __init__(self, method, target, fields, body, machine):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body
        self.id = fields.get("request-id", "")
        # Source address, which is that of the entry VM.
        self.machine = machine


class Upstream:
    """One upstream. It runs `slots` requests at a time, queues `queue` more
    and turns away what is beyond. Subclasses override the hooks."""

    def __init__(self, record, ip, name, service, zone, slots, work_s, queue=6):
        self.record = record
        self.ip = ip
        self.id = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.runs = {}
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def exit(self):
        """Ends like a process: the listener and all connections close."""
        self.record.add("exited", upstream=self.id)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, state="ready"):
        return json.dumps({
            "address": f"{self.ip}:{self.port}",
            "info": {"service": self.service, "version": "v1",
                     "zone": self.zone, "slots": self.slots},
            "status": {"state": state, "sequence": 1, "warmup-left": "0ms"},
            "born": self.born}).encode()

    def register(self, store, state="ready"):
        if not hasattr(self, "born"):
            self.born = int(time.time() * 1000)
        store.put(f"servers/{self.id}", self.entry(state))

    def load(self):
        return f"Upstream-Load: {self.running},{self.waiting},{self.slots},100\r\n"

    # Hooks.
    def turns_away(self, _request):
        """Extra fields of a 503 with Not-Executed, or None to take the
        request."""
        return None

    def outcome(self, _request):
        """Status, reason and extra fields of a request that has run."""
        return 200, "OK", ""

    def extra_fields(self, _request):
        return ""

    async def serve(self, reader, writer):
        machine = writer.get_extra_info("peername")[0]
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError,
                                 asyncio.CancelledError):
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                request = Request(method, target, head[1], body, machine)
                if target == "/health":
                    answer = (f"HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\n"
                              f"{self.load()}Content-Length: 0\r\n\r\n").encode()
                else:
                    answer = await self.handle(request, reader)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def handle(self, request, reader):
        expected = request.fields.get("expected-instance", self.id)
        if expected != self.id:
            return (f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.id}"
                    "\r\nContent-Length: 0\r\n\r\n").encode()
        away = self.turns_away(request)
        if away is None and self.running >= self.slots and self.waiting >= self.queue:
            away = ""
        if away is not None:
            return self.reject(request, away)
        self.record.add("reached", upstream=self.id, id=request.id,
                        machine=request.machine)
        budget = int(request.fields.get("request-deadline", "30000")) / 1000
        gone = asyncio.ensure_future(reader.read(1))
        self.waiting += 1
        try:
            slot = asyncio.ensure_future(self.free.acquire())
            done, _ = await asyncio.wait({slot, gone}, timeout=budget,
                                         return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.waiting -= 1
        if slot not in done:
            if not slot.cancel():
                self.free.release()
            if gone in done:
                return None
            gone.cancel()
            return self.reject(request, "")
        self.running += 1
        self.runs[request.id] = self.runs.get(request.id, 0) + 1
        self.record.add("run", upstream=self.id, id=request.id,
                        method=request.method, machine=request.machine)
        try:
            await asyncio.wait({gone}, timeout=self.work(request))
        finally:
            self.running -= 1
            self.free.release()
        if gone.done():
            self.record.add("dropped", upstream=self.id, id=request.id)
            return None
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await gone
        status, reason, extra = self.outcome(request)
        text = f"{self.id} ran {request.id}\n"
        self.record.add("upstream-answer", upstream=self.id, id=request.id,
                        status=status)
        return (f"HTTP/1.1 {status} {reason}\r\nRequest-Id: {request.id}\r\n"
                f"Response-Signature: s.{self.id}.{request.id}\r\n{extra}"
                f"{self.extra_fields(request)}{self.load()}"
                f"Content-Length: {len(text)}\r\n\r\n{text}").encode()

    def work(self, _request):
        return self.work_s

    def reject(self, request, extra):
        self.record.add("turned-away", upstream=self.id, id=request.id,
                        machine=request.machine, fields=extra.strip() or "none")
        return (f"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request.id}\r\n"
                f"Not-Executed: 1\r\n{extra}{self.extra_fields(request)}{self.load()}"
                "Content-Length: 0\r\n\r\n").encode()


class Answer:
    def __init__(self, status, fields, body):
        self.status = status
        self.fields = fields
        self.body = body


class Consumer:
    """Sends requests, each on a new connection."""

    def __init__(self, record):
        self.record = record
        self.count = 0

    def new_id(self):
        self.count += 1
        return f"{os.getpid() & 0xffff:04x}{self.count:012x}"

    async def send(self, entry, method, host, path, budget_ms, body=b""):
        """Sends one attempt; returns its id and the answer, or None if the
        connection ended without a complete one."""
        request_id = self.new_id()
        self.record.add("sent", id=request_id, entry=entry.name, method=method,
                        path=path)
        answer = None
        why = ""
        try:
            answer = await asyncio.wait_for(
                self.exchange(entry, method, host, path, budget_ms, body,
                              request_id), budget_ms / 1000)
        except asyncio.TimeoutError:
            why = "time budget over"
        except (ConnectionError, asyncio.IncompleteReadError, OSError) as error:
            why = f"connection ended: {type(error).__name__}"
        if answer is None:
            self.record.add("unanswered", id=request_id, entry=entry.name,
                            why=(why or "connection ended").replace(" ", "_"))
        else:
            self.record.add("answered", id=request_id, entry=entry.name,
                            status=answer.status,
                            retry_after=answer.fields.get("retry-after", "-"))
        return request_id, answer

    async def exchange(self, entry, method, host, path, budget_ms, body,
                       request_id):
        reader, writer = await asyncio.open_connection(entry.ip, entry.front)
        try:
            length = f"Content-Length: {len(body)}\r\n" if body else ""
            if method == "POST" and not body:
                length = "Content-Length: 0\r\n"
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                          f"Request-Id: {request_id}\r\n"
                          f"Request-Deadline: {budget_ms}\r\n{length}\r\n"
                          ).encode() + body)
            await writer.drain()
            while True:
                head = await read_head(reader)
                if head is None:
                    return None
                status = int(head[0].split(" ")[1])
                if status >= 200:
                    break
            if "content-length" in head[1] or "transfer-encoding" in head[1]:
                text = await read_body(reader, head[1])
            else:
                text = await reader.read()
            return Answer(status, head[1], text)
        finally:
            writer.close()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Entry:
    """One entry process, started with the command of the deploy file."""

    def __init__(self, record, folder, ip, name, zone, zones, store):
        self.record = record
        self.ip = ip
        self.name = name
        self.front = free_port(ip)
        self.ready = free_port(ip)
        self.peer = free_port(ip)
        self.process = None
        self.log = os.path.join(folder, f"{name}.log")
        self.settings = os.path.join(folder, f"{name}.json")
        # What deploy/settings.json.template gives for himali-maps.
        with open(self.settings, "w", encoding="utf-8") as out:
            json.dump({
                "vm": {"id": name, "zone": zone, "region": "kathmandu",
                       "address": ip, "processor_share": 0.2, "cores": 1},
                "callers": {"listen": f"{ip}:{self.front}"},
                "operators": {"listen": f"{ip}:{self.ready}"},
                "peers": {"listen": f"{ip}:{self.peer}"},
                "store": {"endpoints": [f"{store.ip}:{store.port}"]},
                "directory": {"zones": {each: "kathmandu" for each in zones},
                              "grace": "6s"},
                "retries": {"ratio": 0.2, "fleet_burst": 60},
                "workers": 1, "timeline_events": 0}, out)

    async def start(self):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as source:
            command = tomllib.load(source)["roles"]["entry"]["run"].split(" ")
        program = os.path.join(ROOT, command[0])
        if not os.path.exists(program):
            raise CannotRun(f"{command[0]} is missing: run the build of the deploy file")
        with open(self.log, "ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                program, *command[1:], cwd=ROOT, stdout=out, stderr=out,
                env={"PATH": os.environ.get("PATH", ""),
                     "HOME": os.environ.get("HOME", "/"),
                     "JUJUBECART_SETTINGS": self.settings})
        self.record.add("entry-started", entry=self.name)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(f"GET /ready HTTP/1.1\r\nHost: {self.ip}\r\n"
                         "Connection: close\r\n\r\n".encode())
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, ConnectionError, asyncio.TimeoutError):
            return False

    def running(self):
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number):
        self.record.add("signal", entry=self.name, number=signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self):
        if self.running():
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


class Deployment:
    """Store, upstreams and entry processes of a small installation in three
    zones."""

    ZONES = ("lalitpur", "bhaktapur", "kirtipur")

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.store = Store("127.0.9.1")
        self.upstreams = []
        self.entries = []
        self.version = 0

    def add_upstream(self, kind, name, service, slots, work_s, **options):
        number = len(self.upstreams)
        upstream = kind(self.record, f"127.0.8.{number + 1}", name, service,
                        self.ZONES[number % 3], slots, work_s, **options)
        self.upstreams.append(upstream)
        return upstream

    def configure(self, routes, services):
        self.version += 3
        self.store.put("op/config", json.dumps({
            "version": self.version, "routes": routes,
            "services": {name: {"health-path": "/health", "max-conns": 240,
                                "protocol": "h1", "tls": False}
                         for name in services},
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864,
                       "header-timeout": "3000ms", "idle-timeout": "15000ms"}}).encode())

    async def start(self, machines, routes, services):
        await self.store.start()
        for upstream in self.upstreams:
            await upstream.start()
            upstream.register(self.store)
        self.configure(routes, services)
        for number in range(machines):
            zone = self.ZONES[number % 3]
            entry = Entry(self.record, self.folder, f"127.0.7.{number + 1}",
                          f"front-{zone}-{number // 3 + 1}", zone, self.ZONES,
                          self.store)
            self.entries.append(entry)
            await entry.start()
        for _ in range(200):
            if all([await entry.is_ready() for entry in self.entries]):
                # Traffic starts 8 s after the machines do; half of it is
                # enough for three machines.
                await asyncio.sleep(4)
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the entry processes did not become ready")

    async def stop(self):
        for entry in self.entries:
            await entry.end()


async def end_tasks():
    """Ends what still serves connections, so that the loop closes cleanly."""
    await asyncio.sleep(0.1)
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    await asyncio.sleep(0.1)


def run_case(folder, case):
    """Runs `case(deployment, record, trouble)`, which returns the list of what
    broke the rule, and exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record()

    async def whole():
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(record, temporary)
            try:
                return await asyncio.wait_for(case(deployment, record, trouble), 110)
            finally:
                await deployment.stop()
                await end_tasks()
                if os.environ.get("KEEP_LOGS"):
                    for entry in deployment.entries:
                        target = os.path.join(os.environ["KEEP_LOGS"], entry.name + ".log")
                        with open(entry.log, "rb") as src, open(target, "wb") as out:
                            out.write(src.read())

    # SIGTERM ends the run like Ctrl-C, with the processes that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        broken = asyncio.run(whole())
        code = 1 if broken else 0
        for line in broken:
            record.add("broken", what=line.replace(" ", "_"))
        print("rule broken" if broken else "rule held")
        for line in broken[:12]:
            print("  " + line)
    except CannotRun as error:
        print(f"could not run: {error}")
        code = 2
    except Exception as error:  # pylint: disable=broad-except
        print(f"could not run: {type(error).__name__}: {error}")
        code = 2
    record.write(os.path.join(folder, "record.txt"))
    sys.exit(code)
