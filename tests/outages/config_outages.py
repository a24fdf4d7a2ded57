#!/usr/bin/python3
"""Changes of the configuration beside faults of the platform's store, its answers and gateways.

    tests/outages/config_outages.py PROGRAM [CASE...] [--busy N] [--keep FOLDER]

Two sides of one rule: a gateway in touch serves a new configuration within APPLY_S after its
acknowledgement, and one that has served a configuration doesn't go back to an older one. Each case
has its own gateways, store and server; callers ask each gateway for all routes that were ever
there, and what they got is compared with the configurations in their order.
"""

import asyncio
import math
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
from http_io import ClientConnection  # noqa: E402
from list_outages import CONTACT_S, HOST, PORTS, Arrivals, OutageStore, Server, main  # noqa: E402
from site_model import CONFIG_APPLY_S, RETRY_SLACK, Site  # noqa: E402

# The callers, the stand-ins and the gateways share the machine.
SLACK_S = 0.25
ROLLBACK_SLACK_S = 0.25
REQUEST_INTERVAL_S = 0.1
REQUEST_LIMIT_S = 3.0
LATE_S = 1.2
# Longer than a held call.
LONG_FREEZE_S = 4.0
# Until all gateways have read their first configuration and the server.
START_S = 3.5
# Watched after the last bound has passed.
WATCH_S = 3.0


