"""Stand-ins of the platform for the review scripts: store, workers, callers, and edge processes.

Everything listens on loopback addresses. The store, the workers and the callers follow the users'
pages (PROTOCOL.md); where a page is silent they behave like sound ones.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
EDGE = os.path.join(ROOT, "target", "release", "cranberryhatch-edge")

HEARTBEAT_MS = 1500
HOLD_MAX_MS = 1000
STOP_MS = 30  # below StopTimeoutMs (50)
STORE_MS = 4  # the sites' sheets: 4 ms an answer


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns its first line, headers and body, or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 400: "Bad Request", 503: "Service Unavailable"}


class HttpServer:
    """HTTP/1.1 server with keep-alive. `answer(method, path, headers, body)` gives (status, json)."""

    def __init__(self, answer):
        self.answer = answer
        self.writers = set()
        self.server = None
        self.address = None

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 20)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self.address

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ")
                status, value = await self.answer(method, path, headers, body)
                data = json.dumps(value).encode()
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\n"
                              "Content-Type: application/json\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def crash(self):
        """Closes the port and resets all connections, as the end of a process does."""
        self.server.close()
        for writer in list(self.writers):
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


class Store:
    """The platform's store: rows in tables, transactions and the feed of changes."""

    def __init__(self):
        self.rows = {}
        self.log = []
        self.version = 1
        self.changed = asyncio.Event()
        self.server = HttpServer(self.answer)
        self.start = time.monotonic()

    def put(self, table, key, value):
        self.version += 1
        row = {"Table": table, "part": "", "Key": key, "Ver": self.version,
               "Value": base64.b64encode(value).decode()}
        self.rows[(table, key)] = row
        self.note(row)

    def remove(self, table, key):
        if self.rows.pop((table, key), None) is not None:
            self.version += 1
            self.note({"Table": table, "part": "", "Key": key, "Ver": self.version,
                       "Removed": True})

    def note(self, row):
        self.log.append(row)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def reply(self, **fields):
        clock = int((time.monotonic() - self.start) * 1000)
        return 200, {"Ver": self.version, "NowMs": clock, **fields}

    async def answer(self, method, path, headers, body):
        await asyncio.sleep(STORE_MS / 1000)
        path, _, query = path.partition("?")
        fields = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        if path == "/-/rows-tx":
            return self.transact(json.loads(body))
        if path == "/-/rows-get":
            table, part = fields["Table"], fields.get("part", "")
            low, high = fields.get("From", ""), fields.get("Target")
            rows = [row for (known, key), row in sorted(self.rows.items())
                    if known == table and part == "" and key >= low
                    and (high is None or key < high)]
            limit = min(500, int(fields.get("Limit", 500)))
            return self.reply(rows=rows[:limit], Truncated=len(rows) > limit)
        if path == "/-/rows-feed":
            return await self.feed(fields)
        return 404, {}

    async def feed(self, fields):
        table, after = fields["Table"], int(fields["After"])
        deadline = time.monotonic() + min(int(fields.get("WaitMs", 0)), 30000) / 1000
        while True:
            latest = {}
            for row in self.log:
                if row["Table"] == table and row["Ver"] > after:
                    latest[row["Key"]] = row
            rows = sorted(latest.values(), key=lambda row: row["Ver"])
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return self.reply(rows=rows, Truncated=False)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        for entry in call.get("SetKeys", []):
            if entry["Table"] in ("op", "servers"):
                return 403, {}
        for expected in call.get("ExpectedRev", []):
            row = self.rows.get((expected["Table"], expected["Key"]))
            if (row["Ver"] if row else 0) != expected["Ver"]:
                return 412, {"rows": [row] if row else [], "Ver": self.version, "NowMs": 0}
        for entry in call.get("SetKeys", []):
            self.put(entry["Table"], entry["Key"], base64.b64decode(entry["Value"]))
        for entry in call.get("Remove", []):
            self.remove(entry["Table"], entry["Key"])
        return self.reply()


