#!/usr/bin/python3
"""Engines that go silent in the midst of a stream, with and without a planned stop.

    tests/outages/silent_engines.py PROGRAM [CASE...] [--busy N]

Two sides of one rule: a stream whose engine goes on after SILENCE_S is whole, whatever another
engine does that is asked meanwhile; one whose engine is gone is continued by an engine that takes
it, and the silent one is left soon. A case is named SILENT-OTHER[-stop][-store]: what the silent
engine does (on, gone), what the other one does (takes, full, once: full the first time, reset,
silent, unreachable, head: resets after its head), whether the gateway gets SIGTERM, and whether the
store is away from then on. Each case has its own gateway, store and engines.
"""

import asyncio
import os
import random
import signal
import socket
import sys
import time
import types

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
from http_io import ClientConnection, listen  # noqa: E402
from list_outages import HOST, PORTS, Arrivals, OutageStore, main  # noqa: E402
from site_model import STREAM_PREFIX, Site  # noqa: E402
from stand_ins import Upstream  # noqa: E402

EVENTS, GAP_S, SILENCE_S, SILENT_AFTER = 12, 0.1, 2.2, 3
# Before the end of the stop, so that the stream can end.
UNTIL_STOP_S = 0.35
# A request must not run on at an engine for longer than this after another one has gone on with it.
LEAVE_S = 0.4
CALLER_LIMIT_S = 10
# The stand-ins and the gateways share the machine.
SLACK_S = 0.15


class Engine(Upstream):
    """A decode engine; behaviour is one of the names in the description of this script."""

    behaviour = "takes"

    async def start(self):
        self.instance = f"i-{self.name}-{random.randrange(16 ** 8):08x}"
        self.started_unix_ms = 1
        # Starts and ends of its runs, and first events after the silence of another engine.
        self.run_ends, self.continued = [], []
        self.calls = 0
        if self.behaviour == "unreachable":
            # With a full queue of connections, no further one can be established.
            self.server = socket.socket()
            self.server.bind((self.site.host, 0))
            self.server.listen(0)
            port = self.server.getsockname()[1]
            self.fillers = [socket.socket() for _ in range(4)]
            for filler in self.fillers:
                filler.setblocking(False)
                filler.connect_ex((self.site.host, port))
        else:
            self.server, port, self.connections = await listen(self.site.host, self.handle)
        self.proxy = types.SimpleNamespace(port=port)
        self.is_up = True

    async def stream(self, connection, request, echo):
        self.calls += 1
        behaviour = self.behaviour
        if behaviour == "full" or behaviour == "once" and self.calls == 1:
            await connection.answer(503, headers=[*echo, ("Not-Executed", "1")])
            return
        if behaviour == "silent":
            await asyncio.sleep(3600)
        head = b"HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in [
            *echo, ("Response-Seal", "s"), ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked")]).encode() + b"\r\n"
        if behaviour == "reset":
            connection.reset()
            return
        await connection.write(head)
        if behaviour == "head":
            await asyncio.sleep(0.1)
            connection.reset()
            return
        first = int(request.headers.get("last-event-id", "0")) + 1
        try:
            for number in range(first, EVENTS + 1):
                if number > 1 and number == first:
                    self.continued.append(time.monotonic())
                event = f"id: {number}\ndata: {number}\n\n".encode()
                await connection.write(b"%x\r\n%b\r\n" % (len(event), event))
                await asyncio.sleep(GAP_S)
                if number == SILENT_AFTER and behaviour in ("on", "gone"):
                    self.silent_since = time.monotonic()
                    await self.be_silent(connection)
            await connection.write(b"0\r\n\r\n")
        finally:
            self.run_ends.append(time.monotonic())

    async def be_silent(self, connection):
        """Ends when the engine goes on, or the gateway has closed the connection."""
        until = time.monotonic() + (SILENCE_S if self.behaviour == "on" else 3600)
        while time.monotonic() < until:
            await asyncio.sleep(0.02)
            if connection.reader.at_eof() or connection.writer.transport.is_closing():
                raise ConnectionResetError


class Case:
    def __init__(self, name, number, program, folder):
        self.name = name
        silent, other, *self.beside = name.split("-")
        folder = os.path.join(folder, name)
        os.makedirs(folder)
        rng = random.Random(name)
        self.site = Site(program, folder, rng, Arrivals(), PORTS, gateways=1, engines=0, plain=0)
        self.site.store = OutageStore(self.site.host, rng)
        self.site.gateways[0].address = f"127.212.{number + 1}.1"
        self.prefill = Engine(self.site, "prefill", "engines", "prefill", 12)
        self.silent = Engine(self.site, "silent", "engines", "decode", 12)
        self.silent.behaviour = silent
        self.other = Engine(self.site, "other", "engines", "decode", 12)
        self.other.behaviour = other
        self.site.upstreams = [self.prefill, self.silent]
        for engine in (self.prefill, self.silent, self.other):
            engine.arrived = []

    async def play(self):
        site = self.site
        await site.start()
        await asyncio.sleep(2.5)
        gateway = site.gateways[0]
        connection = await ClientConnection.connect(gateway.address, PORTS["callers"])
        call = asyncio.create_task(self.call(connection))
        await asyncio.sleep(0.2)
        # The stream runs, so that it is not begun at the other engine.
        await self.other.start()
        site.upstreams.append(self.other)
        self.other.announce()
        # Long enough for the gateway to read the list.
        await asyncio.sleep(1.2)
        if "store" in self.beside:
            site.store.mode = "silent"
        if "stop" in self.beside:
            gateway.stop()
        answer = await call
        return self.faults(answer)

    async def call(self, connection):
        try:
            async with asyncio.timeout(CALLER_LIMIT_S):
                return await connection.request("POST", STREAM_PREFIX + "x", [
                    ("Host", HOST), ("Request-Id", "r1"), ("Deadline-Ms", "9000"),
                    ("Model-Id", "m"), ("Token-Count", "5200,864"),
                    ("Prompt-Prefix", "aa01:200,bb02:5000")], b"")
        except TimeoutError:
            return None

    def faults(self, answer):
        whole = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
        faults = []
        if answer is None or not answer.is_complete or answer.body != whole:
            faults.append("the stream is not whole: " +
                          ("no answer" if answer is None else f"{answer.status} {answer.body!r}"))
        if self.silent.behaviour == "gone" and not self.other.continued:
            faults.append("the other engine did not go on with the stream")
        for begin in self.other.continued:
            late = [end - begin for end in self.silent.run_ends if end > begin + LEAVE_S + SLACK_S]
            if late or not self.silent.run_ends:
                faults.append(f"the silent engine still works on it: {late}")
        if self.other.behaviour != "unreachable" and not self.other.calls:
            faults.append("the other engine was not asked, so nothing is shown")
        return faults

    async def stop(self):
        gateway = self.site.gateways[0]
        if gateway.process is not None and gateway.process.returncode is None:
            gateway.kill()
            await gateway.process.wait()


CASES = tuple(f"{silent}{beside}" for silent in (
    "on-full", "on-reset", "on-silent", "on-unreachable", "on-head", "gone-takes", "gone-once")
    for beside in ("", "-stop", "-store", "-stop-store"))


if __name__ == "__main__":
    sys.exit(main(__doc__, CASES, Case))
