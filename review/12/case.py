"""An upstream starts again under its id and turns requests away with 503 and
Retry-After until it is warm. Does an entry machine leave it alone for so
long, also when the store learns of the new process in between?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from standins import Consumer, Entry, Store, Upstream, main, now, response  # noqa: E402

CHECK_IN_S = 1.5  # heartbeat 1500ms
DOWN_S = 1.0  # between the end of the upstream and its start
SLOW_S = 0.25  # until it has turned a request away: it has just started
QUIET_S = 4.0  # how long it wants nothing, from its start
BOUNDS = {"grace": "6s", "budget-ratio": 0.2, "budget-extra-tries": 56}
ZONES = {"zone-a": "region", "zone-b": "region"}


class Starting(Upstream):
    """Answers 503 with Retry-After until it is warm, then works."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.quiet_until = now() + QUIET_S
        self.arrivals = []
        self.told = []

    async def answer(self, method, path, fields, body, writer):
        machine = writer.get_extra_info("peername")[0]
        ident = fields.get("request-id", "")
        if fields.get("expected-instance") in (None, self.id):
            self.arrivals.append((now(), machine, ident))
            if now() < self.quiet_until:
                await asyncio.sleep(SLOW_S)
            left = self.quiet_until - now()
            if left > 0:
                self.told.append((now(), machine, self.quiet_until))
                self.record.add(f"upstream {self.id} (born {self.born}) turns {ident} from "
                                f"{machine} away, Retry-After {left:.2f}")
                writer.write(response(503, "Service Unavailable", b"", self.said(ident)
                                      + [("Not-Executed", "1"), ("Retry-After", f"{left:.2f}")]))
                await writer.drain()
                return
        await super().answer(method, path, fields, body, writer)


def config(version):
    return {"version": version,
            "routes": {"lookup": {
                "host": "shop.example", "path-prefix": "/lookup/", "kind": "safe",
                "timeout": "2000ms", "target-latency": "1000ms", "priority": 0,
                "service": "catalogue", "max-attempts": 3}},
            "services": {"catalogue": {"health-path": "/health", "max-conns": 220}},
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576,
                       "header-timeout": "5s", "idle-timeout": "30s"}}


async def run(record, folder, trouble, resources):
    store = Store(record)
    await store.start("127.0.0.1")
    upstreams = []
    for index in range(3):
        item = Upstream(record, f"i-{index:08x}", "catalogue",
                        "zone-a" if index % 2 else "zone-b", slots=8, work=0.3)
        await item.start("127.0.0.1")
        item.keep_reporting(store, CHECK_IN_S)
        upstreams.append(item)
        resources.append(item)
    store.put("op/config", config(7))
    entries = []
    for index in range(1):
        entry = Entry(record, store, f"front-{index}", f"127.0.0.{11 + index}",
                      "zone-a" if index % 2 else "zone-b", folder, BOUNDS, ZONES)
        resources.append(entry)
        entries.append(entry)
        await entry.start()
    for entry in entries:
        if not await entry.wait_ready():
            record.say(f"{entry.name} didn't get ready")
            return 2
    consumer = Consumer(record)
    stop = False

    async def traffic():
        turn = 0
        while not stop:
            turn += 1
            asyncio.ensure_future(consumer.request(entries[0], "/lookup/x"))
            await asyncio.sleep(1 / 75)  # two upstreams of 8 slots run 53 a second

    sender = asyncio.ensure_future(traffic())
    await asyncio.sleep(3)
    restarted = None
    if trouble:
        old = upstreams[0]
        ip, port = old.address.split(":")
        await old.end()
        record.add(f"upstream {old.id} ends")
        await asyncio.sleep(DOWN_S)
        restarted = Starting(record, old.id, old.service, old.zone, slots=8, work=0.3)
        await restarted.start(ip, int(port))
        resources.append(restarted)
        record.add(f"upstream {old.id} starts again under its id, born {restarted.born}")
        await asyncio.sleep(CHECK_IN_S)
        restarted.keep_reporting(store, CHECK_IN_S)
        record.add("the store has its first check-in")
    await asyncio.sleep(QUIET_S + 1)
    stop = True
    await asyncio.sleep(2.5)
    sender.cancel()
    answered = sum(status == 200 for status in consumer.answers.values())
    record.add(f"{consumer.count} requests sent, {answered} answered with 200")
    if answered < consumer.count / 4:
        record.say("the machines served too little")
        return 2
    if restarted is None:
        record.say("no upstream turned requests away")
        return 0
    broken = 0
    for entry in entries:
        told = [at for at, machine, _ in restarted.told if machine == entry.ip]
        if not told:
            continue
        late = [ident for at, machine, ident in restarted.arrivals if machine == entry.ip
                and told[0] + 0.5 < at < restarted.quiet_until]
        record.add(f"{entry.name}: told at {told[0] - record.start:.3f}, {len(late)} requests "
                   f"between half a second later and the end of the time: {' '.join(late)}")
        broken += len(late) > 2
    record.say(f"{broken} of {len(entries)} machines sent more than two requests to the upstream "
               f"in the time for which it had asked for none")
    return 1 if broken else 0


main(run)
