"""Stand-ins for the review of issue 58: the platform's store, servers, callers, gateway processes.

Written from the users' pages (PROTOCOL.md, DEPLOY.md); standard library only. Everything listens on
loopback addresses and free ports, and all processes that were started are ended.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import uuid
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "bin", "rattanramp-gateway")
HOST = "site.example"
HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played; exit code 2."""


class Log:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begin = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.file.flush()


def free_port(kind=socket.SOCK_STREAM, host="127.0.0.1"):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Message:
    """Head and body of a request or an answer."""

    def __init__(self, first, fields):
        self.first = first
        self.fields = fields
        self.headers = {name.lower(): value for name, value in fields}
        self.body = b""
        self.is_complete = False

    @property
    def status(self):
        return int(self.first.split()[1])

    @property
    def method(self):
        return self.first.split()[0]

    @property
    def target(self):
        return self.first.split()[1]


async def read_head(reader):
    """The next head; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")[:-2]
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.append((name, value.strip()))
    return Message(lines[0], fields)


async def read_body(reader, message, until_close=False):
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                if size == 0:
                    while (await reader.readline()).strip():
                        pass
                    break
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
        elif "content-length" in message.headers:
            message.body = await reader.readexactly(int(message.headers["content-length"]))
        elif until_close:
            while data := await reader.read(65536):
                message.body += data
        message.is_complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    return message


def encode_head(first, fields):
    return (first + "\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields) + "\r\n").encode("latin-1")


def reset(writer):
    raw = writer.transport.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


class Listener:
    """An HTTP/1.1 server; handle(reader, writer, request) answers each request."""

    limit = 1024 * 1024

    async def listen(self, host="127.0.0.1", port=0):
        self.host = host
        self.writers = set()
        self.listener = await asyncio.start_server(self._serve, host, port, backlog=1024,
                                                   limit=self.limit)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                await read_body(reader, request)
                if await self.handle(reader, writer, request) == "close":
                    break
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass  # the peer has left, or the case ends
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, status, fields=(), body=b""):
        writer.write(encode_head(f"HTTP/1.1 {status} X", [*fields, ("Content-Length", len(body))])
                     + body)
        await writer.drain()


class Store(Listener):
    """Rows with versions, transactions, and a feed of changes."""

    async def start(self):
        self.version = 0
        self.rows = {}
        self.history = []
        self.changed = asyncio.Event()
        # While set, calls are answered with 503, or not at all.
        self.is_busy = self.is_silent = False
        await self.listen()

    def put(self, table, key, value):
        """Writes a row as the operator or a server; returns the time of the acknowledgement."""
        self._change(table, key, value if isinstance(value, bytes) else json.dumps(value).encode())
        return time.monotonic()

    def remove(self, table, key):
        self._change(table, key, None)
        return time.monotonic()

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
        del self.history[:-2000]
        self.changed.set()
        self.changed = asyncio.Event()

    def _answer(self, rows):
        return {"rows": rows, "ver": self.version, "now_ms": int(time.monotonic() * 1000),
                "has_more": False}

    async def handle(self, reader, writer, request):
        await asyncio.sleep(STORE_ANSWER_S)
        if self.is_busy:
            await self.answer(writer, 503)
            return
        if self.is_silent:
            await asyncio.sleep(3600)  # the connection delivers nothing further
        status, body = await self._execute(request)
        if self.is_silent:
            await asyncio.sleep(3600)
        await self.answer(writer, status, [("Content-Type", "application/json")],
                          json.dumps(body).encode())

    async def _execute(self, request):
        url = urlsplit(request.target)
        query = {k: unquote(v[0]) for k, v in parse_qs(url.query).items()}
        call = url.path.rsplit("/", 1)[1]
        if call == "rows-get":
            return 200, self._answer([row for (table, _), row in sorted(self.rows.items())
                                      if table == query["table"]])
        if call == "rows-feed":
            deadline = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                rows = [r for r in self.history
                        if r["ver"] > int(query["after"]) and r["table"] == query["table"]]
                left = deadline - time.monotonic()
                if rows or left <= 0:
                    return 200, self._answer(rows)
                try:
                    async with asyncio.timeout(left):
                        await self.changed.wait()
                except TimeoutError:
                    pass
        if call == "rows-tx":
            change = json.loads(request.body)
            for row in change["expected"]:
                if self.rows.get((row["table"], row["key"]), {"ver": 0})["ver"] != row["ver"]:
                    return 412, self._answer([])
            for row in change["writes"]:
                self._change(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in change["remove"]:
                self._change(row["table"], row["key"], None)
            return 200, self._answer([])
        return 400, {}


class Server(Listener):
    """A plain server, or an engine (stage 'prefill' or 'decode')."""

    work_s = 0.06
    first_event_s = 0.05
    event_s = 0.03
    events = 20

    def __init__(self, site, name, service, stage=None, slots=6):
        self.site, self.name, self.service, self.stage, self.slots = site, name, service, stage, slots
        self.runs = []
        self.running = 0
        self.handles = {}
        self.beats = 0
        self.is_up = False
        self.extra_fields = []

    async def start(self, port=0, instance=None):
        self.instance = instance or f"i-{uuid.uuid4().hex[:8]}"
        self.born = int(time.time() * 1000)
        await self.listen(port=port)
        self.is_up = True
        self.announce()

    def announce(self, state="ready"):
        self.beats += 1
        entry = {"service": self.service, "addr": f"{self.host}:{self.port}", "zone": "zone-a",
                 "version": "v1", "slots": self.slots, "state": state, "cold_left_ms": 0,
                 "seq": self.beats, "born": self.born}
        if self.stage:
            entry["stage"] = self.stage
        return self.site.store.put("servers", self.instance, entry)

    async def handle(self, reader, writer, request):
        headers = request.headers
        request_id = headers.get("request-id", "")
        echo = [("Request-Id", request_id), ("Keep-Alive", "timeout=5"), *self.extra_fields]
        if headers.get("expect-instance", self.instance) != self.instance:
            return await self.answer(writer, 421, echo)
        if request.target == "/healthz":
            return await self.answer(writer, 200, [*echo, ("Instance-Id", self.instance)])
        if request.target == "/rattanramp/order":
            order = json.loads(request.body)
            self.site.log(f"order at {self.name}: {order}")
            await self.answer(writer, 202, echo, b"{}")
            return None
        not_run = [*echo, ("Not-Executed", "1")]
        if self.running >= self.slots:
            self.site.log(f"{self.name} refuses {request_id}: full")
            return await self.answer(writer, 503, not_run)
        if headers.get("serving-stage") == "prefill":
            if self.stage != "prefill":
                return await self.answer(writer, 421, not_run)
            await asyncio.sleep(0.02)
            handle = uuid.uuid4().hex[:12]
            self.handles[handle] = request_id
            return await self.answer(writer, 200, echo, json.dumps(
                {"kv_handle": handle, "tokens": 100, "version": 1}).encode())
        if self.stage == "prefill":
            return await self.answer(writer, 421, not_run)
        run = {"id": request_id, "server": self.name, "at": time.monotonic(), "target": request.target,
               "headers": headers, "body": request.body}
        self.runs.append(run)
        self.site.runs.setdefault(request_id, []).append(run)
        self.site.log(f"{self.name} runs {request_id} {request.method} {request.target}")
        self.running += 1
        try:
            result = await (self.stream if self.stage else self.work)(writer, request, echo)
            run["is_whole"] = True
            self.site.log(f"{self.name} has sent the whole answer of {request_id}")
            return result
        finally:
            self.running -= 1

    async def work(self, writer, request, echo):
        await asyncio.sleep(self.work_s)
        body = f"{request.headers.get('request-id')} {self.instance}".encode()
        await self.answer(writer, 200, [*echo, ("Response-Seal", "s." + self.instance)], body)

    async def stream(self, writer, request, echo):
        await asyncio.sleep(self.first_event_s)
        writer.write(encode_head("HTTP/1.1 200 OK", [
            *echo, ("Response-Seal", "s." + self.instance), ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked")]))
        begin = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(begin, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {request.headers['request-id']}.{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def stop(self):
        """The server ends; its connections are reset."""
        self.is_up = False
        self.listener.close()
        for writer in list(self.writers):
            reset(writer)


class Gateway:
    """One process with the command of the deploy file."""

    def __init__(self, site, number, memory_mb=110, max_fds=4100):
        self.site = site
        self.name = f"front-zone-a-{number + 1}"
        self.address = f"127.0.0.{number + 11}"
        self.memory_mb, self.max_fds = memory_mb, max_fds
        self.process = None

    def write_settings(self):
        address = self.address
        settings = {
            "node": self.name, "failure_domain": "zone-a", "address": address,
            "listen": {"callers": f"{address}:{self.callers}", "readiness": f"{address}:{self.ready}",
                       "metrics_port": self.metrics},
            "peer_ports": [self.site.peer_port, self.site.peer_port + 15],
            "table_service": f"127.0.0.1:{self.site.store.port}",
            "stop_grace_s": 8, "disconnected_after_ms": 3000, "upstream_leave_ms": 2000,
            "retry_bound": {"ratio": 0.2, "slack": 58, "window_s": 10},
            "workspaces": self.site.workspace_settings,
            "process": {"memory_mb": self.memory_mb, "max_descriptors": self.max_fds}}
        self.settings_path = os.path.join(self.site.folder, f"{self.name}.json")
        with open(self.settings_path, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def start(self):
        if self.process is None:
            self.callers, self.ready, self.metrics = (free_port(host=self.address) for _ in range(3))
        self.write_settings()
        self.log_path = os.path.join(self.site.folder, f"{self.name}.log")
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "--config", self.settings_path, stdout=log, stderr=log, cwd=ROOT)
        self.site.log(f"{self.name} started")

    def send(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        answer = await request(self.address, self.ready, "GET", "/rattanramp/ready", [], b"", 1.0)
        return answer is not None and answer.status == 200

    async def wait_ready(self, limit_s=10):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} does not become ready")

    def memory_bytes(self):
        """Anonymous memory of the process; None when it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass
        return None


