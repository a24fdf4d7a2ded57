"""Stand-ins for the platform's store, engines and plain services; they record received requests."""

import asyncio
import base64
import hashlib
import json
import random
import time
from urllib.parse import parse_qs, unquote, urlsplit

from http_io import listen

HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004
FIRST_EVENT_S = 0.03
EVENT_S = 0.02
PREFILL_S = 0.02
PREFILL_HOLD_S = 0.5
STAGE_CHANGE_S = 1.0
HEALTH_PATH = "/healthz"
# Share of the streams that have neither a length nor chunks and end with their connection.
UNFRAMED_SHARE = 0.3
# Routes whose work takes one of LONG_WORK_S while site.is_slow is set. The longest outlasts the
# grace time of a stop.
LONG_PREFIX = "/long"
# Time from the head of an answer until a part of the prompt crashes the engine.
PART_CRASH_S = (0.0, 0.08)
LONG_WORK_S = (0.3, 1, 3, 10)


def event_count(request_id):
    return 10 + int(hashlib.sha1(request_id.encode()).hexdigest(), 16) % 50


def signature(body):
    return "seal-" + hashlib.sha1(body).hexdigest()


# What calls get while the store is away: 503, a reset, or nothing.
OUTAGES = ("busy", "reset", "silent")


class StoreCopy:
    """State of a store at one time, from which it may return."""

    def __init__(self, store):
        self.at = time.monotonic()
        self.version, self.oldest = store.version, store.oldest
        self.rows, self.history = dict(store.rows), list(store.history)


