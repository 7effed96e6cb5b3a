"""A router stands still for 3.5 s while desired states come in quick
succession. Afterwards it never gets the newest one: the answer that holds what
it lacks is larger than it reads."""

import asyncio
import json
import os
import random
import signal
import string
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools2"))
from harness import (CONFIG_APPLY_S, CONTACT_S, FRONT_PORT, CouldNotRun, Deployment, Replica, ZONES,
                     call, client_headers, document, is_ready, main, plain_route)

FREEZE_S = 3.5
STORM_GAP_S = 0.22
STORM_S = 4.0
TENANTS = 10
KEYS_EACH = 2400
KEY_LENGTH = 32
JUDGED_S = 24


class Operator:
    """Sends desired states in which each version replaces one key."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.random = random.Random(83)
        self.version = 1
        self.tenants = [{"name": "t%d" % i, "priority": 1,
                         "apiKeys": [self.key() for _ in range(KEYS_EACH)]}
                        for i in range(TENANTS)]
        self.tenants[0]["apiKeys"].append("n2ctnfzs989anu6wsjnb")

    def key(self):
        return "".join(self.random.choices(string.ascii_lowercase + string.digits, k=KEY_LENGTH))

    async def send_next(self, open_service):
        self.version += 2
        self.tenants[self.version % TENANTS]["apiKeys"][0] = self.key()
        routes = [plain_route("open", "/open/", open_service) | {"public": True},
                  plain_route("keyed", "/keyed/", "old-api")]
        state = document(self.version, routes, ["old-api", "new-api"])
        state["tenants"] = self.tenants
        if self.version == 3:
            self.deployment.record("a desired state has", len(json.dumps(state)), "bytes")
        if await self.deployment.publish(state) != 200:
            raise CouldNotRun("version %d was refused" % self.version)

    async def storm(self, open_service):
        end = time.monotonic() + STORM_S
        while time.monotonic() < end:
            begun = time.monotonic()
            await self.send_next(open_service)
            await asyncio.sleep(max(0, STORM_GAP_S - (time.monotonic() - begun)))


async def one_request(router, path, ran):
    """What became of a request: the service that ran it, or the status."""
    headers = client_headers(1500)
    try:
        answer = await call(router.ip, FRONT_PORT, "GET", path, headers, timeout=2.5)
        end = str(answer.status)
    except (OSError, EOFError, asyncio.TimeoutError) as error:
        end = type(error).__name__
    return ran.get(headers["Spindleweir-Request-Id"], end)


async def freeze(router):
    router.signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    router.signal(signal.SIGCONT)


async def case(record, trouble):
    deployment = Deployment(record)
    try:
        deployment.start()
        ran = {}

        def on_run(replica, request, *_):
            ran[request] = replica.service

        for service in ("old-api", "new-api"):
            for zone in ZONES:
                await Replica(deployment, service, zone, work_s=0.01, on_run=on_run).start()
        operator = Operator(deployment)
        await operator.send_next("old-api")
        await deployment.await_ready()
        await asyncio.sleep(CONFIG_APPLY_S + CONTACT_S)

        work = [operator.storm("old-api")]
        if trouble:
            work.append(freeze(deployment.routers[0]))
        await asyncio.gather(*work)
        # From now on the open route leads to another service.
        await operator.send_next("new-api")
        record("version", operator.version, "is acknowledged: /open/ leads to new-api")
        # Nothing happens any more: twice contactMs until all are in touch.
        await asyncio.sleep(2 * CONTACT_S)
        by_old = {router.name: 0 for router in deployment.routers}
        end = time.monotonic() + JUDGED_S
        while time.monotonic() < end:
            for router in deployment.routers:
                open_end = await one_request(router, "/open/x", ran)
                keyed_end = await one_request(router, "/keyed/x", ran)
                ready = await asyncio.to_thread(is_ready, router.ip)
                record(router.name, "/open/x:", open_end, "| /keyed/x:", keyed_end, "| ready:", ready)
                by_old[router.name] += open_end == "old-api"
            await asyncio.sleep(2)
        for router in deployment.routers:
            versions = [json.loads(line)["version"] for line in router.log().splitlines()
                        if '"event":"configuration_in_force"' in line]
            record(router.name, "put in force last: version", versions[-1],
                   "| /open/x run by the old service:", by_old[router.name], "times")
        return any(by_old.values())
    finally:
        for replica in deployment.replicas:
            await replica.end()
        deployment.end()


main(case)