class FeedConnection:
    """Connection of a held call for the configuration; feed_fault applies to its answer."""

    def __init__(self, store, connection):
        self.store = store
        self.connection = connection

    def reset(self):
        self.connection.reset()

    async def answer(self, status, body=b"", headers=()):
        fault = self.store.feed_fault
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers)
        raw = (f"HTTP/1.1 {status} OK\r\nContent-Length: {len(body)}\r\n{fields}\r\n".encode()
               + body)
        if fault is not None:
            self.store.feed_fault_count += 1
        if fault == "lost":
            await asyncio.sleep(3600)
        elif fault == "partial":
            # The connection ends after it, as h11 has seen no answer.
            await self.connection.write(raw[:len(raw) - len(body) // 2])
            return
        elif fault == "late":
            await asyncio.sleep(LATE_S)
        await self.connection.answer(status, body, headers)
        if fault == "twice":
            await self.connection.write(raw)


class FeedStore(OutageStore):
    """feed_fault: None, or what happens to answers to held calls for the configuration: "lost"
    (the connection delivers nothing more), "late" (LATE_S), "partial" (ends inside the body) or
    "twice" (repeated on the connection)."""

    feed_fault = None
    feed_fault_count = 0

    async def handle(self, connection, request):
        if "/rows-feed?" in request.target and "table=op&" in request.target:
            connection = FeedConnection(self, connection)
        await super().handle(connection, request)


class Case:
    def __init__(self, name, network, program, folder, scenario, gateways):
        self.name = name
        self.folder = os.path.join(folder, name)
        os.makedirs(self.folder, exist_ok=True)
        rng = random.Random(name)
        self.site = Site(program, self.folder, rng, Arrivals(), PORTS, gateways=gateways,
                         engines=0, plain=0)
        self.site.store = FeedStore(self.site.host, rng)
        self.site.store.era = 0
        server = Server(self.site, "p0", "plain", None, 64)
        server.arrived = []
        self.site.upstreams = [server]
        for gateway in self.site.gateways:
            gateway.address = f"{network}.{gateway.number + 1}"
        self.scenario = scenario
        self.end = asyncio.Event()
        # Time from which on all gateways that were not disturbed themselves are in touch.
        self.in_touch = 0.0
        # Prefixes of the routes that were ever there.
        self.prefixes = []
        # Gateways that were disturbed, with the time from which on they are in touch again.
        self.disturbed = {}
        self.expects_feed_faults = False
        # (gateway, incarnation, prefix, time sent, time answered, status) of each request.
        self.requests = []

    @property
    def store(self):
        return self.site.store

    def change(self, add=(), remove=()):
        """Writes a configuration with other routes."""
        extra = self.site.extra_prefixes
        for prefix in remove:
            extra.remove(prefix)
        for prefix in add:
            extra.append(prefix)
            if prefix not in self.prefixes:
                self.prefixes.append(prefix)
        self.site.put_config()

    def reset_store_links(self):
        for gateway in self.site.gateways:
            gateway.store_link.reset_all()

    def store_returned(self):
        self.in_touch = time.monotonic() + CONTACT_S

    async def play(self):
        await self.site.start()
        self.change(add=["/old/"])
        await asyncio.sleep(START_S)
        callers = [asyncio.create_task(self.call(gateway)) for gateway in self.site.gateways]
        await asyncio.sleep(0.5)
        await self.scenario(self)
        bound = max(self.site.configs[-1][0] + CONFIG_APPLY_S, self.in_touch,
                    *self.disturbed.values())
        await asyncio.sleep(bound + SLACK_S + WATCH_S - time.monotonic())
        self.end.set()
        await asyncio.gather(*callers)
        return self.faults()

    async def call(self, gateway):
        tasks = set()
        while not self.end.is_set():
            for prefix in self.prefixes:
                task = asyncio.create_task(self.request(gateway, prefix))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*tasks)

    async def request(self, gateway, prefix):
        sent, process = time.monotonic(), gateway.process
        try:
            async with asyncio.timeout(REQUEST_LIMIT_S):
                connection = await ClientConnection.connect(gateway.address, PORTS["callers"])
                answer = await connection.request("GET", prefix + "x", [
                    ("Host", HOST), ("Request-Id", f"{gateway.number}-{prefix[1:-1]}-{sent:.6f}"),
                    ("Deadline-Ms", "2500"), ("Connection", "close")], b"")
                status = answer.status if answer.is_complete else 0
                connection.close()
        except (OSError, TimeoutError):
            status = 0
        self.requests.append((gateway, process, prefix, sent, time.monotonic(), status))

    def oldest_allowed(self, gateway, sent):
        """Index of the oldest configuration that may be in force for a request sent then."""
        in_touch = max(self.in_touch, self.disturbed.get(gateway, 0.0)) + SLACK_S
        if sent < in_touch:
            return 0
        return max((i for i, (acknowledged, _) in enumerate(self.site.configs)
                    if acknowledged + CONFIG_APPLY_S + SLACK_S < sent), default=0)

    def faults(self):
        faults = []
        for gateway in self.site.gateways:
            faults += self.faults_of(gateway)
            # Another run may have the addresses, and its gateways answer the callers.
            faults += [f"{gateway.name}: ended with {code}" for _, code in gateway.exits]
        if self.expects_feed_faults and self.store.feed_fault_count < len(self.site.gateways):
            faults.append("the fault met too few held calls to show anything")
        served = sum(status == 200 for *_, status in self.requests)
        if served < 20 * len(self.site.gateways):
            faults.append("too few requests were served to show anything")
        return faults

    def faults_of(self, gateway):
        late, back = [], []
        # (time, index) of the effects that callers of each process saw.
        seen = {}
        for _, process, prefix, sent, answered, status in sorted(
                (r for r in self.requests if r[0] is gateway), key=lambda r: r[4]):
            if status not in (200, 404):
                continue
            latest = max(i for i, (acknowledged, _) in enumerate(self.site.configs)
                         if acknowledged <= answered)
            bound = self.oldest_allowed(gateway, sent)
            effects = seen.setdefault(process, [])
            floor = max((index for at, index in effects if at + ROLLBACK_SLACK_S < sent), default=0)
            fitting = [i for i, (_, prefixes) in enumerate(self.site.configs[:latest + 1])
                       if (prefix in prefixes) == (status == 200)]
            if not any(i >= bound for i in fitting):
                late.append((sent, prefix, status))
            elif not any(i >= floor for i in fitting):
                back.append((sent, prefix, status))
            else:
                effects.append((answered, min(i for i in fitting if i >= floor)))
        texts = []
        last = self.site.configs[-1][0]
        for name, found in (("not in force in time", late), ("back to an older one", back)):
            if found:
                texts.append(
                    f"{gateway.name}: {name}, {len(found)} requests, "
                    f"{found[0][0] - last:.2f} to {found[-1][0] - last:.2f} s after the last change, "
                    f"first {found[0][1]} {found[0][2]}")
        return texts

    async def stop(self):
        for gateway in self.site.gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                gateway.kill()
                await gateway.process.wait()


async def forgotten(case):
    """The history goes while a change is made."""
    case.store.mode = "silent"
    case.reset_store_links()
    await asyncio.sleep(1.0)
    case.change(add=["/new/"], remove=["/old/"])
    case.store.forget_history()
    case.store.mode = None
    case.store_returned()


def changed_beside(mode, length_s):
    """A change of the configuration in the midst of an outage."""
    async def play(case):
        case.store.mode = mode
        case.reset_store_links()
        await asyncio.sleep(length_s / 2)
        case.change(add=["/new/"], remove=["/old/"])
        await asyncio.sleep(length_s / 2)
        case.store.mode = None
        case.store_returned()
    return play


async def frozen(case):
    gateway = case.site.gateways[0]
    gateway.send(signal.SIGSTOP)
    await asyncio.sleep(0.5)
    case.change(add=["/new/"], remove=["/old/"])
    await asyncio.sleep(2.0)
    gateway.send(signal.SIGCONT)
    case.disturbed[gateway] = time.monotonic() + CONTACT_S


async def removed_and_added_again(case):
    for _ in range(6):
        case.change(remove=["/old/"])
        await asyncio.sleep(0.3)
        case.change(add=["/old/"])
        await asyncio.sleep(0.3)


def feed_answers(fault):
    """The answer that carries a change is lost, late, cut short or repeated: the position of the
    held call goes beyond the change, or the call hangs."""
    async def play(case):
        case.expects_feed_faults = True
        case.store.feed_fault = fault
        await asyncio.sleep(0.5)
        case.change(add=["/new/"], remove=["/old/"])
        await asyncio.sleep(1.5)
        case.store.feed_fault = None
        case.store_returned()
    return play


async def history_gone(case):
    """Each held call gets 410, so that only reads of the table bring a change."""
    oldest, case.store.oldest = case.store.oldest, math.inf
    await asyncio.sleep(1.5)
    case.change(add=["/new/"], remove=["/old/"])
    await asyncio.sleep(1.5)
    case.store.oldest = oldest
    case.store_returned()


async def away_for_one(case):
    """One gateway can't reach the store during a change; the others have no excuse."""
    gateway = case.site.gateways[0]
    gateway.store_link.refuses = True
    gateway.store_link.reset_all()
    await asyncio.sleep(1.0)
    case.change(add=["/new/"], remove=["/old/"])
    await asyncio.sleep(1.0)
    gateway.store_link.refuses = False
    case.disturbed[gateway] = time.monotonic() + CONTACT_S


async def some_calls_refused(case):
    """A change is passed over when the call that should bring it gets 503."""
    case.store.refuse_share = 0.4
    await asyncio.sleep(0.5)
    for change in ({"add": ["/new/"]}, {"remove": ["/old/"]}):
        case.change(**change)
        await asyncio.sleep(1.25)
    case.store.refuse_share = 0.0
    case.store_returned()


async def rejected(case):
    """A configuration that can't be used keeps the next one from being taken."""
    case.site.config_version += 1
    case.store.put("op", "config", {"version": case.site.config_version, "routes": "none"})
    await asyncio.sleep(0.5)
    case.change(add=["/new/"], remove=["/old/"])


async def killed(case):
    """A gateway that starts between two changes keeps what it read first."""
    gateway = case.site.gateways[0]
    gateway.kill()
    await gateway.process.wait()
    case.change(add=["/new/"])
    await gateway.start()
    case.disturbed[gateway] = time.monotonic() + CONTACT_S
    await asyncio.sleep(0.05)
    case.change(remove=["/old/"])


async def settings_read_again(case):
    """Reading the settings again drops the held call, or puts the older configuration in force."""
    for change in ({"add": ["/new/"]}, {"remove": ["/old/"]}):
        for gateway in case.site.gateways:
            gateway.write_settings(slack=RETRY_SLACK + len(case.site.configs))
            gateway.send(signal.SIGHUP)
        case.change(**change)
        for gateway in case.site.gateways:
            gateway.send(signal.SIGHUP)
        await asyncio.sleep(0.5)


async def frozen_long(case):
    """A gateway wakes after its held call has ended, with the answer of the first change in its
    buffers, and takes that for the newest."""
    gateway = case.site.gateways[0]
    gateway.send(signal.SIGSTOP)
    await asyncio.sleep(0.5)
    case.change(add=["/new/"])
    await asyncio.sleep(LONG_FREEZE_S - 1.0)
    case.change(remove=["/old/"])
    await asyncio.sleep(0.5)
    gateway.send(signal.SIGCONT)
    case.disturbed[gateway] = time.monotonic() + CONTACT_S


SCENARIOS = {
    "forgotten": (forgotten, 3),
    "changed-busy": (changed_beside("busy", 2.0), 3),
    "changed-reset": (changed_beside("reset", 2.0), 3),
    "changed-silent": (changed_beside("silent", 2.0), 3),
    "changed-late": (changed_beside("late", 2.0), 3),
    "frozen": (frozen, 2),
    "removed-and-added": (removed_and_added_again, 3),
    "answer-lost": (feed_answers("lost"), 3),
    "answer-late": (feed_answers("late"), 3),
    "answer-partial": (feed_answers("partial"), 3),
    "answer-twice": (feed_answers("twice"), 3),
    "history-gone": (history_gone, 3),
    "away-for-one": (away_for_one, 3),
    "some-calls-refused": (some_calls_refused, 3),
    "rejected": (rejected, 2),
    "killed": (killed, 2),
    "settings-read-again": (settings_read_again, 3),
    "frozen-long": (frozen_long, 2),
}


def play_scenarios(description, scenarios, subnet=214):
    """scenarios: name -> (coroutine function of a case, number of gateways)."""
    def make_case(name, number, program, folder):
        return Case(name, f"127.{subnet}.{number + 1}", program, folder, *scenarios[name])
    return main(description, tuple(scenarios), make_case)


if __name__ == "__main__":
    sys.exit(play_scenarios(__doc__, SCENARIOS))