class Store:
    """Versioned rows.

    Faults delete the change history, lose, delay or refuse answers, or restore an older copy.
    """

    def __init__(self, host, rng):
        self.host = host
        self.rng = rng
        self.port = 0
        self.version = 0
        self.rows = {}
        self.history = []
        self.oldest = 0
        self.changed = asyncio.Event()
        self.refuse_share = 0.0
        self.lose_share = 0.0
        self.extra_delay_s = 0.0
        self.calls = 0
        # Number of returns from an older copy, sent with all answers; None: it is not sent.
        self.era = None
        # One of OUTAGES for each outage that lasts.
        self.outages = []
        # Instances whose rows were removed; a return may bring them back.
        self.removed = set()

    async def start(self):
        _, self.port, _ = await listen(self.host, self.handle)

    def put(self, table, key, value):
        """Writes a row as the platform itself; returns the time of the acknowledgement."""
        self._change(table, key, json.dumps(value).encode())
        return time.monotonic()

    def remove(self, table, key):
        if table == "servers":
            self.removed.add(key)
        self._change(table, key, None)
        return time.monotonic()

    def forget_history(self):
        self.history.clear()
        self.oldest = self.version

    def return_from(self, copy):
        """Continues from an older copy; returns the rows lost by the platform's own writers.

        Versions that were given out since the copy are given out again.
        """
        lost = [row for row in self.history
                if row["ver"] > copy.version and row["table"] in ("op", "servers")]
        self.version, self.oldest = copy.version, copy.oldest
        self.rows, self.history = dict(copy.rows), list(copy.history)
        if self.era is not None:
            self.era += 1
        self._notify()
        return lost

    def write_again(self, lost):
        """Repeats writes as their writers do after a return.

        The operator repeats all in their order; a server writes what its entry is now.
        """
        newest = {row["key"]: row for row in lost if row["table"] == "servers"}
        for row in [r for r in lost if r["table"] == "op"] + list(newest.values()):
            value = None if row.get("deleted") else base64.b64decode(row["value"])
            self._change(row["table"], row["key"], value)

    def _change(self, table, key, value):
        if value is None and (table, key) not in self.rows:
            return
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        if value is None:
            del self.rows[table, key]
            self.history.append({**row, "deleted": True})
        else:
            row["value"] = base64.b64encode(value).decode()
            self.rows[table, key] = row
            self.history.append(row)
        del self.history[:-500]
        self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _rows_answer(self, rows):
        return {"rows": rows, "ver": self.version, "now_ms": int(time.monotonic() * 1000),
                "has_more": False}

    async def handle(self, connection, request):
        self.calls += 1
        await asyncio.sleep(STORE_ANSWER_S + self.extra_delay_s)
        outage = self.outages[-1] if self.outages else None
        if outage == "reset":
            connection.reset()
            return
        if outage == "silent":
            await asyncio.sleep(3600)
        if outage == "busy" or self.rng.random() < self.refuse_share:
            await connection.answer(503, headers=self._fields())
            return
        status, body = await self._execute(request)
        if self.rng.random() < self.lose_share:
            connection.reset()
            return
        await connection.answer(status, json.dumps(body).encode(),
                                [("Content-Type", "application/json"), *self._fields()])

    def _fields(self):
        return [] if self.era is None else [("Store-Era", str(self.era))]

    async def _execute(self, request):
        url = urlsplit(request.target)
        query = {k: unquote(v[0]) for k, v in parse_qs(url.query).items()}
        call = url.path.rsplit("/", 1)[1]
        if call == "rows-get":
            rows = [row for (table, _), row in sorted(self.rows.items()) if table == query["table"]]
            return 200, self._rows_answer(rows)
        if call == "rows-feed":
            after = int(query["after"])
            deadline = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                if after < self.oldest or after > self.version:
                    return 410, {}
                rows = [r for r in self.history if r["ver"] > after and r["table"] == query["table"]]
                left = deadline - time.monotonic()
                if rows or left <= 0:
                    return 200, self._rows_answer(rows)
                try:
                    async with asyncio.timeout(left):
                        await self.changed.wait()
                except asyncio.TimeoutError:
                    pass  # the next iteration answers with no rows
        if call == "rows-tx":
            change = json.loads(request.body)
            for row in change["expected"]:
                if self.rows.get((row["table"], row["key"]), {"ver": 0})["ver"] != row["ver"]:
                    return 412, self._rows_answer([])
            for row in change["writes"]:
                self._change(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in change["remove"]:
                self._change(row["table"], row["key"], None)
            return 200, self._rows_answer([])
        return 400, {}


class Upstream:
    """One engine or plain server behind its proxy."""

    def __init__(self, site, name, service, stage, slots):
        self.site = site
        self.name = name
        self.service = service
        self.stage = stage
        self.slots = slots
        self.instance = ""
        self.started_unix_ms = 0
        self.is_up = False
        self.state = "ready"
        self.left_at = None
        self.running = 0
        self.handles = {}
        self.fail_share = 0.0
        self.extra_work_s = 0.0
        self.connections = set()
        self.server = None
        self.heartbeat_count = 0
        self.proxy = None
        # [begin, end] of each fault that affected the server or its link.
        self.faults = []

    async def start(self):
        self.instance = f"i-{self.name}-{random.randrange(16 ** 8):08x}"
        self.started_unix_ms = int(time.time() * 1000)
        self.state, self.left_at, self.running, self.handles = "ready", None, 0, {}
        self.server, port, self.connections = await listen(self.site.host, self.handle)
        if self.proxy.port:
            self.proxy.target = (self.site.host, port)
        else:
            await self.proxy.start(self.site.host, port)
        self.is_up = True

    def crash(self):
        """Ends all connections; the row in the store expires after three missed heartbeats."""
        self.is_up = False
        self.server.close()
        is_orderly = random.random() < 0.5
        for connection in list(self.connections):
            connection.end(is_orderly)
        instance = self.instance
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, lambda: self.site.store.remove("servers", instance))

    def announce_leaving(self):
        self.state = "draining"
        self.left_at = self.announce()

    def write_again(self):
        """Repeats what the store has lost; a leaving is then acknowledged by the second write."""
        store, key = self.site.store, ("servers", self.instance)
        if self.left_at is None:
            self.announce()
        elif self.state != "draining":
            if key in store.rows:
                self.left_at = store.remove(*key)
        elif key not in store.rows or \
                json.loads(base64.b64decode(store.rows[key]["value"]))["state"] != "draining":
            self.announce_leaving()

    def announce(self):
        self.heartbeat_count += 1
        entry = {"service": self.service, "addr": f"{self.site.host}:{self.proxy.port}",
                 "zone": "domain-a", "version": "v1", "slots": self.slots, "state": self.state,
                 "cold_left_ms": 0, "seq": self.heartbeat_count, "born": self.started_unix_ms}
        if self.stage in ("prefill", "decode"):
            entry["stage"] = self.stage
        return self.site.store.put("servers", self.instance, entry)

    async def handle(self, connection, request):
        now = time.monotonic()
        headers = request.headers
        request_id = headers.get("request-id", "")
        echo = [("Request-Id", request_id), ("Keep-Alive", "timeout=5")]
        not_run = [*echo, ("Not-Executed", "1")]
        if headers.get("expect-instance", self.instance) != self.instance:
            await connection.answer(421, headers=echo)
            return
        if request.target == "/rattanramp/order":
            await self.handle_order(connection, json.loads(request.body), now)
            return
        if (request.method, request.target) == ("GET", HEALTH_PATH):
            is_healthy = self.state != "draining" and self.running < self.slots
            await connection.answer(200 if is_healthy else 503,
                                    headers=[*echo[1:], ("Instance-Id", self.instance)])
            return
        self.site.record.add_arrival(self, request, now)
        if self.running >= self.slots:
            await connection.answer(503, headers=not_run)
            return
        if headers.get("serving-stage") == "prefill":
            if self.stage != "prefill":
                await connection.answer(421, headers=not_run)
                return
            await asyncio.sleep(PREFILL_S + self.extra_work_s)
            handle = f"h{random.randrange(16 ** 8):08x}"
            self.handles[handle] = (request_id, now + PREFILL_HOLD_S + PREFILL_S)
            await connection.answer(200, json.dumps(
                {"kv_handle": handle, "tokens": 100, "version": 1}).encode(), echo)
            return
        source = headers.get("kv-source")
        if source and not self.site.take_handle(source, request_id):
            await connection.answer(503, headers=not_run)
            return
        if self.stage == "prefill":
            await connection.answer(421, headers=not_run)
            return
        self.running += 1
        run = self.site.record.add_run(self, request, now)
        try:
            if self.stage:
                await self.stream(connection, request, echo)
            else:
                await self.work(connection, request, echo)
            run.is_complete = True
        finally:
            run.end = time.monotonic()
            self.running -= 1

    async def handle_order(self, connection, order, now):
        self.site.record.add_order(self, order, now)
        self.stage = "changing"
        await connection.answer(202, b"{}")
        await asyncio.sleep(STAGE_CHANGE_S)
        self.stage = order["stage"]

    def _long_work_s(self, request):
        is_long = request.target.startswith(LONG_PREFIX + "/")
        return random.choice(LONG_WORK_S) if is_long and self.site.is_slow else 0.0

    async def work(self, connection, request, echo):
        until = time.monotonic() + self._long_work_s(request)
        while self.site.is_slow and time.monotonic() < until:
            await asyncio.sleep(0.05)
        await asyncio.sleep(random.uniform(0.005, 0.03) + self.extra_work_s)
        body = (f"{request.headers['request-id']} {self.instance} ".encode()
                + hashlib.sha1(request.body).hexdigest().encode() + b"." * random.randrange(3000))
        if random.random() < self.fail_share:
            connection.reset()
            raise ConnectionResetError
        await connection.answer(200, body, [*echo, ("Response-Seal", signature(body))])

    async def stream(self, connection, request, echo):
        import h11
        request_id = request.headers["request-id"]
        await asyncio.sleep(FIRST_EVENT_S + self.extra_work_s)
        headers = [*echo, ("Response-Seal", "stream"), ("Content-Type", "text/event-stream")]
        is_chunked = random.random() > UNFRAMED_SHARE

        async def send_event(data):
            await (connection.send(h11.Data(data=data)) if is_chunked else connection.write(data))

        if is_chunked:
            await connection.send(h11.Response(
                status_code=200, headers=[*headers, ("Transfer-Encoding", "chunked")]))
        else:
            fields = "".join(f"{name}: {value}\r\n" for name, value in headers)
            await connection.write(f"HTTP/1.1 200 OK\r\n{fields}\r\n".encode())
        crashing = self.site.crashing_part(request)
        if crashing is not None:
            await asyncio.sleep(random.uniform(*PART_CRASH_S))
            self.site.crash_by_part(self, crashing)
            raise ConnectionResetError
        begin = int(request.headers.get("last-event-id", "0")) + 1
        extra_s = self._long_work_s(request) / event_count(request_id)
        for number in range(begin, event_count(request_id) + 1):
            await asyncio.sleep(EVENT_S + (extra_s if self.site.is_slow else 0.0))
            event = f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
            if random.random() < self.fail_share / 20:
                await send_event(event[:random.randrange(len(event))])
                connection.end(is_orderly=random.random() < 0.5)
                raise ConnectionResetError
            await send_event(event)
        if is_chunked:
            await connection.send(h11.EndOfMessage())
