#!/usr/bin/python3
"""Crowds of hostile callers before one gateway process on loopback (issue 51).

    tests/hostile/hostile.py PROGRAM CASE

Checked are only that the process lives, that its memory (RssAnon) and its sockets stay under a
bound, and that an ordinary request is answered while the crowd is still connected. Nothing depends
on the speed of the VM. Crowds and bounds are fixed; they showed the fault on the code without a
budget of memory.
"""

import asyncio
import contextlib
import os
import random
import shutil
import socket
import sys
import tempfile
import threading

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
from http_io import ClientConnection  # noqa: E402
from record import Record  # noqa: E402
from site_model import ONCE_PREFIX, READ_PREFIX, STREAM_PREFIX, Site  # noqa: E402
from stand_ins import Upstream  # noqa: E402

MB = 1024 * 1024
PORTS = {"callers": 18145, "readiness": 18141, "metrics": 18465, "peers": 18661}
HOST = "soak.example"
PIECE_BYTES = 16 * 1024
SAMPLE_S = 0.002
ANSWER_LIMIT_S = 10
ORDINARY_TRIES = 3
# Descriptors that a VM keeps for files; sockets share the others.
FILE_DESCRIPTORS = 200
LARGE = "large"
LARGE_ANSWER_BYTES = 4_000_000
BODY_WORK_S = 0.3
EVENT = b"id: %d\ndata: " + b"e" * 8000 + b"\n\n"
EVENTS = 700


