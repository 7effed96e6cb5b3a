"""A replica's leave is acknowledged; right after it all processes are killed.
Does the replica still get work more than drainMs after the ack?"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "tools"))
from deployment import (BOUNDS, CannotRun, Replica, consume, main, now, plain_route,  # noqa: E402
                        plain_service)

HOST, KEY = "proofs.example", "n2ctnfzs989anu6wsjnb"
CONTACT, DRAIN = BOUNDS["contactMs"] / 1000, BOUNDS["drainMs"] / 1000
ACK_TO_KILL_S = 0.05
DOWN_S = 0.8
SERVES_ON_S = 12


def document(version):
    return {"version": version, "services": [plain_service("ledger")],
            "routes": [plain_route("proof-page", HOST, "/proofs/", "ledger")],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}]}


async def case(d, record, trouble):
    await d.begin(document(3))
    replicas = [Replica(d, "ledger", zone) for zone in ("hall-a", "hall-b", "hall-c")]
    for replica in replicas:
        await replica.begin()
    await d.await_ready()
    await asyncio.sleep(CONTACT + 5)
    leaver = replicas[0]
    acked = await leaver.leave()
    if acked is None:
        raise CannotRun("the leave was not acknowledged")
    await asyncio.sleep(ACK_TO_KILL_S)
    started = now()
    if trouble:
        names = list(d.nodes)
        d.kill(*names)
        await asyncio.sleep(DOWN_S)
        for name in names:
            d.start(name)
        started = now()
        await d.await_ready()
    # Requests from all routers until the replica ends, SERVES_ON_S after the ack.
    tries, i = [], 0
    while now() < acked + SERVES_ON_S:
        tries.append(asyncio.create_task(consume(
            d, d.router_names[i % 3], "POST", HOST, f"/proofs/{i}", KEY, body=b"x")))
        i += 1
        await asyncio.sleep(0.02)
    await leaver.end()
    results = await asyncio.gather(*tries)
    for replica in replicas[1:]:
        await replica.end()
    sent = {rid: at for rid, at, _ in results}
    # In touch again contactMs after the processes were started.
    from_then = max(acked + DRAIN, started + CONTACT)
    late = [(at, rid) for at, rid, _ in leaver.runs if at > from_then and rid in sent]
    record.say(f"{sum(1 for _, _, a in results if a and a.status == 200)} of {len(results)} served; "
               f"{len(late)} requests reached the replica that left later than {DRAIN} s after the "
               f"ack, from routers in touch; the last one "
               f"{max((at - acked for at, _ in late), default=0):.1f} s after it")
    return not late


if __name__ == "__main__":
    main(case, HERE)
