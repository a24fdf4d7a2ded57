"""A machine is cut off while its order to an engine is on the way; the order arrives after the cut."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from rig import TROUBLE, CannotRun, HttpServer, Rig  # noqa: E402
from servers import Engine, config  # noqa: E402

# node_cut: the longest of the site's days (scale-2: share 0.35, 12 s). One of three machines.
CUT_S = 12.0
LEASE_S, THAW_SLACK_S = 3.0, 0.3
# Times after its first transmission at which TCP sends a lost segment again.
RETRANSMISSIONS_S = [0.2, 0.6, 1.4, 3.0, 6.2, 12.6, 25.4]
ADD_S, END_S = 1.0, 16.0


class Cut:
    """A partition of one machine from all others, silent in both directions."""

    def __init__(self, rig, machine):
        self.rig, self.machine = rig, machine
        self.begin = self.end = float("inf")

    def start(self):
        self.begin = time.monotonic()
        self.end = self.begin + CUT_S
        self.rig.log(f"node_cut: {self.machine} is cut off for {CUT_S} s")

    def is_on(self):
        return self.begin <= time.monotonic() < self.end

    async def pass_on(self, sent_at):
        """Returns when bytes that were sent at sent_at arrive."""
        if self.begin <= sent_at < self.end:
            again = next(t for t in RETRANSMISSIONS_S if sent_at + t >= self.end)
            await asyncio.sleep(sent_at + again - time.monotonic())


class Link:
    """Path from the machines to one engine. Carries what is sent on it, also after a cut, unless
    the sender has reset the connection meanwhile."""

    def __init__(self, rig, cut):
        self.rig, self.cut = rig, cut
        self.target = None
        self.is_first = lambda: False

    async def start(self, target):
        self.target = target
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[:2]

    async def _accept(self, reader, writer):
        # Before the new machine runs, only the machine that will be cut off sends orders.
        if TROUBLE and self.cut.begin == float("inf"):
            self.cut.start()
        is_cut = self.cut.is_on() and not self.rig.is_added
        up_reader, up_writer = await asyncio.open_connection(*self.target)
        self.rig.writers += [writer, up_writer]
        await asyncio.gather(self._pump(reader, up_writer, is_cut, "to the engine"),
                             self._pump(up_reader, writer, is_cut, "from the engine"))

    async def _pump(self, reader, writer, is_cut, name):
        pieces = []
        try:
            while data := await reader.read(65536):
                if not is_cut:
                    writer.write(data)
                    await writer.drain()
                else:
                    pieces.append((time.monotonic(), data))
                    self.rig.log(f"the cut holds up {len(data)} bytes {name}")
                    if name == "to the engine":
                        self.rig.task(self._release(pieces, writer))
            if pieces:
                self.rig.log("the sender has closed its connection without a reset")
            else:
                writer.close()
        except (ConnectionError, OSError):
            if pieces:
                self.rig.log("the sender has reset its connection: the bytes are lost")
                pieces.clear()
            writer.transport.abort()

    async def _release(self, pieces, writer):
        await self.cut.pass_on(pieces[-1][0])
        for _, data in pieces:
            self.rig.log(f"{len(data)} bytes arrive, {time.monotonic() - self.cut.end:.2f} s after "
                         "the end of the cut")
            writer.write(data)
        pieces.clear()


class OrderedEngine(Engine):
    def __init__(self, *args):
        super().__init__(*args, slots=64)
        self.orders = []
        self.address = None

    def entry(self):
        return {**super().entry(), "addr": "%s:%d" % self.address}

    async def handle(self, connection, request):
        if request.target != "/rattanramp/order":
            await super().handle(connection, request)
            return
        order = json.loads(request.body)
        self.orders.append((time.monotonic(), order["holder"], order["fence"]))
        self.rig.log(f"{self.name} gets order {order}")
        if order["stage"] == self.stage:
            await connection.answer(200, b"{}", self.fields(request))
            return
        await connection.answer(202, b"{}", self.fields(request))
        await asyncio.sleep(6.0)
        self.stage = order["stage"]


async def main(rig):
    rig.is_added = False
    rig.store.put("op", "config", config())
    cut = Cut(rig, "front-b-1")
    for number in range(9):
        engine = OrderedEngine(rig, f"engine-{number}", "verdict-llm",
                               "prefill" if number < 4 else "decode")
        rig.servers.append(engine)
        await engine.http.start("127.0.0.1")
        engine.address = await Link(rig, cut).start(engine.http.address)
        engine.beat()
        rig.task(engine._beat_for_ever())
    rig.store.is_cut = lambda gateway: gateway == cut.machine and cut.is_on()
    await rig.start_gateways(["front-b-1", "front-c-1"])
    for gateway in rig.gateways:
        await gateway.wait_ready()
    limit = time.monotonic() + 15
    while cut.begin == float("inf") and not any(e.orders for e in rig.servers):
        await asyncio.sleep(0.01)
        if time.monotonic() > limit:
            raise CannotRun("no order was given")
    begin = time.monotonic()
    await asyncio.sleep(ADD_S)
    rig.is_added = True
    await rig.start_gateways(["front-a-1"])
    rig.log("add_nodes: front-a-1 is added")
    await asyncio.sleep(begin + END_S - time.monotonic())

    is_broken = False
    for engine in rig.servers:
        highest, last = {}, None
        for at, holder, fence in engine.orders:
            is_excused = holder == cut.machine and cut.end <= at < cut.end + THAW_SLACK_S
            higher = [(h, f) for h, f in highest.items() if h != holder and f >= fence]
            turn = last and last[1] != holder and at - last[0] < LEASE_S
            if not is_excused and (higher or turn):
                is_broken = True
                rig.log(f"ONE: {engine.name} gets an order of {holder} with fencing token {fence} "
                        f"after {higher}; the order before it came {at - last[0]:.2f} s earlier, "
                        f"from {last[1]}")
            highest[holder] = max(highest.get(holder, 0), fence)
            last = (at, holder)
    print("orders:", [(e.name, h, f) for e in rig.servers for _, h, f in e.orders])
    return is_broken


Rig.run(FOLDER, main)
