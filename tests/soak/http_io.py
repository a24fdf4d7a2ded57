"""HTTP/1.1 over asyncio streams, parsed by h11."""

import asyncio
import socket
import struct

import h11

MAX_READ_BYTES = 64 * 1024


def reset_connection(writer):
    """Ends a connection with a reset; aborting the transport alone may end it in an orderly way."""
    connection = writer.transport.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Request:
    def __init__(self, event: h11.Request):
        self.method = event.method.decode()
        self.target = event.target.decode()
        self.headers = {name.decode().lower(): value.decode() for name, value in event.headers}
        self.body = b""


class ServerConnection:
    """Server side of a connection; handler(connection, request) answers each request."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(h11.SERVER)

    async def _next(self):
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.http.receive_data(await self.reader.read(MAX_READ_BYTES))

    async def send(self, event):
        await self.write(self.http.send(event))

    async def write(self, data):
        """Sends bytes of an answer that is framed by its sender."""
        if self.writer.transport.is_closing():
            raise ConnectionResetError
        if data:
            self.writer.write(data)
            await self.writer.drain()

    async def answer(self, status, body=b"", headers=()):
        await self.send(h11.Response(status_code=status, headers=[
            ("Content-Length", str(len(body))), *headers]))
        await self.send(h11.Data(data=body))
        await self.send(h11.EndOfMessage())

    def end(self, is_orderly):
        """Ends the connection as a server that crashes: in an orderly way, or by a reset."""
        if is_orderly:
            self.writer.close()
        else:
            self.reset()

    def reset(self):
        reset_connection(self.writer)

    async def serve(self, handler):
        try:
            while True:
                event = await self._next()
                if not isinstance(event, h11.Request):
                    break
                request = Request(event)
                while True:
                    event = await self._next()
                    if isinstance(event, h11.Data):
                        request.body += event.data
                    else:
                        break
                await handler(self, request)
                if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
                    break
                self.http.start_next_cycle()
        except (ConnectionError, h11.ProtocolError, asyncio.IncompleteReadError):
            pass  # the peer disconnected or sent invalid HTTP; no answer can be sent
        finally:
            self.writer.close()


async def listen(host, handler, port=0):
    """Returns (server, port, connections).

    connections is the set of open connections; resetting one aborts its current request.
    """
    connections = set()

    async def accept(reader, writer):
        connection = ServerConnection(reader, writer)
        connections.add(connection)
        try:
            await connection.serve(handler)
        finally:
            connections.discard(connection)

    server = await asyncio.start_server(accept, host, port, backlog=1024)
    return server, server.sockets[0].getsockname()[1], connections


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        # Without a length or chunks, an orderly end of the connection counts too.
        self.is_complete = False

    def states_end(self):
        """Whether a length or chunks say where the answer ends."""
        return "content-length" in self.headers or "transfer-encoding" in self.headers


class ClientConnection:
    """Persistent client connection.

    request() does not raise on connection or protocol errors; is_complete stays False when the
    answer ends early.
    """

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(h11.CLIENT)
        self.is_open = True

    @staticmethod
    async def connect(host, port):
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, port)
        return ClientConnection(reader, writer)

    async def request(self, method, target, headers, body):
        answer = Answer()
        try:
            self.writer.write(self.http.send(h11.Request(
                method=method, target=target,
                headers=[*headers, ("Content-Length", str(len(body)))])))
            self.writer.write(self.http.send(h11.Data(data=body)) or b"")
            self.writer.write(self.http.send(h11.EndOfMessage()) or b"")
            await self.writer.drain()
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    self.http.receive_data(await self.reader.read(MAX_READ_BYTES))
                elif isinstance(event, h11.Response):
                    answer.status = event.status_code
                    answer.headers = {n.decode().lower(): v.decode() for n, v in event.headers}
                elif isinstance(event, h11.Data):
                    answer.body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    answer.is_complete = True
                    break
                else:
                    break
        except (ConnectionError, OSError, h11.ProtocolError):
            answer.is_complete = False
        self.is_open = answer.is_complete and self.http.our_state is h11.DONE and \
            self.http.their_state is h11.DONE
        if self.is_open:
            self.http.start_next_cycle()
        else:
            self.close()
        return answer

    def close(self):
        self.is_open = False
        self.writer.close()
