"""Two of three core machines are replaced one after the other, as planned work.
Does the acknowledged desired state come when it is read back?"""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "tools"))
from deployment import (BOUNDS, LIMITS, CannotRun, Replica, consume, main, now,  # noqa: E402
                        plain_route, plain_service)

HOST, KEY = "proofs.example", "n2ctnfzs989anu6wsjnb"
CATCH_UP = BOUNDS["catchUpS"]
# From the end of a machine to the start of its successor.
SUCCESSOR_AFTER_S = 0.5
# From the start of a successor to the next SIGTERM; the pages ask for catchUpS.
STEP_S = float(os.environ.get("STEP_S", CATCH_UP + 0.5))
READ_BACK_S = 20


def document(version):
    return {"version": version, "services": [plain_service("ledger")],
            "routes": [plain_route("proof-page", HOST, "/proofs/", "ledger")], "limits": LIMITS,
            "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}]}


async def follow(d, old, new):
    """The operator's list, and the settings files after it, lag by seedLagS."""
    await asyncio.sleep(BOUNDS["seedLagS"])
    port = d.ports["control"]
    d.controls[d.controls.index(f"{d.nodes[old][2]}:{port}")] = f"{d.nodes[new][2]}:{port}"
    for name in d.processes:
        d.settings(name, False)


async def case(d, record, trouble):
    await d.begin(document(3))
    replicas = [Replica(d, "ledger", zone) for zone in ("hall-a", "hall-b", "hall-c")]
    for replica in replicas:
        await replica.begin()
    await d.await_ready()
    await asyncio.sleep(BOUNDS["contactMs"] / 1000 + 3)
    if await d.replace(document(7)) is None:
        raise CannotRun("the second desired state was not acknowledged")

    async def served(count):
        answers = [await consume(d, d.router_names[i % 3], "POST", HOST, f"/proofs/{i}", KEY, body=b"x")
                   for i in range(count)]
        return sum(1 for _, _, a in answers if a and a.status == 200)

    record.say(f"before: {await served(12)} of 12 requests served")
    followers = []
    for old in list(d.control_names[:2]):
        if trouble:
            d.signal(old, signal.SIGTERM)
            process = d.processes.pop(old)
            while process.poll() is None:
                await asyncio.sleep(0.02)
            record.add("ended", node=old, code=process.returncode)
            await asyncio.sleep(SUCCESSOR_AFTER_S)
            new = old[:-1] + "2"
            d.nodes[new] = ("control", d.nodes[old][1], d.address())
            d.start(new)
            followers.append(asyncio.create_task(follow(d, old, new)))
        await asyncio.sleep(STEP_S)
    for follower in followers:
        await follower
    begun = now()
    document_read = await d.read(READ_BACK_S)
    took = now() - begun
    count = await served(12)
    alive = [name for name in d.processes if d.nodes[name][0] == "control"]
    for replica in replicas:
        await replica.end()
    version = document_read and document_read["version"]
    record.say(f"read back: version {version} after {took:.1f} s, 7 was acknowledged; {len(alive)} of 3 "
               f"core processes run; {count} of 12 requests served")
    return version == 7


if __name__ == "__main__":
    main(case, HERE)