class Worker:
    """One worker. `run_ms(task)` gives the time that a task takes."""

    def __init__(self, store, record, worker_id, zone, labels, run_ms, service="svc",
                 cpu=64000, task_cpu=1000, with_born=False):
        self.store, self.record, self.id, self.zone = store, record, worker_id, zone
        self.labels, self.run_ms, self.service, self.cpu = list(labels), run_ms, service, cpu
        self.with_born, self.task_cpu = with_born, task_cpu
        self.clock_offset = 0.0  # of the time of day of its machine, in seconds
        self.server = None
        self.address = None
        self.life = 0
        self.starts = []  # (time, life, labels, task, run, spec) of all lives
        self.runs_log = []  # [task, run, start, end, how] of all lives
        self.timers = []
        self.reset()

    def reset(self):
        self.clock0 = time.monotonic() - 1
        self.born = int((time.time() + self.clock_offset) * 1000)
        self.life += 1
        self.seq = 0
        self.token = 0
        self.lease = None
        self.running = {}  # (task, run) -> [end time, log row, how it will end]
        self.highest = {}  # task -> highest run stopped or ended
        self.ended = []
        self.count = 0
        self.state = "ready"
        self.event = asyncio.Event()
        self.draining_left = None

    def clock(self):
        return int((time.monotonic() - self.clock0) * 1000)

    async def start(self, host):
        self.server = HttpServer(self.answer)
        port = self.address[1] if self.address else 0
        self.address = await self.server.listen(host, port)
        self.register()
        self.timers = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.step())]

    async def crash(self):
        """Ends the process; nothing is sent. What runs there ends with it."""
        for timer in self.timers:
            timer.cancel()
        await self.server.crash()
        for key in list(self.running):
            self.finish(key, "crashed", listed=False)
        self.record.write(f"worker {self.id} crashes")

    async def restart(self, host, labels=None):
        """Starts again under the same id and address, as a new life."""
        self.reset()
        if labels is not None:
            self.labels = list(labels)
        self.record.write(f"worker {self.id} starts again, born {self.born}, labels {self.labels}")
        await self.start(host)

    def entry(self):
        value = {"Service": self.service, "Address": f"{self.address[0]}:{self.address[1]}",
                 "Zone": self.zone, "Version": "v1", "Slots": 8, "State": self.state,
                 "ColdRemainingMs": 0, "Seq": self.seq,
                 "Capacity": {"Cpu": self.cpu, "MemMb": 262144, "Gpu": 0},
                 "Labels": self.labels}
        if self.with_born:
            value["born"] = self.born
        return value

    def register(self):
        self.seq += 1
        self.store.put("servers", self.id, json.dumps(self.entry()).encode())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            self.register()

    async def step(self):
        """Ends what is done, and everything once the lease has expired."""
        while True:
            await asyncio.sleep(0.002)
            now = time.monotonic()
            if self.running and self.lease is not None and self.clock() >= self.lease:
                for key in list(self.running):
                    self.finish(key, "lapsed")
            for key, row in list(self.running.items()):
                if now >= row[0]:
                    self.finish(key, row[2])

    def finish(self, key, how, listed=True):
        task, run = key
        _, log, _ = self.running.pop(key)
        log[3], log[4] = self.record.now(), how
        self.record.write(f"worker {self.id}: run {run} of {task} ends: {how}")
        if listed:
            self.highest[task] = max(run, self.highest.get(task, 0))
            self.count += 1
            self.ended.append([self.count, task, run, how, ""])
            event, self.event = self.event, asyncio.Event()
            event.set()

    async def answer(self, method, path, headers, body):
        if headers.get("target-instance", self.id) != self.id:
            return 421, {}
        if method != "POST":
            return 200, {}
        call = json.loads(body)
        base = {"ClockMs": self.clock()}
        if self.with_born:
            base["born"] = self.born
        token = call.get("FencingToken", 0)
        if token < self.token:
            return 409, {**base, "Reason": "fence"}
        self.token = token
        if path == "/-/run-start":
            return self.run_start(call, base)
        if path == "/-/run-stop":
            return self.run_stop(call, base)
        if path == "/-/hold":
            return await self.hold(call)
        return 404, {}

    def extend(self, until):
        if until is None:
            return
        until = min(until, self.clock() + HOLD_MAX_MS)
        self.lease = max(until, self.lease or 0)

    def run_start(self, call, base):
        task, run = call["Task"], call["Run"]
        if call["DeadlineMs"] <= self.clock():
            return 409, {**base, "Reason": "late"}
        self.extend(call["DeadlineMs"])
        if (task, run) in self.running:
            return 200, base
        if run <= self.highest.get(task, 0):
            return 409, {**base, "Reason": "old"}
        if (len(self.running) + 1) * self.task_cpu > self.cpu:
            return 409, {**base, "Reason": "room"}
        log = [task, run, self.record.now(), None, None]
        self.runs_log.append(log)
        self.starts.append((self.record.now(), self.life, list(self.labels), task, run,
                            call["Spec"]))
        ms = self.run_ms(task)
        self.running[(task, run)] = [time.monotonic() + ms / 1000, log, "done"]
        self.record.write(f"worker {self.id} (life {self.life}, labels {self.labels}) starts run "
                          f"{run} of {task}")
        return 200, base

    def run_stop(self, call, base):
        task, run = call["Task"], call["Run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        row = self.running.get((task, run))
        if row and row[2] != "stopped":
            self.record.write(f"worker {self.id} is told to stop run {run} of {task}")
            row[0], row[2] = min(row[0], time.monotonic() + STOP_MS / 1000), "stopped"
        return 200, base

    def percent(self, log):
        return min(99, int(100 * 1000 * (self.record.now() - log[2]) / self.run_ms(log[0])))

    async def hold(self, call):
        self.extend(call.get("DeadlineMs"))
        acked = call.get("AckedThrough", 0)
        self.ended = [end for end in self.ended if end[0] > acked]
        deadline = time.monotonic() + call.get("WaitMs", 0) / 1000
        life = self.life
        while not self.ended and life == self.life:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.event.wait(), left)
            except asyncio.TimeoutError:
                break
        value = {"ClockMs": self.clock(),
                 "Running": [[task, run, "", self.percent(row[1]), self.task_cpu]
                             for (task, run), row in self.running.items()],
                 "Ended": self.ended[:500]}
        if self.with_born:
            value["born"] = self.born
        return 200, value


