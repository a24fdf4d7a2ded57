#!/usr/bin/python3
"""The platform's store returns from an older copy, and its versions are given out again.

    tests/outages/store_returns.py PROGRAM [CASE...] [--busy N] [--keep FOLDER]

Both sides as in config_outages.py: what the operator writes after the return is in force in time,
and the configuration of the copy doesn't come back at a gateway that has served a newer one.
"""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
from config_outages import CONTACT_S, LATE_S, play_scenarios  # noqa: E402
from stand_ins import StoreCopy  # noqa: E402

# Rows of others that are written between a copy and the return from it.
OTHER_WRITES = 60
# Age of the copy, and what the operator wrote last before the return.
LOST_S = 5.0
LOST_CHANGE = {"add": ["/mid/"], "remove": ["/old/"]}


async def come_back(case, copy, away_s=0.5, mode="reset"):
    """The store is away and returns from the copy. Returns what its writers have lost.

    mode: what calls get meanwhile; None: the store answers all the while.
    """
    if mode is not None:
        case.store.mode = mode
        case.reset_store_links()
        await asyncio.sleep(away_s)
    lost = case.store.return_from(copy)
    case.store.mode = None
    case.store_returned()
    return lost


def returns(age_s, lost=True, away_s=0.5, wait_s=1.0, writes=0, mode="reset"):
    """The store returns from a copy; the operator's newest configuration was lost or not.

    wait_s: from the second write of what was lost to the next change. writes: rows of others that
    are written at once after that change, so that the versions pass those from before the return.
    """
    async def play(case):
        if not lost:
            case.change(add=["/mid/"], remove=["/old/"])
        copy = StoreCopy(case.store)
        for i in range(OTHER_WRITES):
            case.store.put("servers", "p-other", {"seq": i})
            await asyncio.sleep(age_s / OTHER_WRITES)
        if lost:
            # The last of the writes, so that its version is above those after the return.
            case.change(add=["/mid/"], remove=["/old/"])
            await asyncio.sleep(0.3)
        missed = await come_back(case, copy, away_s, mode)
        await asyncio.sleep(wait_s / 2)
        case.store.write_again(missed)
        await asyncio.sleep(wait_s)
        case.change(add=["/new/"], remove=["/mid/"])
        for i in range(writes):
            case.store.put("servers", "p-other", {"seq": i})
    return play


async def lose_changes(case, *changes):
    """Makes changes that a return from the copy, which is returned, loses."""
    copy = StoreCopy(case.store)
    for i in range(OTHER_WRITES):
        case.store.put("servers", "p-other", {"seq": i})
        await asyncio.sleep(LOST_S / OTHER_WRITES)
    for change in changes:
        case.change(**change)
        await asyncio.sleep(0.3)
    return copy


async def write_again_and_change(case, missed):
    await asyncio.sleep(0.5)
    case.store.write_again(missed)
    await asyncio.sleep(1.0)
    case.change(add=["/new/"], remove=["/mid/"])


async def returns_twice(case):
    """A second return, within 5 s, meets gateways that have just settled on the first one."""
    copy = await lose_changes(case, LOST_CHANGE)
    for _ in range(2):
        missed = await come_back(case, copy)
        await asyncio.sleep(0.5)
        case.store.write_again(missed)
        await asyncio.sleep(1.0)
    case.change(add=["/new/"], remove=["/mid/"])


async def returns_beside_kill(case):
    """A gateway that starts on the copy's configuration keeps it, or hands it to the others."""
    copy = await lose_changes(case, LOST_CHANGE)
    missed = await come_back(case, copy)
    gateway = case.site.gateways[0]
    gateway.kill()
    await gateway.process.wait()
    await gateway.start()
    case.disturbed[gateway] = time.monotonic() + CONTACT_S
    await write_again_and_change(case, missed)


async def returns_beside_freeze(case):
    """A gateway sees nothing of the return before all has been written again."""
    copy = await lose_changes(case, LOST_CHANGE)
    gateway = case.site.gateways[0]
    gateway.send(signal.SIGSTOP)
    await write_again_and_change(case, await come_back(case, copy))
    await asyncio.sleep(0.5)
    gateway.send(signal.SIGCONT)
    case.disturbed[gateway] = time.monotonic() + CONTACT_S


async def returns_beside_cut(case):
    """A gateway that is cut off during the return gives the others its older order of rows, or
    doesn't follow when its link is back."""
    copy = await lose_changes(case, LOST_CHANGE)
    gateway = case.site.gateways[0]
    gateway.store_link.refuses = True
    gateway.store_link.reset_all()
    await write_again_and_change(case, await come_back(case, copy))
    await asyncio.sleep(0.5)
    gateway.store_link.refuses = False
    case.disturbed[gateway] = time.monotonic() + CONTACT_S


async def returns_without_two(case):
    """The older one of two lost configurations, which is written again first, is put in force at
    gateways that have served the newer one."""
    copy = await lose_changes(case, LOST_CHANGE, {"add": ["/mid-2/"]})
    missed = await come_back(case, copy)
    for row in missed:
        if row["table"] == "op":
            await asyncio.sleep(0.7)
            case.store.write_again([row])
    await write_again_and_change(case, [row for row in missed if row["table"] == "servers"])


async def returns_beside_late_answers(case):
    """An answer from before the return, which arrives after it, counts as the newest."""
    copy = await lose_changes(case)
    case.expects_feed_faults = True
    case.store.feed_fault = "late"
    case.change(**LOST_CHANGE)
    # A late answer with the lost change arrives 0.2 s after the return.
    await asyncio.sleep(LATE_S - 0.2)
    missed = case.store.return_from(copy)
    case.store.feed_fault = None
    case.store_returned()
    await write_again_and_change(case, missed)


SCENARIOS = {
    "lost-2": (returns(2.0), 3),
    "lost-5": (returns(5.0), 3),
    "lost-5-passed": (returns(5.0, wait_s=0.0, writes=2 * OTHER_WRITES), 3),
    "lost-5-silent": (returns(5.0, mode="silent"), 3),
    "lost-5-late": (returns(5.0, mode="late"), 3),
    "lost-5-brief": (returns(5.0, away_s=0.05), 3),
    "lost-5-unseen": (returns(5.0, mode=None), 3),
    "kept-5": (returns(5.0, lost=False), 3),
    "twice": (returns_twice, 3),
    "beside-kill": (returns_beside_kill, 3),
    "beside-freeze": (returns_beside_freeze, 3),
    "beside-cut": (returns_beside_cut, 3),
    "two-lost": (returns_without_two, 3),
    "beside-late": (returns_beside_late_answers, 3),
}


if __name__ == "__main__":
    sys.exit(play_scenarios(__doc__, SCENARIOS, subnet=213))
