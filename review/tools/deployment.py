"""A small deployment on loopback: the project's own programs as separate
processes, started with the commands of deploy/system.toml, and stand-ins for
the platform (settings files, ready checks), the operator, replicas and
consumers.

The stand-ins do what the pages say of sound ones. What a case needs beyond
that stands in its own script.
"""
import asyncio
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ["hall-a", "hall-b", "hall-c"]
# The figures of the site file sites/blackwood-press.toml.
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": True, "revokeMs": 5000,
    "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 200, "recoverS": 12,
    "pass_ms": 120, "again_s": 0, "stall_ms": 3000, "requireFence": True,
}
BEAT_MS = 1200
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
          "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def now():
    return time.monotonic()


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """What was sent, answered and run: one JSON line each, in record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = now()

    def add(self, what, **fields):
        line = {"t": round(now() - self.start, 3), "what": what, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()

    def say(self, text):
        self.add("verdict", text=text)
        print(text)


# ---- settings: the template of the deploy file, filled as DEPLOY.md says ----

def look_up(path, scopes):
    if path == ".":
        return scopes[-1].get(".", scopes[-1])
    for scope in reversed(scopes):
        value, found = scope, True
        for name in path.split("."):
            if isinstance(value, list) and name.isdigit() and int(name) < len(value):
                value = value[int(name)]
            elif isinstance(value, dict) and name in value:
                value = value[name]
            else:
                found = False
                break
        if found:
            return value
    return None


def fill(text, scopes):
    out, at = "", 0
    for m in iter(lambda: re.compile(r"\{\{(.*?)\}\}", re.S).search(text, at), None):
        out += text[at:m.start()]
        word = m.group(1).strip()
        at = m.end()
        if word[0] in "#^":
            name = word[1:].strip()
            end = text.index("{{/" + name + "}}", at)
            inner = text[at:end]
            at = end + len("{{/" + name + "}}")
            value = look_up(name, scopes)
            if word[0] == "^":
                out += fill(inner, scopes) if not value else ""
            elif isinstance(value, list):
                for i, item in enumerate(value):
                    scope = {".": item, "@": i, ",": "," if i + 1 < len(value) else ""}
                    out += fill(inner, scopes + [scope])
            elif value:
                out += fill(inner, scopes)
            continue
        path, _, form = word.partition("|")
        value = look_up(path, scopes)
        if form == "json":
            out += json.dumps(value)
        elif value is None:
            out += ""
        elif isinstance(value, list):
            out += ",".join(str(v) for v in value)
        elif isinstance(value, (dict, bool)):
            out += json.dumps(value)
        else:
            out += str(value)
    return out + text[at:]


# ---- HTTP/1.1, as little as the stand-ins need ----

class Message:
    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body

    def header(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_message(reader, is_answer, method="GET"):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = [tuple(s.strip() for s in line.split(":", 1)) for line in lines[1:] if line]
    message = Message(lines[0], headers, b"")
    if is_answer and (method == "HEAD" or message.status in (204, 304)):
        return message
    if (message.header("Transfer-Encoding") or "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return message
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = message.header("Content-Length")
    if length is not None:
        message.body = await reader.readexactly(int(length))
    elif is_answer:
        message.body = await reader.read()
    return message


def write_head(start, headers):
    return (start + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers) + "\r\n").encode("latin-1")


async def call(address, method, path, headers=(), body=b"", timeout=1.0, host=None):
    """One call on a channel of its own; returns the answer or raises."""
    ip, port = address.rsplit(":", 1)

    async def run():
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            head = [("Host", host or address), *headers, ("Content-Length", str(len(body)))]
            writer.write(write_head(f"{method} {path} HTTP/1.1", head) + body)
            await writer.drain()
            return await read_message(reader, True, method)
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)


FAILURES = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            asyncio.LimitOverrunError, ValueError, IndexError)


# ---- processes ----

class Deployment:
    """3 controls and `routers` routers, on loopback addresses of their own."""

    def __init__(self, record, routers=3, addresses=64):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="spindleweir-review.")
        self.block = ((os.getpid() << 7) ^ random.getrandbits(20)) & 0x7fff80
        self.next_address = itertools.count(1)
        self.processes = {}
        self.version = 0
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
            self.deploy = tomllib.load(f)["roles"]
        with open(os.path.join(ROOT, self.deploy["router"]["template"]), encoding="utf-8") as f:
            self.template = f.read()
        self.nodes = {}
        for i in range(3):
            self.nodes[f"core-{ZONES[i]}-1"] = ("control", ZONES[i], self.address())
        for i in range(routers):
            name = f"front-{ZONES[i % 3]}-{i // 3 + 1}"
            self.nodes[name] = ("router", ZONES[i % 3], self.address())
        self.ports = self.free_ports()
        self.controls = [f"{ip}:{self.ports['control']}"
                         for role, _, ip in self.nodes.values() if role == "control"]
        self.control_names = [n for n, v in self.nodes.items() if v[0] == "control"]
        self.router_names = [n for n, v in self.nodes.items() if v[0] == "router"]

    def address(self):
        n = self.block + next(self.next_address)
        return f"127.{128 + (n >> 16)}.{(n >> 8) & 255}.{n & 255}"

    def free_ports(self):
        """Ports that are free on all addresses of the nodes."""
        ips = [ip for _, _, ip in self.nodes.values()]
        ports, port = {}, 20000 + random.randrange(20000)
        names = ["front", "ready", "control", "inner", "forwarding"]
        while names and port < 60000:
            port += 1
            if port == 9464:
                continue
            try:
                for ip in ips:
                    with socket.socket() as s:
                        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        s.bind((ip, port))
                ports[names.pop(0)] = port
            except OSError:
                pass
        if names:
            raise CannotRun("no free ports")
        return ports

    def settings(self, name, bootstrap):
        role, zone, ip = self.nodes[name]
        control = role == "control"
        listen = ({"control": f"{ip}:{self.ports['control']}"} if control else
                  {"front": f"{ip}:{self.ports['front']}", "ready": f"{ip}:{self.ports['ready']}"})
        fields = {
            "node": name, "role": role, "machineClass": "core" if control else "front",
            "serves": ["control" if control else "front"], "ip": ip, "zone": zone,
            "region": "kingston", "zones": {z: "kingston" for z in ZONES}, "listen": listen,
            "portRange": [self.ports["inner"], self.ports["forwarding"]],
            "seeds": self.controls, "bootstrap": bootstrap, "lossCounted": control,
            "limits": {"cpuShare": 0.3, "cores": 1, "memoryMb": 256 if control else 260,
                       "maxFds": 4096 if control else 4100, "linkMbps": 1000.0,
                       "diskMb": 128 if control else 0},
            "dataDir": os.path.join(self.folder, name, "data") if control else None,
            "discovery": "registry", "entry": "vip", "beatIntervalMs": BEAT_MS,
            "tolerate": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "configMode": "highest",
        }
        folder = os.path.join(self.folder, name)
        os.makedirs(os.path.join(folder, "data") if control else folder, exist_ok=True)
        path = os.path.join(folder, "boot.yaml")
        with open(path + ".new", "w", encoding="utf-8") as f:
            f.write(fill(self.template, [fields]))
        os.rename(path + ".new", path)
        return path

    def start(self, name, bootstrap=False):
        role = self.deploy[self.nodes[name][0]]
        argv = role["run"].split(" ")
        if not os.path.exists(os.path.join(ROOT, argv[0])):
            raise CannotRun(argv[0] + " is missing: run the build of the deploy file")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env.update(role.get("env", {}))
        env["SPINDLEWEIR_BOOT"] = self.settings(name, bootstrap)
        log = open(os.path.join(self.folder, name, "log"), "ab")
        self.processes[name] = subprocess.Popen(
            argv, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.record.add("start", node=name, bootstrap=bootstrap)

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record.add("signal", node=name, signal=signal.Signals(number).name)

    def kill(self, *names):
        for name in names:
            self.signal(name, signal.SIGKILL)
        for name in names:
            self.processes.pop(name).wait()

    def own_ends(self):
        """Processes that ended by themselves."""
        return {n: p.returncode for n, p in self.processes.items() if p.poll() is not None}

    def end(self):
        for process in self.processes.values():
            try:
                process.send_signal(signal.SIGCONT)
                process.kill()
            except ProcessLookupError:
                pass
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def front(self, name):
        return f"{self.nodes[name][2]}:{self.ports['front']}"

    async def is_ready(self, name):
        try:
            answer = await call(f"{self.nodes[name][2]}:{self.ports['ready']}", "GET", "/-/ready")
            return answer.status == 200
        except FAILURES:
            return False

    async def await_ready(self, names=None, within=20):
        end = now() + within
        for name in names or self.router_names:
            while not await self.is_ready(name):
                if now() > end:
                    raise CannotRun(f"{name} is not ready")
                await asyncio.sleep(0.05)

    async def begin(self, document):
        """Starts all on empty disks and sends the first desired state."""
        for name in self.nodes:
            self.start(name, bootstrap=True)
        if not await self.replace(document, within=20):
            raise CannotRun("the first desired state was not acknowledged")

    # ---- the operator ----

    async def operate(self, method, path, body, within):
        """The operator's call: any node, 307 followed twice, goes on to the
        next after a failure, a 5xx, 408, 429 or a second. Returns the answer,
        or None if none was clear in time."""
        end, pause, i = now() + within, 0.05, random.randrange(3)
        while now() < end:
            address = self.controls[i % len(self.controls)]
            i += 1
            try:
                for _ in range(3):
                    answer = await call(address, method, path,
                                        [("Content-Type", "application/json")], body)
                    if answer.status != 307:
                        break
                    address = answer.header("Location").split("/")[2]
                if answer.status not in (307, 408, 429) and answer.status < 500:
                    return answer
            except FAILURES:
                pass
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 1.5)
        return None

    async def replace(self, document, within=10):
        """Sends a desired state until it is acknowledged; the time of the ack,
        or None."""
        body = json.dumps(document).encode()
        self.record.add("desired state sent", version=document["version"])
        answer = await self.operate("POST", "/-/Config.Replace", body, within)
        acked = answer is not None and answer.status == 200
        self.record.add("desired state answered", version=document["version"],
                        status=None if answer is None else answer.status)
        return now() if acked else None

    async def read(self, within=5):
        answer = await self.operate("GET", "/-/Config.Read", b"", within)
        return json.loads(answer.body) if answer is not None and answer.status == 200 else None


# ---- replicas of a plain service ----

class Replica:
    """A sound replica: runs requests, sends beats, refuses what isn't for it."""

    def __init__(self, deployment, service, zone, work_ms=20, slots=6):
        self.d, self.service, self.zone = deployment, service, zone
        self.work_ms, self.slots = work_ms, slots
        self.ip, self.port = deployment.address(), None
        self.state, self.sequence, self.beat_address = "ready", 0, None
        self.runs = []  # (time, request id, headers as a Message)
        self.running = 0
        self.writers = set()
        self.tasks = []
        self.new_id()

    def new_id(self):
        self.id = "i-" + "".join(random.choice("0123456789abcdef") for _ in range(8))

    async def begin(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"
        self.d.record.add("replica", id=self.id, service=self.service, address=self.address)
        self.tasks.append(asyncio.create_task(self.beats()))

    async def end(self):
        for task in self.tasks:
            task.cancel()
        self.tasks = []
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.d.record.add("replica ended", id=self.id)

    def beat_body(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "coldLeftMs": 0, "seq": self.sequence}

    async def tell(self, verb, body, tries=None):
        """Calls nodes in turn until one answers 2xx within a second."""
        nodes = random.sample(self.d.controls, len(self.d.controls))
        if verb == "Heartbeat" and self.beat_address:
            nodes.insert(0, self.beat_address)
        for address in nodes[:tries]:
            try:
                answer = await call(address, "POST", f"/-/Instances.{verb}/{self.id}",
                                    [("Content-Type", "application/json")],
                                    json.dumps(body).encode() if body else b"")
                if 200 <= answer.status < 300:
                    named = json.loads(answer.body or b"{}").get("beatAddr")
                    if named:
                        self.beat_address = named
                    return True
            except FAILURES:
                pass
            if address == self.beat_address:
                self.beat_address = None
        return False

    async def beats(self):
        while True:
            await self.tell("Heartbeat", self.beat_body())
            await asyncio.sleep(BEAT_MS / 1000 * random.uniform(0.9, 1.1))

    async def leave(self):
        """Sends Leave until it is acknowledged; the time of the ack, or None."""
        for task in self.tasks:
            task.cancel()
        self.tasks = []
        end = now() + 5
        while now() < end:
            if await self.tell("Leave", None):
                self.d.record.add("leave acknowledged", id=self.id)
                return now()
        self.d.record.add("leave not acknowledged", id=self.id)
        return None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader, False)
                method, target, _ = request.start.split(" ", 2)
                await self.answer(request, method, target, writer)
                if (request.header("Connection") or "").lower() == "close":
                    break
        except FAILURES:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, method, target, writer):
        if target == "/health":
            await self.send(writer, 200, [("Spindleweir-Instance-Id", self.id)], b"")
            return
        rid = request.header("Spindleweir-Request-Id")
        named = request.header("Spindleweir-Expect-Instance")
        refused = 400 if rid is None else 421 if named not in (None, self.id) else None
        if refused:
            await self.send(writer, refused, [("Spindleweir-Not-Executed", "1")], b"")
            return
        self.runs.append((now(), rid, request))
        self.d.record.add("run", replica=self.id, request=rid, method=method, target=target,
                          tenant=request.header("Spindleweir-Tenant"))
        await self.run(request, rid, method, target, writer)

    async def run(self, request, rid, method, target, writer):
        self.running += 1
        try:
            await asyncio.sleep(self.work_ms / 1000)
        finally:
            self.running -= 1
        body = (self.service + " " + rid + " ").encode() * 20
        await self.send(writer, 200, [("Spindleweir-Request-Id", rid),
                                      ("Spindleweir-Response-Seal", f"seal.{rid}")], body, method)

    async def send(self, writer, status, headers, body, method="GET"):
        load = ("Spindleweir-Server-Load", f"{self.running},0,{self.slots}")
        head = write_head(f"HTTP/1.1 {status} X", [*headers, load, ("Content-Length", str(len(body)))])
        writer.write(head + (b"" if method == "HEAD" else body))
        await writer.drain()