class Forwarder:
    """Forwards channels to one address, and holds their bytes back while a party is cut off.

    The parties are the instance `owner` and, if its name stands in the first bytes, the instance
    that opened the channel. While one of them is cut off, nothing passes in either direction and
    no end of a channel is passed on; a reset that happens meanwhile is lost.
    """

    def __init__(self, bed, owner, target):
        self.bed, self.owner, self.target = bed, owner, target
        self.server = None
        self.tasks = set()

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)
        return self.server.sockets[0].getsockname()[:2]

    async def passable(self, parties):
        while self.bed.cut_off.intersection(parties):
            await asyncio.sleep(0.005)

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        pumps = []
        try:
            data = await reader.read(1 << 16)
            opener = [edge.name for edge in self.bed.edges if edge.name.encode() in data]
            parties = {self.owner, *opener[:1]}
            await self.passable(parties)
            far_reader, far_writer = await asyncio.open_connection(*self.target)
            far_writer.write(data)
            pumps = [asyncio.ensure_future(self.pump(reader, far_writer, parties)),
                     asyncio.ensure_future(self.pump(far_reader, writer, parties))]
            await asyncio.wait(pumps)
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            for pump in pumps:
                pump.cancel()
            writer.close()
            self.tasks.discard(asyncio.current_task())

    async def pump(self, reader, writer, parties):
        try:
            while True:
                data = await reader.read(1 << 16)
                await self.passable(parties)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            await self.passable(parties)
        writer.close()


