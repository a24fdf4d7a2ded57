#!/usr/bin/python3
"""Servers that send broken answers to a gateway process on loopback, beside sound ones.

    tests/hostile/broken_answers.py PROGRAM [--seed N] [--seconds S] [--busy N]

No broken answer may reach a caller as a whole one. --busy: processes that keep the machine busy
meanwhile. A seed fixes the kinds of answers, not their order.
"""

import argparse
import asyncio
import collections
import contextlib
import fcntl
import multiprocessing
import os
import random
import socket
import struct
import sys
import tempfile
import termios
import types

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
from hostile import HOST, PORTS, wait_until_served  # noqa: E402
from record import Record  # noqa: E402
from site_model import ONCE_PREFIX, READ_PREFIX, STREAM_PREFIX, Site  # noqa: E402
from stand_ins import Upstream  # noqa: E402

# Texts in the bodies of answers.
BROKEN, SOUND = b"broken-answer", b"sound-answer"
EVENT = b"id: 1\ndata: %b\n\n"
SOUND_SHARE = 0.5
# Requests of each kind without which a run shows nothing.
MIN_OF_EACH_KIND = 3
CALLERS = 24
CALLER_LIMIT_S = 10
UPLOAD_BYTES = (0, 1, 300_000, 4_000_000)
# Time in which the gateway reads an answer before its connection is reset.
TRANSFER_S = 0.005

BAD_STATUSES = (b"000", b"099", b"600", b"999")
BAD_LINES = (b"Odd Name: x", b"Odd-Name : x", b"Odd\x01Name: x", b"Odd\tName: x", b"Odd\x00Name: x",
             b"Odd\nName: x", b"Content-Length : 3", b"Transfer-Encoding : chunked", b" Odd-Name: x",
             b" Transfer-Encoding: chunked")
KINDS = ("status", "name", "reset during upload", "close during upload", "reset after upload",
         "cut length", "cut chunks")


def reset(writer):
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def wait_for_unread_bytes(writer):
    """A close is a reset only if there are bytes that the system has received and nobody has read."""
    writer.transport.pause_reading()
    opened = writer.get_extra_info("socket")
    while not writer.is_closing() and \
            not struct.unpack("i", fcntl.ioctl(opened.fileno(), termios.FIONREAD, b"\0" * 4))[0]:
        await asyncio.sleep(0.001)


class BrokenUpstream(Upstream):
    """Answers without a proxy; seen counts its answers by their kind."""

    seen = collections.Counter()

    async def start(self):
        self.instance = f"i-{self.name}-{random.randrange(16 ** 8):08x}"
        self.started_unix_ms = 1
        opened = socket.socket()
        # The end of an upload stays with the gateway.
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        opened.bind((self.site.host, 0))
        self.server = await asyncio.start_server(self.accept, sock=opened, limit=64 * 1024)
        self.proxy = types.SimpleNamespace(port=opened.getsockname()[1])
        self.is_up = True

    async def accept(self, reader, writer):
        try:
            while await self.answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass  # the gateway has closed the connection
        finally:
            writer.close()

    async def answer(self, reader, writer):
        """Answers one request. Returns whether the connection goes on."""
        head = await reader.readuntil(b"\r\n\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
        size = int(fields.get(b"content-length", 0))
        echo = b"".join([b"Request-Id: ", fields.get(b"request-id", b"none"), b"\r\n"])
        if head.startswith(b"GET /healthz"):
            writer.write(b"HTTP/1.1 200 OK\r\n" + echo + b"Content-Length: 0\r\n\r\n")
            return True
        kind = "sound" if self.site.rng.random() < SOUND_SHARE or b"ordinary" in head \
            else self.site.rng.choice(KINDS)
        self.seen[kind] += 1
        is_early = kind.endswith("during upload")
        if not is_early:
            await reader.readexactly(size)
        text = SOUND if kind == "sound" else BROKEN
        body = text
        echo += b"Response-Seal: s\r\n"
        if self.stage:
            echo += b"Content-Type: text/event-stream\r\n"
            body = EVENT % text
        status, line = b"200", b""
        if kind == "status":
            status = self.site.rng.choice(BAD_STATUSES)
        elif kind == "name":
            line = self.site.rng.choice(BAD_LINES) + b"\r\n"
        whole = b"HTTP/1.1 %b Text\r\n%b%b" % (status, echo, line)
        if "upload" in kind:
            writer.write(whole + b"\r\n" + body)
        elif kind == "cut chunks":
            writer.write(whole + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(body), body))
        else:
            missing = 1 if kind == "cut length" else 0
            writer.write(whole + b"Content-Length: %d\r\n\r\n%b" % (len(body) + missing, body))
        await writer.drain()
        if kind == "sound":
            return True
        await asyncio.sleep(TRANSFER_S * self.site.rng.random())
        if kind == "close during upload" and size == UPLOAD_BYTES[-1]:
            await wait_for_unread_bytes(writer)
        elif "upload" in kind:
            reset(writer)
        return False


