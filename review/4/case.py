"""Connections of one machine are reset while the first requests of a new route run."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from rig import BOUNDS, TROUBLE, Rig, call  # noqa: E402
from servers import Engine, config, stream_headers  # noqa: E402

NEW_ROUTE = {"name": "origin", "kind": "streaming", "service": "verdict-llm", "max_attempts": 1,
             "target_gap_ms": 300}
FIRST_PART = {"lineage": "5c1e07a2", "origin": "91bd3f06"}
# Largest share of a machine's connections that the site's days reset.
MAX_RESET_SHARE = 0.638
APPLY_S, CONTACT_S = 2.0, BOUNDS["contact_ms"] / 1000
STEADY_S = 30


async def main(rig):
    rig.store.put("op", "config", config())
    for number in range(7):
        engine = Engine(rig, f"engine-{number}", "verdict-llm", "prefill" if number < 2 else "decode",
                        slots=64)
        rig.servers.append(engine)
        await engine.start()
    await rig.start_gateways(["front-a-1", "front-b-1", "front-c-1"])
    for gateway in rig.gateways:
        await gateway.wait_ready()
    sent = {}

    async def client(gateway, route):
        request_id = os.urandom(8).hex()
        sent[request_id] = entry = [gateway.name, time.monotonic(), route, None]
        rig.log(f"client sends {request_id} ({route}) to {gateway.name}")
        try:
            entry[3] = answer = await call(
                gateway.callers, "POST", f"/{route}/1",
                stream_headers(request_id, first_part=FIRST_PART[route]), b"x" * 5000)
            rig.log(f"client {request_id} ({route}) gets {answer.status}, "
                    f"{answer.body.count(b'data:')} events, "
                    f"{'complete' if answer.is_complete else 'not complete'}"
                    + (f", Retry-After {answer.headers.get('retry-after')}, {answer.body!r}"
                       if answer.status != 200 else ""))
        except (OSError, TimeoutError) as error:
            rig.log(f"client {request_id} ({route}): {error!r}")

    async def traffic(route, pause_s):
        number = 0
        while True:
            rig.task(client(rig.gateways[number % len(rig.gateways)], route))
            number += 1
            await asyncio.sleep(pause_s)

    rig.task(traffic("lineage", 0.25))
    await asyncio.sleep(4)
    rig.store.put("op", "config", config(2, [NEW_ROUTE]))
    rig.log("the operator adds the route 'origin'; acknowledged")
    await asyncio.sleep(APPLY_S + 0.5)
    first = rig.gateways[0]
    # The first requests of the new route, one after the other, until three engines run one each.
    begin = time.monotonic()
    engines = set()
    while len(engines) < 3 and time.monotonic() < begin + 0.6:
        rig.task(client(first, "origin"))
        await asyncio.sleep(0.05)
        engines = {e.name for e in rig.servers for r in e.active if sent[r][2] == "origin"}
    await asyncio.sleep(0.25)
    running = [(e, r, c) for e in rig.servers for r, c in list(e.active.items())
               if sent[r][0] == first.name]
    open_clients = sum(1 for s in sent.values() if s[0] == first.name and s[3] is None)
    share = len(running) / (len(running) + open_clients)
    engines = {e.name for e, r, _ in running if sent[r][2] == "origin"}
    rig.log(f"{first.name} has {len(running)} connections to engines and {open_clients} to clients; "
            f"requests of the new route run on {len(engines)} engines")
    if TROUBLE:
        rig.log(f"reset_conns: {len(running)} connections of {first.name} to engines are reset, "
                f"a share of {share:.2f} of these (at most {MAX_RESET_SHARE})")
        assert share <= MAX_RESET_SHARE
        for _, _, connection in running:
            connection.reset()
    await asyncio.sleep(2 * CONTACT_S)
    rig.log("steady state begins")
    steady = time.monotonic()
    rig.task(traffic("origin", 0.5))
    await asyncio.sleep(STEADY_S)
    end = time.monotonic()
    await asyncio.sleep(5)
    shares = {}
    for route in ("lineage", "origin"):
        asked = [s for s in sent.values() if s[2] == route and steady <= s[1] < end]
        served = [s for s in asked if s[3] and s[3].status == 200 and s[3].is_complete]
        shares[route] = len(served) / len(asked)
        rig.log(f"steady state: {len(served)} of {len(asked)} requests of '{route}' are served")
        print(f"{route}: {len(served)} of {len(asked)} served")
        if len(asked) < 20:
            return False
    return shares["origin"] < shares["lineage"] / 4


Rig.run(FOLDER, main)