class Edge:
    """One edge process, with the command of the deploy file and a settings file of its own."""

    def __init__(self, bed, name, zone, ip):
        self.bed, self.name, self.zone, self.ip = bed, name, zone, ip
        self.store = None  # address of its way to the store, if that is forwarded
        self.process = None
        self.file = os.path.join(bed.folder, f"{name}.toml")

    def settings(self):
        zones = sorted({edge.zone for edge in self.bed.edges})
        seeds = json.dumps([f"{edge.ip}:8166" for edge in self.bed.edges[:3]])
        store = self.store or self.bed.store.server.address
        return f"""NodeName = "{self.name}"
Role = "edge"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{self.ip}"
Zone = "{self.zone}"
Region = "r"
PortRange = [7720,7735]
Seeds = {seeds}
Bootstrap = true
InFaultBudget = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = {HEARTBEAT_MS}
Contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
Orders = "rpc"
[Zones]
""" + "".join(f'{zone} = "r"\n' for zone in zones) + f"""[ListenAddrs]
Frontend = "{self.ip}:8161"
Readiness = "{self.ip}:8167"
ControlPlane = "{self.ip}:8166"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
ContactMs = 3000
AckTimeoutMs = 4000
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
HoldMaxMs = {HOLD_MAX_MS}
StopTimeoutMs = 50
cancel_ms = 3000
RequireFencing = false
RetransmitMs = 1300
[platform]
Address = "{store[0]}:{store[1]}"
form = "table"
WritesPerS = 800
ReadsPerS = 2000
TxMs = 5.0
RowBytes = 65536
Across = false
RetentionS = 20
"""

    async def start(self):
        with open(self.file, "w", encoding="utf-8") as file:
            file.write(self.settings())
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/tmp"),
               "LANG": "C", "CRANBERRYHATCH_BOOT": self.file}
        log = open(os.path.join(self.bed.folder, f"{self.name}.log"), "ab")
        # With forwarders, the instance listens for links behind the address that it advertises.
        words = ["--links-listen", f"{self.ip}:7721"] if self.store else []
        self.process = await asyncio.create_subprocess_exec(
            EDGE, *words, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    async def forward(self):
        """Puts forwarders before the links, the store and the callers of this instance."""
        bed = self.bed
        await Forwarder(bed, self.name, (self.ip, 7721)).listen(self.ip, 7720)
        await Forwarder(bed, self.name, (self.ip, 8161)).listen(self.ip, 8162)
        store = Forwarder(bed, self.name, bed.store.server.address)
        self.store = await store.listen(self.ip, 8170)

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)


class Bed:
    """A small deployment: a store, workers and edge processes."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = self.free_net()
        self.store = Store()
        self.edges = []
        self.workers = []
        self.cut_off = set()  # names of instances that are cut off

    @staticmethod
    def free_net():
        """Returns a loopback network on which the ports of the settings are free."""
        for _ in range(200):
            net = f"127.{random.randint(60, 240)}.{random.randint(1, 250)}"
            try:
                for last in range(1, 9):
                    for port in (8161, 8162, 8166, 8167, 8170, 7720, 7721, 9464):
                        with socket.socket() as sock:
                            sock.bind((f"{net}.{last}", port))
                return net
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def config(self, version, routes):
        """Writes the operator's config. A route is (name, path, service) and more fields."""
        rows = []
        for name, path, service, *more in routes:
            row = {"Name": name, "Host": "kiosk.example", "PathPrefix": path, "Service": service,
                   "TimeoutMs": 30000, "TargetLatencyMs": 60, "Priority": 0, "MaxAttempts": 4,
                   "Stretch": 1.6}
            row.update(*more)
            rows.append(row)
        services = [{"Name": service, "EnforcesCapacity": True}
                    for service in sorted({route[2] for route in routes})]
        config = {"Version": version, "Routes": rows, "Services": services, "Limits": {}}
        self.store.put("op", "config", json.dumps(config).encode())
        self.record.write(f"config {version} confirmed: "
                          + ", ".join(f"{row['PathPrefix']} -> {row['Service']}" for row in rows))

    def add_edge(self, zone):
        number = len(self.edges) + 1
        edge = Edge(self, f"edge-{zone}-{number}", zone, f"{self.net}.{number}")
        self.edges.append(edge)
        return edge

    async def add_worker(self, zone, labels, run_ms, **more):
        number = len(self.workers) + 1
        worker = Worker(self.store, self.record, f"i-{number:04x}", zone, labels, run_ms, **more)
        self.workers.append(worker)
        await worker.start(f"{self.net}.101")
        return worker

    async def start(self):
        if not os.path.exists(EDGE):
            raise RuntimeError("the build of the deploy file is missing")
        await self.store.server.listen(f"{self.net}.100", 0)

    async def ready(self, edges=None, timeout=25):
        """Waits until the edges are ready and linked to each other."""
        edges = self.edges if edges is None else edges
        deadline = time.monotonic() + timeout
        for edge in edges:
            while True:
                try:
                    answer = await asyncio.wait_for(request(edge.ip, 8167, "GET", "/-/readyz"), 1)
                    text = await asyncio.wait_for(request(edge.ip, 9464, "GET", "/metrics", raw=True), 1)
                    peers = f"\ncranberryhatch_peers {len(self.edges) - 1}\n"
                    if answer[0] == 200 and peers in text[1]:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{edge.name} is not ready")
                await asyncio.sleep(0.05)
        self.record.write("all edges ready")

    async def stop(self):
        for edge in self.edges:
            if edge.process is not None and edge.process.returncode is None:
                edge.process.send_signal(signal.SIGCONT)
                edge.process.kill()
                await edge.process.wait()
        for worker in self.workers:
            for timer in worker.timers:
                timer.cancel()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder, file=sys.stderr)


