"""A server says that it leaves in an answer that arrives after its entry was seen to be gone."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from rig import BOUNDS, TROUBLE, CannotRun, Rig, call  # noqa: E402
from servers import Plain, config  # noqa: E402

DRAIN_S = BOUNDS["drain_ms"] / 1000
SLACK_S = 0.2
# Time after the beat whose answer is lost. The pages allow 1 to 6 s for the late write.
LATE_S, END_S = 5.9, 10.0
# Longest work of a claim. The server serves on for drain_ms and about five seconds more.
WORK_S, EXIT_S = 0.45, 7.3


class App(Plain):
    WORK_S = WORK_S


async def main(rig):
    rig.store.put("op", "config", config())
    for number in range(3):
        server = App(rig, f"app-{number}", "register-app", slots=6)
        rig.servers.append(server)
        await server.start()
    leaving = rig.servers[-1]
    reads = []

    def on_read(gateway, table, rows):
        if table == "servers":
            reads.append((time.monotonic(), any(row["key"] == leaving.id for row in rows)))

    rig.store.on_read = on_read
    await rig.start_gateways(["front-a-1"])
    gateway = rig.gateways[0]
    await gateway.wait_ready()
    sent = {}

    async def client():
        request_id = os.urandom(8).hex()
        sent[request_id] = entry = [time.monotonic(), None, None]
        try:
            answer = await call(gateway.callers, "POST", "/claim/1",
                                {"Request-Id": request_id, "Deadline-Ms": "3000"}, b"x" * 600)
            entry[1], entry[2] = answer, time.monotonic()
            rig.log(f"client {request_id} gets {answer.status}"
                    f"{', Server-Leaving' if answer.headers.get('server-leaving') else ''}")
        except (OSError, TimeoutError) as error:
            rig.log(f"client {request_id}: {error!r}")
        return entry

    # Claims one at a time until one runs at the server shortly before the gateway reads the list.
    passed_on = begin = None
    for _ in range(60):
        seen = len(reads)
        while len(reads) == seen:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.85)
        task = rig.task(client())
        await asyncio.sleep(0.05)
        if not leaving.active:
            await task
            continue
        beat = leaving.entry()
        leaving.beats = False
        begin = time.monotonic()
        if TROUBLE:
            rig.log(f"{leaving.name} sends beat seq {beat['seq']} (ready); the store does not answer")
        else:
            rig.store.put("servers", leaving.id, beat)
            rig.log(f"{leaving.name} sends beat seq {beat['seq']} (ready); performed")
        await asyncio.sleep(0.05)
        leaving.is_leaving = True
        rig.store.remove("servers", leaving.id)
        rig.log(f"{leaving.name} leaves: its entry is removed; it serves on and says Server-Leaving")
        entry = await task
        missing = [at for at, is_listed in reads if at > begin and not is_listed]
        if entry[1] is None or not entry[1].headers.get("server-leaving") or not missing:
            raise CannotRun("the answer came before the list was read")
        passed_on = entry[2]
        rig.log(f"the gateway had read a list without {leaving.name} "
                f"{(passed_on - missing[0]) * 1000:.0f} ms before it passed this answer on")
        break
    if passed_on is None:
        raise CannotRun("no claim reached the server")

    async def traffic():
        while True:
            rig.task(client())
            await asyncio.sleep(0.05)

    await asyncio.sleep(begin + LATE_S - time.monotonic())
    if TROUBLE:
        rig.store.put("servers", leaving.id, beat)
        rig.log(f"the store performs beat seq {beat['seq']} (ready), {LATE_S} s after it was sent")
    task = rig.task(traffic())
    await asyncio.sleep(begin + EXIT_S - time.monotonic())
    leaving.exit()
    rig.log(f"{leaving.name} exits")
    await asyncio.sleep(begin + END_S - time.monotonic())
    task.cancel()
    await asyncio.sleep(3.2)
    late = lost = 0
    for at, request_id, _ in leaving.arrivals:
        sent_at, answer, _ = sent[request_id]
        if sent_at > passed_on + DRAIN_S:
            late += 1
            is_served = answer is not None and answer.status == 200 and answer.is_complete
            lost += not is_served
            rig.log(f"DRAIN: {request_id}, sent {sent_at - passed_on:.2f} s after {gateway.name} had "
                    f"passed on Server-Leaving, reaches {leaving.name}; "
                    f"{'served' if is_served else 'LOST'}")
    print(f"{late} claims reach the server that had said that it leaves, {lost} lost")
    return late > 0


Rig.run(FOLDER, main)
