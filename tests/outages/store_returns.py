#!/usr/bin/python3
"""The platform's store returns from an older copy, and its versions are given out again.

    tests/outages/store_returns.py PROGRAM [CASE...] [--busy N] [--keep FOLDER]

Both sides as in config_outages.py: what the operator writes after the return is in force in time,
and the configuration of the copy doesn't come back at a gateway that has served a newer one.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
from config_outages import play_scenarios  # noqa: E402
from stand_ins import StoreCopy  # noqa: E402

# Rows of others that are written between a copy and the return from it.
OTHER_WRITES = 60


async def come_back(case, copy, away_s=0.5, mode="reset"):
    """The store is away and returns from the copy. Returns what its writers have lost."""
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


SCENARIOS = {
    "lost-2": (returns(2.0), 3),
    "lost-5": (returns(5.0), 3),
    "lost-5-passed": (returns(5.0, wait_s=0.0, writes=2 * OTHER_WRITES), 3),
    "lost-5-silent": (returns(5.0, mode="silent"), 3),
    "lost-5-late": (returns(5.0, mode="late"), 3),
    "lost-5-brief": (returns(5.0, away_s=0.05), 3),
    "kept-5": (returns(5.0, lost=False), 3),
}


if __name__ == "__main__":
    sys.exit(play_scenarios(__doc__, SCENARIOS, subnet=213))
