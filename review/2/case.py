"""The only tenant is taken away: does its key still run requests?"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "tools"))
from deployment import BOUNDS, Replica, consume, main, now, plain_route, plain_service  # noqa: E402

HOST, KEY = "proofs.example", "n2ctnfzs989anu6wsjnb"


def document(version, tenants):
    return {"version": version, "services": [plain_service("ledger")],
            "routes": [plain_route("proof-page", HOST, "/proofs/", "ledger")],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": tenants}


async def case(d, record, trouble):
    tenant = {"name": "hule930", "apiKeys": [KEY], "priority": 1}
    await d.begin(document(3, [tenant]))
    replicas = [Replica(d, "ledger", zone) for zone in ("hall-a", "hall-b", "hall-c")]
    for replica in replicas:
        await replica.begin()
    await d.await_ready()
    await asyncio.sleep(BOUNDS["contactMs"] / 1000 + 0.5)

    async def ask(count, key):
        """Requests to each router in turn; the ids of those sent."""
        ids = {}
        for i in range(count):
            router = d.router_names[i % len(d.router_names)]
            rid, sent, answer = await consume(d, router, "POST", HOST, f"/proofs/{i}", key, body=b"x")
            ids[rid] = (sent, answer.status if answer else None)
            await asyncio.sleep(0.05)
        return ids

    before = await ask(12, KEY)
    record.say(f"before: {sum(s == 200 for _, s in before.values())} of {len(before)} served")
    # The change: with trouble the last tenant is taken away, without it stays.
    acked = await d.replace(document(7, [] if trouble else [tenant]))
    if acked is None:
        record.say("the change was not acknowledged: nothing to judge")
        return True
    await asyncio.sleep(BOUNDS["revokeMs"] / 1000 + 1)
    after = await ask(12, KEY)
    never = await ask(6, "never-held-by-any-tenant")
    await asyncio.sleep(1)
    ran = {rid for replica in replicas for _, rid, _ in replica.runs}
    for replica in replicas:
        await replica.end()
    revoked_ran = [rid for rid, (sent, _) in after.items()
                   if rid in ran and sent > acked + BOUNDS["revokeMs"] / 1000]
    never_ran = [rid for rid in never if rid in ran]
    record.say(f"after: {len(revoked_ran)} of {len(after)} requests ran under the key of the first "
               f"state, {len(never_ran)} of {len(never)} under a key that no state ever held")
    if not trouble:
        # The key is held: these requests have to run.
        return len(revoked_ran) == len(after) and not never_ran
    return not revoked_ran and not never_ran


if __name__ == "__main__":
    main(case, HERE)
