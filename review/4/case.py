"""A beat that a server sent before it left is performed late by the store."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from rig import BOUNDS, TROUBLE, Rig, call  # noqa: E402
from servers import Engine, config, stream_headers  # noqa: E402

DRAIN_S = BOUNDS["drain_ms"] / 1000
# Allowance for the time at which this process, which plays all stand-ins, notes an arrival.
SLACK_S = 0.2
# Requests a second at all gateways, and a lull in them (seconds after the beat). A request that
# the server answers in the lull would tell its gateway that the server leaves.
RATE, LULL_S = 6, (0.8, 2.4)
# Times after the beat whose answer is lost. The pages allow 1 to 6 s for the late write.
LEAVE_S, LATE_S, EXIT_S, END_S = 1.05, 5.9, 9.0, 10.0


async def main(rig):
    rig.store.put("op", "config", config())
    for number in range(9):
        engine = Engine(rig, f"engine-{number}", "verdict-llm", "prefill" if number < 3 else "decode",
                        slots=64)
        rig.servers.append(engine)
        await engine.start()
    leaving = rig.servers[-1]
    acknowledged = {}

    def on_read(gateway, table, rows):
        is_missing = not any(row["key"] == leaving.id for row in rows)
        if table == "servers" and leaving.is_leaving and is_missing and gateway not in acknowledged:
            acknowledged[gateway] = time.monotonic()
            rig.log(f"{gateway} reads a list from the store without {leaving.name}")

    rig.store.on_read = on_read
    await rig.start_gateways(["front-a-1", "front-b-1"])
    for gateway in rig.gateways:
        await gateway.wait_ready()
    sent = {}

    async def client(number):
        """One verdict request, which may run once."""
        gateway = rig.gateways[number % len(rig.gateways)]
        route = "lineage"
        request_id = f"{number:04x}{os.urandom(6).hex()}"
        sent[request_id] = [gateway.name, time.monotonic(), route, None]
        rig.log(f"client sends {request_id} ({route}) to {gateway.name}")
        try:
            answer = await call(gateway.callers, "POST", f"/{route}/1",
                                stream_headers(request_id), b"x" * 5000)
        except (OSError, TimeoutError) as error:
            rig.log(f"client {request_id}: {error!r}")
            return
        sent[request_id][3] = answer
        rig.log(f"client {request_id} gets {answer.status}, {answer.body.count(b'data:')} events, "
                f"{'complete' if answer.is_complete else 'NOT complete'}")

    begin = float("inf")

    async def traffic():
        number = 0
        while True:
            if LULL_S[0] < time.monotonic() - begin < LULL_S[1]:
                await asyncio.sleep(0.01)
                continue
            rig.task(client(number))
            number += 1
            await asyncio.sleep(1 / RATE)

    traffic_task = rig.task(traffic())
    await asyncio.sleep(4)
    # A server that leaves sends no beats; the one before it is sent by the case.
    leaving.beats = False
    begin = time.monotonic()

    async def until(offset):
        await asyncio.sleep(begin + offset - time.monotonic())

    beat = leaving.entry()
    if TROUBLE:
        rig.log(f"{leaving.name} sends beat seq {beat['seq']} (ready); the store does not answer")
    else:
        rig.store.put("servers", leaving.id, beat)
        rig.log(f"{leaving.name} sends beat seq {beat['seq']} (ready); performed")
    await until(LEAVE_S)
    leaving.is_leaving = True
    left_at = rig.store.remove("servers", leaving.id)
    rig.log(f"{leaving.name} leaves: its entry is removed; it serves on and says Server-Leaving")
    await until(LATE_S)
    if TROUBLE:
        rig.store.put("servers", leaving.id, beat)
        rig.log(f"the store performs beat seq {beat['seq']} (ready), {LATE_S} s after it was sent")
    await until(EXIT_S)
    leaving.exit()
    rig.log(f"{leaving.name} exits, {EXIT_S - LEAVE_S:.2f} s after its entry was removed")
    await until(END_S)
    traffic_task.cancel()
    await asyncio.sleep(4.5)

    late = lost = 0
    for at, request_id, what in leaving.arrivals:
        gateway, sent_at, route, answer = sent[request_id]
        bound = acknowledged.get(gateway, float("inf")) + DRAIN_S
        if at > left_at:
            rig.log(f"{leaving.name} got {request_id} ({route}, {what}) from {gateway} "
                    f"{at - left_at:.2f} s after it had left")
        if at > bound + SLACK_S and sent_at > bound:
            late += 1
            is_served = answer is not None and answer.status == 200 and answer.is_complete
            lost += not is_served
            rig.log(f"DRAIN: {request_id} ({route}, {what}) from {gateway} reaches {leaving.name} "
                    f"{at - bound + DRAIN_S:.2f} s after {gateway} had read that it is gone; "
                    f"{'served' if is_served else 'LOST'}")
    served = sum(1 for _, _, _, a in sent.values() if a and a.status == 200 and a.is_complete)
    rig.log(f"{len(sent)} requests, {served} served; {late} reached the leaving server too late, "
            f"{lost} of these were lost")
    print(f"{late} late arrivals, {lost} lost")
    return late > 0


Rig.run(FOLDER, main)
