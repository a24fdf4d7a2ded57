"""Loopback proxy between two processes that delays, withholds or resets their traffic."""

import asyncio

from http_io import reset_connection

CHUNK_BYTES = 16 * 1024


class Proxy:
    def __init__(self, host):
        self.host = host
        self.port = 0
        self.target = None
        self.delay_s = 0.0
        # Bytes of a silent direction are withheld until the fault ends, as in a network partition.
        self.is_silent = {"up": False, "down": False}
        self.refuses = False
        self._writers = set()
        self._server = None

    async def start(self, target_host, target_port):
        self.target = (target_host, target_port)
        self._server = await asyncio.start_server(self._accept, self.host, self.port, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset_all(self):
        for writer in list(self._writers):
            reset_connection(writer)

    def clear_faults(self):
        self.delay_s = 0.0
        self.is_silent = {"up": False, "down": False}
        self.refuses = False

    async def _accept(self, reader, writer):
        if self.refuses:
            reset_connection(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset_connection(writer)
            return
        self._writers.update((writer, target_writer))
        await asyncio.gather(self._pump(reader, target_writer, "up"),
                             self._pump(target_reader, writer, "down"))
        self._writers.difference_update((writer, target_writer))

    async def _pump(self, reader, writer, direction):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while self.is_silent[direction]:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError):
            reset_connection(writer)
