"""Stand-ins of the servers: engines and plain services that follow the pages, and the sheets' sizes."""

import asyncio
import hashlib
import random
import time

from rig import BOUNDS, HEARTBEAT_S, HttpServer

EVENTS, EVENT_S, PROMPT_TOKENS, OUTPUT_TOKENS = 70, 0.05, 5200, 5040
KV_HOLD_S = 0.5


class Server:
    """One server process. Subclasses run requests in work()."""

    def __init__(self, rig, name, service, stage=None, slots=6):
        self.rig, self.name, self.service, self.stage, self.slots = rig, name, service, stage, slots
        self.id = f"i-{random.randrange(16 ** 10):010x}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.is_up = True
        self.is_leaving = False
        self.beats = True
        self.running = 0
        self.handles = {}
        # (time, request id, what) of each call that was not turned away.
        self.arrivals = []
        self.runs = []
        # Connections of the requests that run now.
        self.active = {}
        self.http = HttpServer(self.handle)

    async def start(self, port=0):
        await self.http.start("127.0.0.1", port)
        self.beat()
        self.rig.task(self._beat_for_ever())

    def entry(self):
        """The next beat; each has a higher seq than the one before."""
        self.seq += 1
        entry = {"service": self.service, "addr": "%s:%d" % self.http.address, "zone": "zone-a",
                 "version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
                 "seq": self.seq, "born": self.born}
        if self.stage:
            entry.update({"stage": self.stage,
                          "models": [{"name": "m", "version": 1, "adapters": []}]})
        return entry

    def beat(self):
        return self.rig.store.put("servers", self.id, self.entry())

    async def _beat_for_ever(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_up and self.beats:
                self.beat()

    def exit(self):
        self.is_up = False
        self.http.stop()
        self.rig.store.remove("servers", self.id)

    def fields(self, request):
        fields = [("Request-Id", request.headers.get("request-id", "")),
                  ("Keep-Alive", "timeout=5")]
        return fields + ([("Server-Leaving", "1")] if self.is_leaving else [])

    async def handle(self, connection, request):
        fields = self.fields(request)
        if request.headers.get("expect-instance", self.id) != self.id:
            await connection.answer(421, fields=fields + [("Instance-Id", self.id)])
            return
        refusal = fields + [("Not-Executed", "1")]
        if self.running >= self.slots:
            await connection.answer(503, fields=refusal)
            return
        request_id = request.headers.get("request-id", "")
        if self.stage:
            is_prefill = request.headers.get("serving-stage") == "prefill"
            if is_prefill != (self.stage == "prefill"):
                await connection.answer(421, fields=refusal)
                return
            self.arrivals.append((time.monotonic(), request_id, "prefill" if is_prefill else "run"))
            if is_prefill:
                await asyncio.sleep(0.09)
                handle = f"{random.randrange(16 ** 12):012x}"
                self.handles[handle] = time.monotonic() + KV_HOLD_S
                body = f'{{"kv_handle":"{handle}","tokens":{PROMPT_TOKENS},"version":1}}'
                await connection.answer(200, body.encode(), fields)
                return
            source = request.headers.get("kv-source")
            if source and not self.rig.take_handle(source):
                await connection.answer(503, fields=refusal)
                return
        else:
            self.arrivals.append((time.monotonic(), request_id, "run"))
        self.running += 1
        run = [request_id, time.monotonic(), None]
        self.runs.append(run)
        self.active[request_id] = connection
        try:
            await self.work(connection, request)
            run[2] = time.monotonic()
        finally:
            self.running -= 1
            self.active.pop(request_id, None)

    async def work(self, connection, request):
        raise NotImplementedError


class Engine(Server):
    async def work(self, connection, request):
        begin = int(request.headers.get("last-event-id", "0")) + 1
        await asyncio.sleep(EVENT_S)
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        fields = [*self.fields(request), ("Response-Seal", "s")]
        head += "".join(f"{name}: {value}\r\n" for name, value in fields)
        await connection.send(head.encode() + b"\r\n")
        for number in range(begin, EVENTS + 1):
            event = f"id: {number}\ndata: {request.headers['request-id']}.{number}\n\n".encode()
            await connection.send(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(EVENT_S)
        await connection.send(b"0\r\n\r\n")


class Plain(Server):
    WORK_S = 0.06

    async def work(self, connection, request):
        await asyncio.sleep(self.WORK_S)
        body = request.headers["request-id"].encode() + b"." * 780
        seal = ("Response-Seal", hashlib.sha1(body).hexdigest())
        await connection.answer(200, body, [*self.fields(request), seal])


def config(version=1, more=()):
    def route(name, kind, service, **more):
        return {"name": name, "host": "tartan.example", "prefix": f"/{name}/", "kind": kind,
                "timeout_ms": 14000 if kind == "streaming" else 3000,
                "target_latency_ms": 900 if kind == "streaming" else 300, "priority": 1,
                "service": service, "max_attempts": 2, "sticky": kind == "streaming",
                "resumable": False, **more}
    return {"version": version, "routes": [
        route("clash", "streaming", "verdict-llm", resumable=True, target_gap_ms=300),
        route("lineage", "streaming", "verdict-llm", max_attempts=1, target_gap_ms=300),
        route("claim", "non_idempotent", "register-app", max_attempts=1, priority=2),
        route("read", "idempotent", "register-app", priority=2),
        *(route(**one) for one in more)],
        "services": [
            {"name": "verdict-llm", "health_path": "/healthz", "max_conns": 370, "protocol": "h1",
             "tls": False, "engine": {
                 "slots": 64, "kv_tokens": 107085, "kv_token_bytes": 163840,
                 "link_mbps": 7200000.0, "moves": True, "backups": True, "stride": 72, "most": 12,
                 "kv_hold_s": KV_HOLD_S, "switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0,
                 "models": [{"name": "m"}]}},
            {"name": "register-app", "health_path": "/healthz", "max_conns": 110, "protocol": "h1",
             "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def stream_headers(request_id, deadline_ms=14000, first_part="5c1e07a2"):
    return {"Request-Id": request_id, "Model-Id": "m",
            "Token-Count": f"{PROMPT_TOKENS},{OUTPUT_TOKENS}",
            "Prompt-Prefix": f"{first_part}:200,{request_id}:{PROMPT_TOKENS - 200}",
            "Deadline-Ms": str(deadline_ms)}
