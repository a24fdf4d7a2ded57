"""A server leaves; then the store is silent for a second. Requests over 3 s after the store's return."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from rig2 import TROUBLE, Server, main  # noqa: E402

DRAIN_S = 2.0
CONTACT_S = 3.0
GATEWAYS = 5
ROUNDS = 6
# From the store's acknowledgement that the entry is gone to the outage, and its length.
UNTIL_OUTAGE_S = 0.2
OUTAGE_S = 1.0
# From the end of the outage to the first request.
UNTIL_REQUESTS_S = CONTACT_S + 0.3
# The server exits this long after its entry was removed: drain_ms and "many seconds".
UNTIL_EXIT_S = 4.65
REQUESTS = 6


async def play_round(site, number):
    leaver = Server(site, f"leaver-{number}", "register-app", None, 6)
    leaver.work_s = 0.25
    site.servers.append(leaver)
    await leaver.start()
    await asyncio.sleep(5)
    # Every gateway has sent it work; the last answers are in 2 s before it leaves.
    for gateway in site.gateways:
        await asyncio.gather(*(site.ordinary(gateway, "file") for _ in range(REQUESTS)))
    await asyncio.sleep(2)
    leaver.is_up = False
    leaver.extra_fields = [("Server-Leaving", "1")]
    gone = site.store.remove("servers", leaver.instance)
    site.log(f"round {number}: the store has acknowledged that the entry of {leaver.name} is gone")
    await asyncio.sleep(UNTIL_OUTAGE_S)
    site.store.is_silent = TROUBLE
    site.log("the store is silent" if TROUBLE else "the store goes on answering")
    await asyncio.sleep(OUTAGE_S)
    site.store.is_silent = False
    returned = time.monotonic()
    site.log("the store answers")
    await asyncio.sleep(returned + UNTIL_REQUESTS_S - time.monotonic())
    sends = [asyncio.create_task(site.ordinary(gateway, "file"))
             for gateway in site.gateways for _ in range(REQUESTS)]
    await asyncio.sleep(gone + UNTIL_EXIT_S - time.monotonic())
    site.log(f"{leaver.name} exits")
    leaver.stop()
    answers = dict(await asyncio.gather(*sends))
    late = [run for run in leaver.runs if run["at"] > gone + DRAIN_S]
    if not late:
        return []
    lost = sum(1 for run in late
               if (answer := answers.get(run["id"])) is None or answer.status != 200)
    return [f"round {number}: {len(late)} requests reached {leaver.name} "
            f"{late[0]['at'] - gone:.2f} s after the store had acknowledged that it is gone and "
            f"{late[0]['at'] - returned:.2f} s after the store's return; {lost} of them were lost "
            "when it exited"]


async def play(site):
    await site.start(gateways=GATEWAYS, plain=3, prefill=1, decode=1)
    for number in range(ROUNDS if TROUBLE else 3):
        breaches = await play_round(site, number)
        if breaches:
            return breaches
    return []


main(__file__, play)
