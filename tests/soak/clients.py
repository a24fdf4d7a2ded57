"""Clients that keep, reuse and abandon connections and use only gateways in rotation."""

import asyncio
import time
import uuid

from http_io import ClientConnection
from record import SentRequest
from site_model import LONG_PREFIX, LONG_TIMEOUT_S, ROUTE_TIMEOUT_S

HOST = "soak.example"
READY_INTERVAL_S = 0.5
# Parts that all prompts share: the first one, and that of the caller.
FIRST_PART, CALLER_PART = "aa:200", "ca:40"


async def watch_readiness(site, gateway):
    """Removes a gateway from rotation after two failed checks in a row, as the platform does."""
    gateway.in_rotation = False
    misses = 0
    while True:
        status = 0
        try:
            connection = await ClientConnection.connect(gateway.address, site.ports["readiness"])
            async with asyncio.timeout(0.5):
                answer = await connection.request("GET", "/rattanramp/ready", [("Host", HOST)], b"")
            status = answer.status
            connection.close()
        except (OSError, asyncio.TimeoutError):
            pass  # status 0 counts as a failed check
        misses = 0 if status == 200 else misses + 1
        if misses == 0 or misses >= 2:
            gateway.in_rotation = misses == 0
        await asyncio.sleep(READY_INTERVAL_S)


class Client:
    prefix = ""
    requests_per_s = 8
    weights = {"stream": 1, "once": 2, "read": 2}
    leave_share, leave_after_s = 0.05, 0.4

    def __init__(self, site, rng):
        self.site, self.rng = site, rng
        self.connection, self.gateway = None, None

    async def _connect(self):
        ready = [g for g in self.site.gateways if g.in_rotation] or self.site.gateways
        self.gateway = self.rng.choice(ready)
        self.connection = await ClientConnection.connect(self.site.host,
                                                         self.gateway.caller_link.port)

    def _deadline_s(self):
        return ROUTE_TIMEOUT_S

    async def run(self):
        while True:
            await asyncio.sleep(self.rng.expovariate(self.requests_per_s))
            try:
                if self.connection is None or not self.connection.is_open or \
                        self.connection.reader.at_eof():
                    await self._connect()
                await self._send(self.rng.choices(*zip(*self.weights.items()))[0])
            except (OSError, asyncio.TimeoutError):
                self.connection = None

    async def _send(self, kind):
        rng = self.rng
        sent = SentRequest(uuid.UUID(int=rng.getrandbits(128)).hex[:16], self.gateway, "POST",
                           f"{self.prefix}/{kind}/x{rng.randrange(100)}?q={rng.randrange(9)}", kind,
                           bytes(rng.randrange(256) for _ in range(rng.choice((0, 20, 900)))),
                           self._deadline_s())
        leaves = rng.random() < self.leave_share
        abandon_after_s = rng.uniform(0.0, self.leave_after_s) if leaves else None
        await exchange(self.site, self.connection, sent, abandon_after_s)


class CrashingCaller(Client):
    """Sends generations with a part in their prompts that crashes engines, to any gateway."""

    requests_per_s = 3
    leave_share = 0.0

    def __init__(self, site, rng, part):
        super().__init__(site, rng)
        self.part = part

    async def _send(self, kind):
        sent = SentRequest(uuid.UUID(int=self.rng.getrandbits(128)).hex[:16], self.gateway, "POST",
                           f"/stream/x{self.rng.randrange(100)}", "crashing", b"",
                           part=self.part)
        await exchange(self.site, self.connection, sent)
        # The next one comes at another gateway.
        self.connection.close()
        self.connection = None


class BurstCaller(Client):
    """Sends long work directly to one gateway for as long as its process takes connections."""

    prefix = LONG_PREFIX
    requests_per_s = 2
    weights = {"stream": 3, "once": 1, "read": 1}
    leave_share, leave_after_s = 0.15, 3.0

    def __init__(self, site, rng, gateway):
        super().__init__(site, rng)
        self.gateway = gateway

    async def _connect(self):
        self.connection = await ClientConnection.connect(self.gateway.address,
                                                         self.site.ports["callers"])

    def _deadline_s(self):
        return self.rng.choice((2, 4, LONG_TIMEOUT_S, LONG_TIMEOUT_S))


async def exchange(site, connection, sent, abandon_after_s=None):
    site.record.sent[sent.id] = sent
    headers = [("Host", HOST), ("Request-Id", sent.id), ("Deadline-Ms", str(sent.deadline_s * 1000))]
    if sent.kind in ("stream", "crashing"):
        headers += [("Model-Id", "m"), ("Token-Count", "5000,4000"),
                    ("Prompt-Prefix", ",".join(
                        [FIRST_PART, *([f"{sent.part}:40"] if sent.part else []), CALLER_PART,
                         f"{sent.id}:4720"]))]
    try:
        async with asyncio.timeout(abandon_after_s or sent.route_timeout_s + 1):
            answer = await connection.request(sent.method, sent.target, headers, sent.body)
    except (asyncio.TimeoutError, asyncio.CancelledError) as error:
        # The client closes the connection: after abandon_after_s, at the end of its task, or
        # because no answer arrived within its own time limit.
        connection.close()
        sent.abandoned_by_client = True
        sent.end = time.monotonic()
        if isinstance(error, asyncio.CancelledError):
            raise
        return
    sent.answer, sent.end = answer, time.monotonic()
    if sent.process is not sent.gateway.process:
        sent.process = None
    site.record.check_answer(sent)


async def probe(site, rng):
    """Requests routes that the config fault adds and removes.

    The answers show which configuration each gateway has applied.
    """
    while True:
        await asyncio.sleep(0.3)
        for gateway in site.gateways:
            if not gateway.in_rotation or not site.all_prefixes:
                continue
            prefix = rng.choice(sorted(site.all_prefixes))
            sent = SentRequest(uuid.UUID(int=rng.getrandbits(128)).hex[:16], gateway, "POST",
                               prefix + "probe", "probe", b"")
            try:
                connection = await ClientConnection.connect(gateway.address, site.ports["callers"])
                await exchange(site, connection, sent)
                connection.close()
            except (OSError, asyncio.TimeoutError):
                pass  # faults are expected to interrupt probes