class LargeUpstream(Upstream):
    """Sends large answers and streams when the path asks for them."""

    sent_events = 0

    async def work(self, connection, request, echo):
        if request.target.endswith("body"):
            await asyncio.sleep(BODY_WORK_S)
        if LARGE not in request.target:
            await super().work(connection, request, echo)
            return
        await connection.answer(200, b"a" * LARGE_ANSWER_BYTES, [*echo, ("Response-Seal", "s")])

    async def stream(self, connection, request, echo):
        if LARGE not in request.target:
            await super().stream(connection, request, echo)
            return
        fields = "".join(f"{name}: {value}\r\n" for name, value in echo)
        await connection.write(f"HTTP/1.1 200 OK\r\n{fields}Response-Seal: s\r\n"
                               "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(1, EVENTS + 1):
            event = EVENT % number
            await connection.write(b"%x\r\n%b\r\n" % (len(event), event))
            self.sent_events += 1
        await connection.write(b"0\r\n\r\n")


class Watch(threading.Thread):
    """Samples memory and sockets of a process."""

    def __init__(self, pid):
        super().__init__(daemon=True)
        self.pid = pid
        self.bytes = 0
        self.peak_bytes = 0
        self.peak_sockets = 0
        self.is_ended = False

    def run(self):
        sample = 0
        with contextlib.suppress(OSError):
            while not self.is_ended:
                with open(f"/proc/{self.pid}/status", encoding="ascii") as file:
                    for line in file:
                        if line.startswith("RssAnon:"):
                            self.bytes = int(line.split()[1]) * 1024
                            self.peak_bytes = max(self.peak_bytes, self.bytes)
                sample += 1
                if sample % 10 == 0:
                    self.peak_sockets = max(self.peak_sockets, self.count_sockets())
                threading.Event().wait(SAMPLE_S)

    async def settle(self):
        """Waits until the process has read what the system's buffers hold; not longer than 2 s."""
        for _ in range(10):
            before = self.bytes
            await asyncio.sleep(0.2)
            if abs(self.bytes - before) < 64 * 1024:
                break

    def count_sockets(self):
        count = 0
        folder = f"/proc/{self.pid}/fd"
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                count += os.readlink(f"{folder}/{name}").startswith("socket:")
        return count


class Crowd:
    def __init__(self, address, engine):
        self.address = address
        self.engine = engine
        self.connections = []

    async def connect(self, is_slow_reader=False):
        """Opens a connection that stays open until the end of the test; None if it is refused."""
        opened = socket.socket()
        if is_slow_reader:
            # Small buffers of the system, as before a link over a distance.
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
        opened.setblocking(False)
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                await asyncio.get_running_loop().sock_connect(opened, self.address)
                # The stream reads at most twice its limit ahead.
                reader, writer = await asyncio.open_connection(sock=opened, limit=1024)
        except (OSError, TimeoutError):
            opened.close()
            return None
        self.connections.append((reader, writer))
        return reader, writer

    async def send(self, pieces):
        """Sends until the end, or until the gateway no longer reads or closes the connection."""
        connection = await self.connect()
        if connection is None:
            return
        with contextlib.suppress(OSError, TimeoutError):
            for piece in pieces:
                connection[1].write(piece)
                async with asyncio.timeout(ANSWER_LIMIT_S / 4):
                    await connection[1].drain()

    def close(self):
        for _, writer in self.connections:
            writer.transport.abort()


def head(target, *fields, method="POST"):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {os.urandom(8).hex()}",
             "Deadline-Ms: 6000", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def pieces_of(data):
    return [data[i:i + PIECE_BYTES] for i in range(0, len(data), PIECE_BYTES)]


def body_request(body_bytes, left_out, is_chunked):
    """A request whose last `left_out` bytes are never sent."""
    if is_chunked:
        chunk = b"%x\r\n%b\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
        data = chunk * (body_bytes // PIECE_BYTES) + b"0\r\n\r\n"
        framing = "Transfer-Encoding: chunked"
    else:
        data = b"x" * body_bytes
        framing = f"Content-Length: {body_bytes}"
    return [head(ONCE_PREFIX + "body", framing), *pieces_of(data[:len(data) - left_out])]


async def trailers_without_end(crowd):
    """8 chunked bodies, each followed by 8 MB of trailers, in many lines or in one."""
    def request(number):
        yield head(ONCE_PREFIX + "trailers", "Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n"
        if number % 2:
            yield b"Trailer: "
        line = b"t" * PIECE_BYTES if number % 2 else (b"Trailer: " + b"t" * 118 + b"\r\n") * 128
        for _ in range(8 * MB // len(line)):
            yield line
    await asyncio.gather(*(crowd.send(request(i)) for i in range(8)))


async def heads_without_end(crowd):
    """8 heads of 8 MB, in many lines or in one."""
    def request(number):
        yield head(ONCE_PREFIX + "heads")[:-2]
        line = b"h" * PIECE_BYTES if number % 2 else (b"Header: " + b"h" * 118 + b"\r\n") * 128
        for _ in range(8 * MB // len(line)):
            yield line
    await asyncio.gather(*(crowd.send(request(i)) for i in range(8)))


async def bodies_at_once(crowd):
    """40 whole bodies of the largest legal size."""
    await asyncio.gather(*(crowd.send(body_request(MB, 0, i % 2)) for i in range(40)))


async def bodies_stop_short(crowd):
    """40 bodies of the largest legal size, piece by piece, without their last byte."""
    await asyncio.gather(*(crowd.send(body_request(MB, 1, i % 2)) for i in range(40)))


async def half_heads(crowd):
    """800 heads of 15 KB without their end."""
    await asyncio.gather(*(crowd.send([head(READ_PREFIX + "half", "Filler: " + "f" * 15_000)[:-2]])
                           for _ in range(800)))


async def many_fields(crowd):
    """100 heads with 3,800 fields of two bytes each before a body that lacks its last byte."""
    def request():
        fields = ["a:"] * 3800
        return [head(ONCE_PREFIX + "fields", "Content-Length: 10", *fields) + b"123456789"]
    await asyncio.gather(*(crowd.send(request()) for _ in range(100)))


async def idle_connections(crowd):
    """600 connections without a request."""
    await asyncio.gather(*(crowd.connect() for _ in range(600)))


async def pipelined_heads(crowd):
    """200 connections that send 64 KB of further requests behind one that is being served."""
    async def send():
        filler = head(READ_PREFIX + "p", "Filler: " + "f" * 15_000, method="GET") * 5
        await crowd.send([*body_request(PIECE_BYTES, 0, False), *pieces_of(filler)])
    await asyncio.gather(*(send() for _ in range(200)))


async def ask_and_not_read(crowd, target, *fields):
    """Reads the first byte of the answer, so that it has begun, and no more."""
    connection = await crowd.connect(is_slow_reader=True)
    if connection is None:
        return
    with contextlib.suppress(OSError, TimeoutError):
        connection[1].write(head(target, *fields, method="GET"))
        async with asyncio.timeout(0.3):
            await connection[0].read(1)


async def slow_readers(crowd):
    """20 callers, one after the other, that do not read a plain answer of 4 MB."""
    for _ in range(20):
        await ask_and_not_read(crowd, READ_PREFIX + LARGE)


async def slow_stream_readers(crowd):
    """80 callers that do not read a stream of 5.6 MB."""
    await asyncio.gather(*(ask_and_not_read(
        crowd, STREAM_PREFIX + LARGE, "Model-Id: m", "Token-Count: 10,50",
        f"Prompt-Prefix: {os.urandom(4).hex()}:10") for _ in range(80)))
    sent = -1
    while sent < crowd.engine.sent_events:
        sent = crowd.engine.sent_events
        await asyncio.sleep(0.5)



async def largest_in_calm(crowd):
    """16 whole requests of 4 MB one after the other; each must be answered with 200."""
    for i in range(16):
        connection = await crowd.connect()
        async with asyncio.timeout(ANSWER_LIMIT_S):
            for piece in body_request(4 * MB, 0, i % 2):
                connection[1].write(piece)
                await connection[1].drain()
            status = await connection[0].read(12)
        assert status == b"HTTP/1.1 200", f"request {i}: {status}"
        connection[1].close()


# Crowd, memory_mb, max_descriptors and max_body_bytes. The bound is memory_mb, or the sockets.
CASES = {
    "trailers": (trailers_without_end, 24, None, MB),
    "endless_heads": (heads_without_end, 24, None, MB),
    "bodies_at_once": (bodies_at_once, 24, None, MB),
    "bodies_stop_short": (bodies_stop_short, 24, None, MB),
    "half_heads": (half_heads, 16, None, MB),
    "many_fields": (many_fields, 16, None, MB),
    "pipelined_heads": (pipelined_heads, 16, None, MB),
    "slow_readers": (slow_readers, 48, None, MB),
    "slow_stream_readers": (slow_stream_readers, 16, None, MB),
    "idle_connections": (idle_connections, None, 500, MB),
    "largest_in_calm": (largest_in_calm, 88, 4100, 4 * MB),
}


def make_site(program, folder, memory_mb, max_descriptors, max_body_bytes):
    site = Site(program, folder, random.Random(1), Record(), PORTS, gateways=1, engines=0, plain=0)
    site.process_limits = {"memory_mb": memory_mb, "max_descriptors": max_descriptors}
    site.caller_limits["max_body_bytes"] = max_body_bytes
    site.engine_slots = 100
    site.upstreams = [LargeUpstream(site, "e0", "engines", "decode", 100),
                      LargeUpstream(site, "p0", "plain", None, 6)]
    return site


async def ask_ordinary(address):
    """An ordinary caller; it comes again after a refusal, as callers do."""
    status = 0
    for _ in range(ORDINARY_TRIES):
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(ANSWER_LIMIT_S):
                connection = await ClientConnection.connect(*address)
                answer = await connection.request("GET", READ_PREFIX + "ordinary", [
                    ("Host", HOST), ("Request-Id", os.urandom(8).hex()),
                    ("Deadline-Ms", "6000")], b"")
                connection.close()
                status = answer.status
                if status == 200 and answer.is_complete:
                    return True, status
        await asyncio.sleep(0.5)
    return False, status


async def wait_until_served(address):
    for _ in range(20):
        await asyncio.sleep(0.2)
        with contextlib.suppress(OSError, TimeoutError):
            if (await ask_ordinary(address))[0]:
                break


async def run(program, name, folder):
    play, memory_mb, max_descriptors, max_body_bytes = CASES[name]
    site = make_site(program, folder, memory_mb, max_descriptors, max_body_bytes)
    await site.start()
    gateway = site.gateways[0]
    address = (gateway.address, PORTS["callers"])
    await wait_until_served(address)
    watch = Watch(gateway.process.pid)
    watch.start()
    crowd = Crowd(address, site.upstreams[0])
    faults = []
    try:
        await play(crowd)
        await watch.settle()
        is_answered, status = await ask_ordinary(address)
        if not is_answered:
            faults.append(f"the ordinary request was not answered (last status {status})")
    except (AssertionError, TimeoutError) as error:
        faults.append(f"the crowd's own check failed: {error!r}")
    finally:
        crowd.close()
        is_alive = gateway.process.returncode is None
        watch.is_ended = True
        watch.join()
        if is_alive:
            gateway.kill()
            await gateway.process.wait()
    if not is_alive:
        faults.append(f"the process ended: {gateway.process.returncode}")
    if memory_mb and watch.peak_bytes > memory_mb * MB:
        faults.append(f"memory exceeds {memory_mb} MB")
    if max_descriptors and watch.peak_sockets > max_descriptors - FILE_DESCRIPTORS:
        faults.append(f"sockets exceed {max_descriptors - FILE_DESCRIPTORS}")
    print(f"{name}: peak {watch.peak_bytes / MB:.1f} MB, {watch.peak_sockets} sockets; "
          f"{'; '.join(faults) or 'held'}")
    return 1 if faults else 0


def main():
    if len(sys.argv) != 3 or sys.argv[2] not in CASES:
        print(__doc__, "\ncases:", " ".join(CASES), file=sys.stderr)
        return 2
    with tempfile.TemporaryDirectory(prefix="hostile-") as folder:
        result = asyncio.run(run(sys.argv[1], sys.argv[2], folder))
        if os.environ.get("RATTANRAMP_KEEP_LOGS"):
            shutil.copytree(folder, f"hostile-{sys.argv[2]}", dirs_exist_ok=True)
        return result


if __name__ == "__main__":
    sys.exit(main())