class Call:
    """One request of a caller on a channel of its own."""

    def __init__(self, record, host, port, method, path, value=None, deadline_ms=None):
        self.record, self.host, self.port = record, host, port
        self.method, self.path, self.value, self.deadline_ms = method, path, value, deadline_ms
        self.writer = None
        self.status, self.body, self.broken = None, None, False

    async def send(self):
        reader, self.writer = await asyncio.open_connection(self.host, self.port)
        data = b"" if self.value is None else json.dumps(self.value).encode()
        head = (f"{self.method} {self.path} HTTP/1.1\r\nHost: kiosk.example\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n")
        if self.deadline_ms is not None:
            head += f"Deadline-Ms: {self.deadline_ms}\r\n"
        self.writer.write(head.encode() + b"\r\n" + data)
        await self.writer.drain()
        self.record.write(f"caller sends {self.method} {self.path} to {self.host}")
        return asyncio.ensure_future(self.receive(reader))

    async def receive(self, reader):
        try:
            line, headers, body = await read_message(reader)
            self.status, self.body = int(line.split(" ")[1]), body.decode()
            retry = headers.get("retry-after")
            self.record.write(f"caller gets {self.status} {self.body}"
                              f"{' retry-after ' + retry if retry else ''} for {self.method} "
                              f"{self.path} from {self.host}")
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            self.broken = True
            self.record.write(f"caller's channel for {self.method} {self.path} to {self.host} ends "
                              "without an answer")
        finally:
            self.writer.close()
        return self

    def reset(self):
        """Resets the channel."""
        sock = self.writer.get_extra_info("socket")
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()
        self.record.write(f"the channel for {self.method} {self.path} to {self.host} is reset")


async def request(host, port, method, path, raw=False):
    reader, writer = await asyncio.open_connection(host, port, limit=1 << 20)
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
        line, _, body = await read_message(reader)
        text = body.decode()
        return int(line.split(" ")[1]), text if raw else text
    finally:
        writer.close()


def overlaps(workers):
    """Returns the pairs of runs of one task that were running at the same time."""
    found, by_task = [], {}
    for worker in workers:
        for task, run, start, end, how in worker.runs_log:
            by_task.setdefault(task, []).append((start, end if end is not None else 1e9, worker.id, run))
    for task, runs in by_task.items():
        runs.sort()
        for one, two in zip(runs, runs[1:]):
            if two[0] < one[1]:
                found.append((task, one, two))
    return found


def main(scenario):
    """Runs `scenario(bed, trouble)`, which returns what broke the rule; exits with 1, 0 or 2."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        bed = Bed(record)
        try:
            await bed.start()
            return await scenario(bed, trouble)
        finally:
            await bed.stop()

    try:
        broken = asyncio.run(asyncio.wait_for(play(), 110))
    except Exception as error:  # the case could not run
        record.write(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    for line in broken:
        record.write("BROKEN: " + line)
        print("BROKEN: " + line)
    record.write("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
