"""Faults of processes, links, the store, servers and configuration; they overlap and repeat."""

import asyncio
import random
import signal
import time

from clients import BurstCaller, CrashingCaller
from site_model import DRAIN_S, STOP_GRACE_S
from stand_ins import HEARTBEAT_S, OUTAGES

# Provisional length of the span of a fault that has not ended yet.
OPEN_SPAN_S = 1e9
BURST_CALLERS = 100
CRASHING_CALLERS = 3
# Longer than the time after which sound requests must begin again, so that this can be seen.
CRASHING_PART_S = (9, 12)
# Share of the returns of the store that are followed by another one within SECOND_RETURN_S.
SECOND_RETURN_SHARE, SECOND_RETURN_S = 0.4, 5
# Time in which the operator repeats the writes that the store has lost.
REPEAT_S = 1.0


async def finish(tasks):
    """Waits for all tasks and raises the first error; a cancelled task is none."""
    for result in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(result, Exception):
            raise result


class Faults:
    def __init__(self, site, rng, only=None):
        self.site, self.rng = site, rng
        self.kinds = [self.kill, self.freeze, self.term, self.hup, self.store_link,
                      self.caller_link, self.upstream_link, self.store, self.store_return,
                      self.crash, self.leave,
                      self.grey, self.config, self.config, self.waves, self.crashing_part]
        if only:
            self.kinds = [kind for kind in self.kinds if kind.__name__ in only]
        self.log = []
        # (begin, end, kind of outage, age of the copy) of each return of the store.
        self.returns = []

    async def run(self, until):
        tasks = []
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(0.2, 1.6))
            kind = self.rng.choice(self.kinds)
            self.log.append((round(time.monotonic(), 2), kind.__name__))
            tasks.append(asyncio.create_task(kind()))
        await finish(tasks)

    def _begin(self, faults, slack_s=0.0):
        """Opens a span in faults; the returned function ends it slack_s after its call."""
        now = time.monotonic()
        span = [now, now + OPEN_SPAN_S]
        faults.append(span)

        def end():
            span[1] = time.monotonic() + slack_s
        return end

    def _gateway(self):
        return self.rng.choice(self.site.gateways)

    async def kill(self):
        gateways = self.rng.sample(self.site.gateways, self.rng.choice((1, 1, 2, 4)))
        ends = [self._begin(g.faults, 1.0) for g in gateways]
        processes = [gateway.process for gateway in gateways]
        for gateway in gateways:
            gateway.kill()
        await asyncio.sleep(self.rng.uniform(0.2, 2))
        for gateway, process, end in zip(gateways, processes, ends):
            await self._restart(gateway, process)
            end()

    async def _restart(self, gateway, process):
        """Restarts a gateway unless an overlapping fault has already restarted it."""
        await process.wait()
        async with gateway.restart_lock:
            if process is gateway.process:
                await gateway.start()

    async def freeze(self):
        gateway = self._gateway()
        end = self._begin(gateway.faults)
        gateway.send(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.3, 4))
        gateway.send(signal.SIGCONT)
        end()

    async def term(self):
        await self._stop(self._gateway())

    async def waves(self):
        """Stops one or two gateways in each of two or three waves that overlap.

        A burst of callers sends long work meanwhile; some waits in the gateways' queues, some
        lasts longer than the grace time.
        """
        site = self.site
        if site.is_slow:
            return
        site.is_slow = True
        burst = [asyncio.create_task(
            BurstCaller(site, random.Random(self.rng.random()),
                        site.gateways[i % len(site.gateways)]).run())
                 for i in range(BURST_CALLERS)]
        span = [time.monotonic(), OPEN_SPAN_S + time.monotonic()]
        site.record.wave_spans.append(span)
        await asyncio.sleep(self.rng.uniform(0.5, 2))
        stops = []
        for _ in range(self.rng.choice((2, 3))):
            for gateway in self.rng.sample(site.gateways, self.rng.choice((1, 2))):
                stops.append(asyncio.create_task(self._stop(gateway)))
            await asyncio.sleep(self.rng.uniform(0.5, 2))
        await finish(stops)
        site.is_slow = False
        span[1] = time.monotonic() + STOP_GRACE_S
        for caller in burst:
            caller.cancel()
        await finish(burst)

    async def _stop(self, gateway):
        if gateway.stop_sent is not None:
            return
        gateway.stop()
        process, stop = gateway.process, gateway.stops[-1]
        try:
            async with asyncio.timeout(STOP_GRACE_S):
                await process.wait()
            stop[1] = time.monotonic()
        except asyncio.TimeoutError:
            stop[1] = time.monotonic()
            if gateway.is_unaffected(gateway.stop_sent, time.monotonic()):
                self.site.record.add_violation(
                    "STOP", f"{gateway.name} did not exit within its grace time")
            self._begin(gateway.faults)()
            gateway.kill()
        end = self._begin(gateway.faults, 1.0)
        await self._restart(gateway, process)
        end()

    async def hup(self):
        """Writes settings with another slack of the retry bound and sends SIGHUP."""
        gateway = self._gateway()
        gateway.write_settings(slack=self.rng.choice((20, 58)))
        gateway.send(signal.SIGHUP)

    async def _disrupt(self, proxy):
        """Resets, delays, withholds or refuses the traffic of a proxy for 0.3 to 4 s."""
        kind = self.rng.choice(("reset", "delay", "silent up", "silent down", "silent", "refuse"))
        if kind == "reset":
            proxy.reset_all()
        elif kind == "delay":
            proxy.delay_s = self.rng.uniform(0.02, 0.4)
        elif kind == "refuse":
            proxy.refuses = True
            proxy.reset_all()
        else:
            for direction in ("up", "down"):
                proxy.is_silent[direction] = kind in ("silent", "silent " + direction)
        await asyncio.sleep(self.rng.uniform(0.3, 4))
        proxy.clear_faults()

    async def store_link(self):
        gateway = self._gateway()
        end = self._begin(gateway.faults)
        await self._disrupt(gateway.store_link)
        end()

    async def caller_link(self):
        gateway = self._gateway()
        end = self._begin(gateway.faults)
        await self._disrupt(gateway.caller_link)
        end()

    async def upstream_link(self):
        upstream = self.rng.choice(self.site.upstreams)
        end = self._begin(upstream.faults)
        await self._disrupt(upstream.proxy)
        end()

    async def store(self):
        store = self.site.store
        end = self._begin(self.site.store_faults)
        kind = self.rng.choice(("away", "partly", "slow", "loses", "forgets"))
        if kind == "away":
            store.refuse_share = 1.0
        elif kind == "partly":
            store.refuse_share = 0.4
        elif kind == "slow":
            store.extra_delay_s = self.rng.uniform(0.2, 1.2)
        elif kind == "loses":
            store.lose_share = 0.4
        else:
            store.forget_history()
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        store.refuse_share = store.lose_share = store.extra_delay_s = 0.0
        end()

    async def store_return(self):
        """The store is away and returns from an older copy, in some cases twice."""
        returns = [asyncio.create_task(self._return_store())]
        if self.rng.random() < SECOND_RETURN_SHARE:
            await asyncio.sleep(self.rng.uniform(0.2, SECOND_RETURN_S))
            returns.append(asyncio.create_task(self._return_store()))
        await finish(returns)

    async def _return_store(self):
        site = self.site
        end = self._begin(site.store_faults)
        outage = self.rng.choice(OUTAGES)
        site.store.outages.append(outage)
        if outage == "reset":
            for gateway in site.gateways:
                gateway.store_link.reset_all()
        begin = time.monotonic()
        await asyncio.sleep(self.rng.uniform(0.2, 3))
        age_s = site.return_store()
        site.store.outages.remove(outage)
        self.returns.append((begin, time.monotonic(), outage, age_s))
        await finish([asyncio.create_task(self._repeat_configs()),
                      asyncio.create_task(self._repeat_entries())])
        end()

    async def _repeat_configs(self):
        site = self.site
        lost = len(site.operator_configs) - site.written_configs
        while site.written_configs < len(site.operator_configs):
            await asyncio.sleep(self.rng.uniform(0, REPEAT_S / max(lost, 1)))
            if site.written_configs < len(site.operator_configs):
                site.write_next_config()

    async def _repeat_entries(self):
        """Servers write their entries, and the platform removes those of servers that are gone."""
        await asyncio.sleep(self.rng.choice((0.0, self.rng.uniform(0, HEARTBEAT_S))))
        for upstream in self.site.upstreams:
            if upstream.is_up:
                upstream.write_again()
        store = self.site.store
        for instance in [key for table, key in store.rows
                         if table == "servers" and key in store.removed]:
            store.remove("servers", instance)

    async def crash(self):
        upstream = self.rng.choice(self.site.upstreams)
        if not upstream.is_up or upstream.left_at is not None:
            return
        end = self._begin(upstream.faults)
        upstream.crash()
        await asyncio.sleep(self.rng.uniform(0.5, 5))
        await upstream.start()
        upstream.announce()
        end()

    async def leave(self):
        """Planned removal of a server.

        The server announces that it leaves, or its row is deleted; it continues to serve for
        DRAIN_S + 4 s and is then replaced.
        """
        upstream = self.rng.choice(self.site.upstreams)
        if not upstream.is_up or upstream.left_at is not None:
            return
        if self.rng.random() < 0.3:
            upstream.left_at = self.site.store.remove("servers", upstream.instance)
        else:
            upstream.announce_leaving()
        await asyncio.sleep(DRAIN_S + 4)
        if not upstream.is_up:
            return
        end = self._begin(upstream.faults)
        self.site.store.remove("servers", upstream.instance)
        upstream.crash()
        await upstream.start()
        upstream.announce()
        end()

    async def grey(self):
        """A server resets a share of its answers and in some cases also answers slowly."""
        upstream = self.rng.choice(self.site.upstreams)
        end = self._begin(upstream.faults)
        upstream.fail_share = self.rng.uniform(0.2, 0.8)
        upstream.extra_work_s = self.rng.choice((0, 0, 0.3))
        await asyncio.sleep(self.rng.uniform(1, 4))
        upstream.fail_share = upstream.extra_work_s = 0.0
        end()

    async def crashing_part(self):
        """A part of prompts crashes each engine that begins to answer a request with it.

        The requests come at all gateways, no two alike; sound ones share their other parts.
        """
        site = self.site
        part = f"{self.rng.randrange(16 ** 8):08x}"
        site.crashing_parts.add(part)
        callers = [asyncio.create_task(
            CrashingCaller(site, random.Random(self.rng.random()), part).run())
                   for _ in range(CRASHING_CALLERS)]
        begin = time.monotonic()
        await asyncio.sleep(self.rng.uniform(*CRASHING_PART_S))
        for caller in callers:
            caller.cancel()
        site.record.crashing_spans.append((part, begin, time.monotonic()))
        await finish(callers)

    async def config(self):
        """Adds or removes a route."""
        site = self.site
        if site.extra_prefixes and self.rng.random() < 0.5:
            self._remove_route()
        else:
            self._add_route()
        site.put_config()

    def replace_route(self):
        """Removes a route, if any was added, and adds another one."""
        if self.site.extra_prefixes:
            self._remove_route()
        self._add_route()
        self.site.put_config()

    def _add_route(self):
        site = self.site
        prefix = f"/more{len(site.all_prefixes)}/"
        site.extra_prefixes.append(prefix)
        site.all_prefixes.add(prefix)

    def _remove_route(self):
        self.site.extra_prefixes.remove(self.rng.choice(self.site.extra_prefixes))
