"""A small deployment on loopback: a store, servers, clients, and gateways started as deployed.

Only the Python standard library is used. All addresses are in 127.0.0.0/8.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "tartan.example"

# Bounds of the small site (kivu-tartan).
BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "retry_ratio": 0.2,
          "retry_slack": 58, "retry_window_s": 10}
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case cannot run here (exit code 2)."""


class Request:
    def __init__(self, method, target, headers):
        self.method, self.target, self.headers, self.body = method, target, headers, b""


class Connection:
    """Server side of one connection."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.is_closed = False

    async def read_request(self):
        head = await self.reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
        request = Request(method, target, headers)
        length = int(headers.get("content-length", "0"))
        if length:
            request.body = await self.reader.readexactly(length)
        return request

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self, status, body=b"", fields=()):
        head = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields)
        await self.send(head.encode() + b"\r\n" + body)

    def close(self):
        self.is_closed = True
        self.writer.close()

    def reset(self):
        self.is_closed = True
        peer = self.writer.get_extra_info("socket")
        if peer is not None:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class HttpServer:
    """Accepts connections at HOST:PORT and calls handler(connection, request) for each request."""

    def __init__(self, handler):
        self.handler = handler
        self.connections = set()
        self.server = None
        self.address = None

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self._accept, host, port, backlog=1024)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def _accept(self, reader, writer):
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while not connection.is_closed:
                request = await connection.read_request()
                await self.handler(connection, request)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                RuntimeError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    def stop(self):
        """The process has ended: nothing listens any more, and all connections are gone."""
        self.server.close()
        for connection in list(self.connections):
            connection.reset()


class Store:
    """The platform's store: versioned rows, linearizable answers."""

    ANSWER_S = 0.004

    def __init__(self, rig):
        self.rig = rig
        self.version = 0
        self.rows = {}
        self.history = []
        self.changed = asyncio.Event()
        # Whether a gateway is cut off from the store; its calls wait.
        self.is_cut = lambda gateway: False
        # Called with (gateway name, table, rows) for each rows-get that is answered.
        self.on_read = lambda gateway, table, rows: None

    async def listen(self, gateway):
        """Returns an address of the store for one gateway, so that its calls can be told apart."""
        async def handle(connection, request):
            await asyncio.sleep(self.ANSWER_S)
            while self.is_cut(gateway):
                await asyncio.sleep(0.02)
            status, body = await self._execute(request, gateway)
            await connection.answer(status, json.dumps(body).encode(),
                                    [("Content-Type", "application/json")])
        http = HttpServer(handle)
        await http.start("127.0.0.1")
        return "%s:%d" % http.address

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def put(self, table, key, value):
        """Performs a write and returns the time at which it was performed."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._change(table, key, data)
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
        self.changed.set()
        self.changed = asyncio.Event()

    def _answer(self, rows=None):
        body = {"ver": self.version, "now_ms": self.now_ms()}
        if rows is not None:
            body.update({"rows": rows, "has_more": False})
        return body

    async def _execute(self, request, gateway):
        url = urlsplit(request.target)
        query = {k: unquote(v[0]) for k, v in parse_qs(url.query).items()}
        call = url.path.rsplit("/", 1)[1]
        if call == "rows-get":
            rows = [row for (table, _), row in sorted(self.rows.items())
                    if table == query["table"] and row["key"] >= query.get("from", "")]
            self.on_read(gateway, query["table"], rows)
            return 200, self._answer(rows)
        if call == "rows-feed":
            after, deadline = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                rows = [r for r in self.history
                        if r["ver"] > after and r["table"] == query["table"]]
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
            if any(row["table"] in ("op", "servers") for row in change["writes"] + change["remove"]):
                return 403, self._answer()
            await asyncio.sleep(0.008)
            for row in change["expected"]:
                if self.rows.get((row["table"], row["key"]), {"ver": 0})["ver"] != row["ver"]:
                    return 412, self._answer([])
            for row in change["writes"]:
                self._change(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in change["remove"]:
                self._change(row["table"], row["key"], None)
            return 200, self._answer()
        return 400, {}


class Gateway:
    def __init__(self, rig, name, address):
        self.rig, self.name, self.address = rig, name, address
        self.process = None
        self.callers = (address, 8144)
        self.store_address = ""
        self.settings = os.path.join(rig.folder, name + ".conf")
        self.log_path = os.path.join(rig.folder, name + ".log")
        self.starts = 0

    def write_settings(self):
        """Fills in the template of the deploy file like the platform."""
        values = {"node": self.name, "zone": "zone-a", "ip": self.address,
                  "listen.front": f"{self.address}:8144", "listen.ready": f"{self.address}:8140",
                  "port_range": [7660, 7675],
                  "provider.addr": self.store_address,
                  **{"bounds." + name: value for name, value in BOUNDS.items()}}
        with open(os.path.join(ROOT, self.rig.role["template"])) as file:
            text = file.read()
        text = re.sub(r"\{\{([a-z_.]+)\|json\}\}", lambda m: json.dumps(values[m.group(1)]), text)
        with open(self.settings, "w") as file:
            file.write(text)

    async def start(self):
        self.write_settings()
        words = [self.settings if word == "/etc/rattanramp/settings.conf" else word
                 for word in self.rig.role["run"].split(" ")]
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.rig.folder, "LANG": "C",
                     "RATTANRAMP_NODE_FILE": self.settings})
        self.starts += 1
        self.rig.processes.append(self.process)

    async def is_ready(self):
        try:
            answer = await call((self.address, 8140), "GET", "/rattanramp/ready", {}, timeout=1)
            return answer.status == 200
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self, limit=10):
        end = time.monotonic() + limit
        while not await self.is_ready():
            if time.monotonic() > end:
                raise CannotRun(f"{self.name} did not become ready")
            await asyncio.sleep(0.1)


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.is_complete = 0, {}, b"", False


async def read_answer(reader):
    """Reads one answer; is_complete stays False when the connection ends early."""
    answer = Answer()
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(head[0].split(" ")[1])
        answer.headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip()
                          for line in head[1:] if line}
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                answer.body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        else:
            answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
        answer.is_complete = True
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    return answer


async def call(address, method, target, headers, body=b"", timeout=20):
    """One request on a new connection."""
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            head += f"Content-Length: {len(body)}\r\n" if body else ""
            writer.write(head.encode() + b"\r\n" + body)
            return await read_answer(reader)
        finally:
            writer.close()


class Rig:
    """Runs main(rig), which returns True when the rule was broken, and writes record.txt."""

    def __init__(self, folder):
        self.case = folder
        self.begin = time.monotonic()
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes, self.gateways, self.servers, self.tasks = [], [], [], []
        # Open writers of the stand-ins that are to be closed at the end.
        self.writers = []
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["gateway"]
        program = os.path.join(ROOT, self.role["run"].split(" ")[0])
        if not os.access(program, os.X_OK):
            raise CannotRun(f"{program} is missing: run the build line of deploy/system.toml")
        # Loopback addresses of this run; other runs draw others.
        self.base = f"127.{random.randrange(2, 250)}.{random.randrange(2, 250)}."
        self.store = Store(self)

    def now(self):
        return time.monotonic() - self.begin

    def log(self, text):
        self.record.write(f"{self.now():8.3f} {text}\n")
        self.record.flush()

    def task(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))
        return self.tasks[-1]

    async def start_gateways(self, names):
        for name in names:
            gateway = Gateway(self, name, f"{self.base}{10 + len(self.gateways)}")
            for port in (8144, 8140, 9464):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    try:
                        probe.bind((gateway.address, port))
                    except OSError as error:
                        raise CannotRun(f"{gateway.address}:{port}: {error}") from error
            gateway.store_address = await self.store.listen(name)
            self.gateways.append(gateway)
            await gateway.start()

    def take_handle(self, source):
        """Uses up a KV handle, ADDRESS/HANDLE; False when it does not exist any more."""
        address, _, handle = source.partition("/")
        for server in self.servers:
            if address == "%s:%d" % server.http.address:
                return server.is_up and time.monotonic() < server.handles.pop(handle, 0)
        return False

    def end(self):
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass

    async def _run(self, main):
        try:
            async with asyncio.timeout(110):
                return await main(self)
        finally:
            for task in self.tasks:
                task.cancel()
            self.end()
            for process in self.processes:
                await process.wait()
            for writer in self.writers:
                writer.transport.abort()
            await asyncio.sleep(0.1)

    @staticmethod
    def run(folder, main):
        rig = None
        try:
            rig = Rig(folder)
            broken = asyncio.run(rig._run(main))
            rig.log("RESULT: " + ("the rule was broken" if broken else "the rule held"))
            code = 1 if broken else 0
        except (CannotRun, OSError, TimeoutError) as error:
            print(f"the case could not run: {error!r}", file=sys.stderr)
            if rig:
                rig.log(f"RESULT: the case could not run: {error!r}")
            code = 2
        finally:
            if rig:
                keep = os.environ.get("REVIEW_KEEP")
                if keep:
                    shutil.copytree(rig.folder, keep, dirs_exist_ok=True)
                shutil.rmtree(rig.folder, ignore_errors=True)
                rig.record.close()
        sys.exit(code)