# ---- consumers ----

def request_id():
    return "".join(random.choice("0123456789abcdef") for _ in range(16))


async def consume(d, router, method, host, path, key=None, deadline_ms=1500, body=b"", headers=()):
    """One consumer attempt on a new channel. Returns (id, time sent, answer
    or None if the channel ended without one)."""
    rid = request_id()
    head = [("Spindleweir-Request-Id", rid), ("Spindleweir-Deadline-Ms", str(deadline_ms)), *headers]
    if key:
        head.append(("Authorization", "Bearer " + key))
    sent = now()
    d.record.add("sent", request=rid, router=router, method=method, path=path, key=key)
    try:
        answer = await call(d.front(router), method, path, head, body, deadline_ms / 1000, host)
    except FAILURES as error:
        answer = None
        d.record.add("no answer", request=rid, why=type(error).__name__)
    else:
        d.record.add("answered", request=rid, status=answer.status,
                     after_ms=round((now() - sent) * 1000))
    return rid, sent, answer


def plain_route(name, host, prefix, service, kind="unsafe", **more):
    return {"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 4000,
            "targetLatencyMs": 300, "priority": 2, "service": service, "maxAttempts": 2,
            "public": False, "sticky": False, "resumable": False, **more}


def plain_service(name):
    return {"name": name, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": False}


def main(case, folder):
    """Runs `case(deployment, record, trouble)`, which returns whether the rule
    held, and exits as the issue asks: 0 held, 1 broken, 2 could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("case", trouble=trouble)
    deployment = Deployment(record)
    code = 2

    async def run():
        return await asyncio.wait_for(case(deployment, record, trouble), 110)

    def stop(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    try:
        held = asyncio.run(run())
        ends = deployment.own_ends()
        if ends:
            record.add("own ends", processes=ends)
        code = 0 if held else 1
    except CannotRun as error:
        record.say(f"could not run: {error}")
    except (asyncio.TimeoutError, KeyboardInterrupt):
        record.say("could not run: took too long, or was stopped")
    except Exception as error:  # A fault of the script says nothing about the rule.
        record.say(f"could not run: {type(error).__name__}: {error}")
    finally:
        deployment.end()
        record.add("exit", code=code)
    sys.exit(code)
