"""A small deployment of stand-ins, proxies and gateway processes with their configuration."""

import asyncio
import base64
import json
import math
import os
import signal
import time

from proxy import Proxy
from stand_ins import HEALTH_PATH, HEARTBEAT_S, LONG_PREFIX, Store, StoreCopy, Upstream

DISCONNECTED_AFTER_S = 3.0
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
STOP_GRACE_S = 8.0
ROUTE_TIMEOUT_S = 6
LONG_TIMEOUT_S = 15
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 58, 10
LEASE_S = 3.0
COPY_INTERVAL_S, MIN_COPY_AGE_S, MAX_COPY_AGE_S = 0.5, 1.0, 10.0

STREAM_PREFIX, ONCE_PREFIX, READ_PREFIX = "/stream/", "/once/", "/read/"


class Gateway:
    """One gateway process with a proxy to the store and one for its callers."""

    def __init__(self, site, number):
        self.site = site
        self.number = number
        self.name = f"gateway-{number}"
        self.address = f"127.0.1.{number + 1}"
        self.store_link = Proxy(site.host)
        self.caller_link = Proxy(site.host)
        self.process = None
        self.is_expected_down = True
        self.stop_sent = None
        # [time of SIGTERM, time of the exit] of each stop.
        self.stops = []
        self.restart_lock = asyncio.Lock()
        self.exits = []
        # [begin, end] of each fault that affected the process or its links.
        self.faults = []

    async def prepare(self):
        await self.store_link.start(self.site.host, self.site.store.port)
        await self.caller_link.start(self.address, self.site.ports["callers"])

    def write_settings(self, slack=RETRY_SLACK):
        ports = self.site.ports
        settings = {
            "node": self.name, "failure_domain": "domain-a", "address": self.address,
            "listen": {"callers": f"{self.address}:{ports['callers']}",
                       "readiness": f"{self.address}:{ports['readiness']}",
                       "metrics_port": ports["metrics"]},
            "peer_ports": [ports["peers"], ports["peers"]],
            "table_service": f"{self.site.host}:{self.store_link.port}",
            "stop_grace_s": STOP_GRACE_S,
            "disconnected_after_ms": int(DISCONNECTED_AFTER_S * 1000),
            "upstream_leave_ms": int(DRAIN_S * 1000),
            "retry_bound": {"ratio": RETRY_RATIO, "slack": slack, "window_s": RETRY_WINDOW_S},
            "process": self.site.process_limits}
        with open(self.settings_path(), "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def settings_path(self):
        return os.path.join(self.site.folder, f"{self.name}.json")

    async def start(self):
        self.write_settings()
        with open(os.path.join(self.site.folder, f"{self.name}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.site.program, "--config", self.settings_path(), stdout=log, stderr=log)
        self.is_expected_down = False
        self.stop_sent = None
        asyncio.create_task(self._watch(self.process))

    async def _watch(self, process):
        code = await process.wait()
        if process is self.process and not self.is_expected_down:
            self.exits.append((time.monotonic(), code))

    def send(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    def kill(self):
        self.is_expected_down = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)

    def stop(self):
        self.is_expected_down = True
        self.stop_sent = time.monotonic()
        self.stops.append([self.stop_sent, math.inf])
        self.send(signal.SIGTERM)

    def is_unaffected(self, begin, end):
        """True when no fault affected this gateway or the store.

        The time checked starts DISCONNECTED_AFTER_S before begin and lasts until end.
        """
        return not any(b < end and e > begin - DISCONNECTED_AFTER_S
                       for b, e in self.faults + self.site.store_faults)


class Site:
    def __init__(self, program, folder, rng, record, ports, gateways=4, engines=5, plain=3):
        self.host = "127.0.0.1"
        self.program, self.folder, self.rng, self.record, self.ports = \
            program, folder, rng, record, ports
        self.store = Store(self.host, rng)
        self.store_faults = []
        self.upstreams = []
        for i in range(engines):
            self.upstreams.append(Upstream(self, f"e{i}", "engines", "prefill" if i < 2 else "decode", 12))
        for i in range(plain):
            self.upstreams.append(Upstream(self, f"p{i}", "plain", None, 6))
        self.gateways = [Gateway(self, i) for i in range(gateways)]
        self.is_slow = False
        self.engine_slots = 12
        # What the VM allows a gateway: memory_mb and max_descriptors; null: not known.
        self.process_limits = {}
        self.caller_limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                              "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        # Parts of prompts that crash each engine which begins to answer a request with them.
        self.crashing_parts = set()
        self.config_version = 0
        # (time of the first acknowledgement, set of route prefixes) of each configuration version.
        self.configs = []
        # The text and prefixes of all versions, and how many of them the store has been given
        # since its last return; the others are written in their order.
        self.operator_configs = []
        self.written_configs = 0
        self.copies = []
        self.extra_prefixes = []

    async def start(self):
        await self.store.start()
        for upstream in self.upstreams:
            upstream.proxy = Proxy(self.host)
            await upstream.start()
        for gateway in self.gateways:
            await gateway.prepare()
            await gateway.start()
        self.put_config()
        asyncio.create_task(self._heartbeats())

    async def _heartbeats(self):
        while True:
            for upstream in self.upstreams:
                if upstream.is_up and upstream.left_at is None:
                    upstream.announce()
            await asyncio.sleep(HEARTBEAT_S)

    def put_config(self):
        def route(prefix, kind, service, **more):
            return {"name": "r" + prefix.replace("/", ""), "host": "soak.example", "prefix": prefix,
                    "kind": kind, "timeout_ms": ROUTE_TIMEOUT_S * 1000, "target_latency_ms": 900, "priority": 1,
                    "service": service, "max_attempts": 2, "sticky": False, "resumable": False,
                    "target_gap_ms": 300, **more}
        routes = [route(STREAM_PREFIX, "streaming", "engines", resumable=True, sticky=True),
                  route(ONCE_PREFIX, "non_idempotent", "plain", max_attempts=1),
                  route(READ_PREFIX, "idempotent", "plain")]
        routes += [{**r, "name": "rlong" + r["name"], "prefix": LONG_PREFIX + r["prefix"],
                    "timeout_ms": LONG_TIMEOUT_S * 1000, "target_latency_ms": 12000} for r in routes]
        routes += [route(prefix, "idempotent", "plain") for prefix in self.extra_prefixes]
        self.config_version += self.rng.randrange(1, 4)
        config = {
            "version": self.config_version, "routes": routes,
            "services": [
                {"name": "engines", "health_path": HEALTH_PATH, "max_conns": 200,
                 "engine": {"slots": self.engine_slots, "kv_tokens": 65000, "stride": 72, "kv_hold_s": 0.5,
                            "switch_s": 1.0, "models": [{"name": "m"}]}},
                {"name": "plain", "health_path": HEALTH_PATH, "max_conns": 200}],
            "limits": self.caller_limits}
        self.operator_configs.append((config, {r["prefix"] for r in routes}))
        # While lost versions are still to be written again, this one waits for its turn.
        if self.written_configs == len(self.operator_configs) - 1:
            self.write_next_config()

    def write_next_config(self):
        config, prefixes = self.operator_configs[self.written_configs]
        acknowledged = self.store.put("op", "config", config)
        if self.written_configs == len(self.configs):
            self.configs.append((acknowledged, prefixes))
        self.written_configs += 1

    async def keep_copies(self):
        while True:
            self.copies = [copy for copy in self.copies
                           if copy.at > time.monotonic() - MAX_COPY_AGE_S - 1]
            self.copies.append(StoreCopy(self.store))
            await asyncio.sleep(COPY_INTERVAL_S)

    def return_store(self):
        """Lets the store return from a copy; later copies are of a history that has ended."""
        now = time.monotonic()
        copy = self.rng.choice([c for c in self.copies if
                                MIN_COPY_AGE_S <= now - c.at <= MAX_COPY_AGE_S] or self.copies[-1:])
        self.copies = [c for c in self.copies if c.at <= copy.at]
        self.store.return_from(copy)
        version = json.loads(base64.b64decode(copy.rows["op", "config"]["value"]))["version"]
        self.written_configs = 1 + next(i for i, (config, _) in enumerate(self.operator_configs)
                                        if config["version"] == version)
        return now - copy.at

    def crashing_part(self, request):
        """Part of the request's prompt, never the last one, that crashes engines; None without."""
        parts = request.headers.get("prompt-prefix", "").split(",")[:-1]
        return next((part for part in (entry.split(":")[0] for entry in parts)
                     if part in self.crashing_parts), None)

    def crash_by_part(self, upstream, part):
        if not upstream.is_up:
            return
        now = time.monotonic()
        self.record.part_crashes.setdefault(part, []).append(now)
        upstream.faults.append([now, math.inf])
        upstream.crash()
        asyncio.create_task(self._bring_back(upstream, upstream.faults[-1]))

    async def _bring_back(self, upstream, fault):
        await asyncio.sleep(self.rng.uniform(1.5, 4))
        if not upstream.is_up:
            await upstream.start()
            upstream.announce()
        fault[1] = time.monotonic()

    def take_handle(self, source, request_id):
        """Removes a KV handle and returns True when it had not expired.

        A handle of another request is recorded as a violation of MIXED.
        """
        address, handle = source.split("/", 1)
        for upstream in self.upstreams:
            if address == f"{self.host}:{upstream.proxy.port}":
                owner, until = upstream.handles.pop(handle, (None, 0))
                if owner is None or time.monotonic() > until:
                    return False
                if owner != request_id:
                    self.record.add_violation(
                        "MIXED", f"{request_id} continues from the prompt of {owner}")
                return True
        return False