async def request(host, port, method, target, fields, body, limit_s, connection=None):
    """One request; None without a head of an answer. With a connection, it is kept."""
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = connection or await asyncio.open_connection(host, port, limit=1 << 20)
            try:
                if body:
                    fields = [*fields, ("Content-Length", len(body))]
                writer.write(encode_head(f"{method} {target} HTTP/1.1", [("Host", HOST), *fields])
                             + body)
                await writer.drain()
                answer = await read_head(reader)
                if answer is not None:
                    await read_body(reader, answer, until_close=True)
                return answer
            finally:
                if connection is None:
                    writer.close()
    except (OSError, TimeoutError):
        return None


def new_id():
    return uuid.uuid4().hex[:16]


class Site:
    """The stand-ins and processes of a case."""

    def __init__(self, case_folder):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built; run the build line of the deploy file")
        self.log = Log(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.store = Store()
        self.servers, self.gateways, self.runs = [], [], {}
        self.workspace_settings = {"key_removal_ms": None, "limit_window_s": None,
                                   "limit_overshoot": None, "limit_slack": None}
        self.tenants = None
        self.config_version = 0
        self.peer_port = free_port(socket.SOCK_DGRAM)

    async def start(self, gateways=1, plain=3, prefill=2, decode=4, **limits):
        await self.store.start()
        for i in range(plain):
            self.servers.append(Server(self, f"app-{i}", "register-app", None, 6))
        for i in range(prefill):
            self.servers.append(Server(self, f"prefill-{i}", "verdict-llm", "prefill", 64))
        for i in range(decode):
            self.servers.append(Server(self, f"decode-{i}", "verdict-llm", "decode", 64))
        for server in self.servers:
            await server.start()
        self.put_config()
        self._beats = asyncio.create_task(self._heartbeats())
        for i in range(gateways):
            self.gateways.append(Gateway(self, i, **limits))
            await self.gateways[i].start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    async def _heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for server in self.servers:
                if server.is_up:
                    server.announce()

    def route(self, prefix, kind, service, **more):
        return {"name": "r-" + prefix.strip("/"), "host": HOST, "prefix": prefix, "kind": kind,
                "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "service": service,
                "max_attempts": 2, "sticky": False, "resumable": False, "target_gap_ms": 300, **more}

    def routes(self):
        stream = {"timeout_ms": 14000, "target_latency_ms": 900, "priority": 1, "sticky": True}
        return [self.route("/clash/", "streaming", "verdict-llm", resumable=True, **stream),
                self.route("/lineage/", "streaming", "verdict-llm", **{**stream, "max_attempts": 1}),
                self.route("/file/", "non_idempotent", "register-app", max_attempts=1),
                self.route("/read/", "idempotent", "register-app")]

    def put_config(self):
        self.config_version += 2
        config = {"version": self.config_version, "routes": self.routes(), "services": [
            {"name": "verdict-llm", "health_path": "/healthz", "max_conns": 370, "engine": {
                "slots": 64, "kv_tokens": 107085, "kv_token_bytes": 163840, "stride": 72,
                "kv_hold_s": 0.5, "switch_s": 6.0, "models": [{"name": "m"}]}},
            {"name": "register-app", "health_path": "/healthz", "max_conns": 110}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        if self.tenants is not None:
            config["tenants"] = self.tenants
        return self.store.put("op", "config", config)

    async def ordinary(self, gateway, kind="read", limit_s=4.0, connection=None):
        """One ordinary request; returns (id, answer)."""
        request_id = new_id()
        fields = [("Request-Id", request_id), ("Deadline-Ms", 3000 if kind in ("read", "file") else 14000)]
        method, body = ("GET", b"") if kind == "read" else ("POST", b"x" * 600)
        if kind in ("clash", "lineage"):
            fields += [("Model-Id", "m"), ("Token-Count", "5200,5000"),
                       ("Prompt-Prefix", f"aa01:200,{request_id}:5000")]
        self.log(f"sent {request_id} {kind}")
        answer = await request(gateway.address, gateway.callers, method, f"/{kind}/2f", fields, body,
                               limit_s, connection)
        self.log(f"answer {request_id} {kind}: "
                 f"{None if answer is None else (answer.status, answer.is_complete)}")
        return request_id, answer

    async def stop(self):
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                gateway.send(signal.SIGCONT)
                gateway.send(signal.SIGKILL)
                await gateway.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case_file, play, limit_s=110):
    """Plays a case: play(site) returns a list of breaches. Exit code 1: broken, 0: held, 2: not run."""
    async def run():
        site = Site(os.path.dirname(os.path.abspath(case_file)))
        try:
            async with asyncio.timeout(limit_s):
                breaches = await play(site)
            for breach in breaches:
                site.log("BROKEN " + breach)
                print(breach)
            site.log("rule broken" if breaches else "rule held")
            print("rule broken" if breaches else "rule held")
            return 1 if breaches else 0
        finally:
            await site.stop()
    try:
        code = asyncio.run(run())
    except (CannotRun, OSError, TimeoutError) as error:
        print("could not run:", repr(error))
        code = 2
    sys.exit(code)