async def call(address, number, rng, faults):
    """Sends a request and checks its answer."""
    prefix = rng.choice((ONCE_PREFIX, READ_PREFIX, STREAM_PREFIX))
    size = rng.choice(UPLOAD_BYTES)
    request_id = f"b{number}-{rng.randrange(16 ** 8):08x}"
    fields = [f"POST {prefix}{request_id} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request_id}",
              "Deadline-Ms: 4000", "Connection: close", f"Content-Length: {size}"]
    if prefix == STREAM_PREFIX:
        fields += ["Model-Id: m", "Token-Count: 10,50", f"Prompt-Prefix: {request_id[-8:]}:10"]
    answer = b""
    # A reset by the gateway; with an orderly end, an answer without a length is whole.
    is_reset = True
    writer = None
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(CALLER_LIMIT_S):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(("\r\n".join(fields) + "\r\n\r\n").encode() + b"u" * size)
            while data := await reader.read(64 * 1024):
                answer += data
            is_reset = False
    if writer is not None:
        writer.transport.abort()
    head, _, body = answer.partition(b"\r\n\r\n")
    status = head[9:12]
    is_framed = b"\r\ncontent-length:" in head.lower() or b"\r\ntransfer-encoding:" in head.lower()
    is_whole = body.endswith(b"\r\n0\r\n\r\n") if b"chunked" in head else not is_reset
    if BROKEN in head or b"Odd" in head:
        faults.append(f"{request_id}: a broken head: {head!r}")
    elif BROKEN in body and is_whole and (status == b"200" or not is_framed):
        faults.append(f"{request_id} {prefix} {size}: a broken answer looks whole: {answer!r}")
    elif answer and not 200 <= int(status) <= 599:
        faults.append(f"{request_id}: status {status!r}")
    return SOUND in body and is_whole


async def run(program, folder, seed, seconds):
    rng = random.Random(seed)
    site = Site(program, folder, rng, Record(), PORTS, gateways=1, engines=0, plain=0)
    site.engine_slots = CALLERS
    site.upstreams = [BrokenUpstream(site, f"e{i}", "engines", "decode", CALLERS) for i in range(3)]
    site.upstreams += [BrokenUpstream(site, f"p{i}", "plain", None, CALLERS) for i in range(3)]
    await site.start()
    gateway = site.gateways[0]
    address = (gateway.address, PORTS["callers"])
    await wait_until_served(address)
    faults, answered = [], [0, 0]
    until = asyncio.get_running_loop().time() + seconds

    async def caller(number):
        own = random.Random(f"{seed}.{number}")
        while asyncio.get_running_loop().time() < until:
            is_answered = await call(address, number, own, faults)
            answered[0] += 1
            answered[1] += is_answered
            # Callers that are refused at once do not use up the time.
            await asyncio.sleep(0.02)

    try:
        await asyncio.gather(*(caller(number) for number in range(CALLERS)))
        if gateway.process.returncode is not None:
            faults.append(f"the process ended: {gateway.process.returncode}")
    finally:
        if gateway.process.returncode is None:
            gateway.kill()
            await gateway.process.wait()
    seen = BrokenUpstream.seen
    faults += [f"too few answers of the kind '{kind}': {seen[kind]}" for kind in KINDS
               if seen[kind] < MIN_OF_EACH_KIND]
    if answered[1] == 0:
        faults.append("no sound answer reached a caller")
    print(f"seed {seed}: {answered[0]} requests, {answered[1]} answered; sent: "
          + ", ".join(f"{kind} {count}" for kind, count in sorted(seen.items())))
    for fault in faults[:10]:
        print(fault[:600])
    print(f"{len(faults)} faults" if faults else "held")
    return 1 if faults else 0


def keep_busy():
    while True:
        pass


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--busy", type=int, default=0)
    options = parser.parse_args()
    busy = [multiprocessing.Process(target=keep_busy, daemon=True) for _ in range(options.busy)]
    for process in busy:
        process.start()
    try:
        with tempfile.TemporaryDirectory(prefix="broken-") as folder:
            return asyncio.run(run(options.program, folder, options.seed, options.seconds))
    finally:
        for process in busy:
            process.kill()


if __name__ == "__main__":
    sys.exit(main())
