#!/usr/bin/env python3
"""Randomized fault-injection soak test of the gateway.

Runs real gateway processes against fake servers and a fake platform, injects faults, and checks the guarantees by what
callers and servers observe.

Usage: soak.py GATEWAY_BINARY [--seeds 1,2,...] [--seconds S]
With an even seed callers belong to organisations, whose keys are replaced.
Each seed prints one line; a violation ends the run with exit code 1 and keeps the gateways' logs.
"""
import argparse
import asyncio
import collections
import functools
import pathlib
import random
import re
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "gateway"))
import gateway_test  # noqa: E402
import key_ring  # noqa: E402
import standin  # noqa: E402

ROUTES = gateway_test.ROUTES + [
    {"prefix": "/chat/", "kind": "streaming", "service": "models", "stateful": True, "sticky": True},
]
EVENT_TOKENS = 5
MAX_TURN_TOKENS = 40
BUDGET_TOKENS = 240
# First word of the events of each software version.
WORDS = {"v1": "token", "v2": "piece"}
# A request that crashes servers reaches them in at most this many attempts that are sent later than CONTACT_S after its
# third crash.
MAX_LATE_ATTEMPTS = 3
CONTACT_S = 3.0
# A server that says that it leaves gets no request that was sent later than this.
DRAIN_S = 2.0
NOT_EXECUTED_STATUSES = (402, 408, 421, 429, 503)


class Proxy(standin.Listener):
    """Forwards connections to port `target`.

    `mode` is one of ok, delay, reset, silent (drops all data) and one_way (drops responses). As with TCP, nothing that
    follows lost data arrives on that connection, not even its end.
    """

    def __init__(self, target):
        super().__init__()
        self.target, self.mode = target, "ok"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        up_writer = None
        try:
            if self.mode == "reset":
                return standin.Backend.reset(writer)
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target)
            self.writers.add(up_writer)
            await asyncio.gather(self.copy(reader, up_writer, False), self.copy(up_reader, writer, True))
        except (OSError, asyncio.CancelledError):
            # A reset of one side is one of the other: an end of data would complete a response without a length.
            for broken in filter(None, (writer, up_writer)):
                standin.Backend.reset(broken)
        finally:
            for ended in filter(None, (writer, up_writer)):
                self.writers.discard(ended)
                ended.close()

    async def copy(self, reader, writer, answers):
        lost = False
        while data := await reader.read(4096):
            if self.mode == "reset":
                raise ConnectionResetError
            if self.mode == "delay":
                await asyncio.sleep(0.2)
            lost |= self.mode == "silent" or (self.mode == "one_way" and answers)
            if lost:
                continue
            writer.write(data)
            await writer.drain()
        if lost:
            raise ConnectionResetError
        # The other direction ends too, as servers and callers here close both at once.
        writer.close()


class Caller:
    """Sends requests on a persistent connection and reconnects after errors."""

    def __init__(self, soak, number):
        self.soak, self.number = soak, number
        self.random = random.Random(soak.seed * 1000 + number)
        self.organisation = key_ring.NAMES[number % len(key_ring.NAMES)] if soak.keys else ""
        self.reader = self.writer = None
        # Events of the response that is being read.
        self.partial = b""

    async def run(self):
        count = 0
        while not self.soak.stopping:
            count += 1
            request_id = f"{self.number:04x}{count:08x}"
            try:
                await asyncio.wait_for(self.request(request_id), 6)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
                self.close()
            await asyncio.sleep(self.random.uniform(0, 0.05))
        self.close()

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def connect(self):
        self.gateway = gateway = self.random.choice(self.soak.gateways)
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", gateway.front)

    async def request(self, request_id):
        if not self.writer:
            await self.connect()
        kind = self.random.choice(("read", "pay", "turn", "turn", "once", "chat", "chat"))
        body, previous = b"body", None
        if kind == "chat":
            body = self.random.randbytes(self.random.choice((20, 400, 4000, 26000)))
            previous = self.soak.choose_turn(self.organisation)
        # Most programs are short-lived; the "loop" programs run until their budget is spent.
        program = f"p{int(time.monotonic() * 4)}-{self.random.randrange(3)}" if kind in ("turn", "once") else ""
        if program and self.random.random() < 0.2:
            program = f"loop-{self.random.randrange(20)}"
        headers = {"Host": "desk.example", "Request-Id": request_id, "Deadline-Ms": "2500", "Content-Length": str(len(body))}
        if previous:
            headers["Previous-Turn"] = previous
        if program:
            headers.update({"Program-Id": program, "Session-Id": "s" + program, "Token-Budget": str(BUDGET_TOKENS),
                            "Token-Count": f"300,{MAX_TURN_TOKENS}", "Prompt-Prefix": f"aa:200,{program}:100"})
        program = program and self.organisation + program
        headers.update(self.sign(request_id))
        text = f"POST /{kind}/{request_id} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers.items())
        self.soak.sent += 1
        sent_at, gateway = time.monotonic(), self.gateway
        self.writer.write(text.encode() + b"\r\n" + body)
        disconnects = self.random.random() < 0.03
        status, fields = await self.read_head()
        self.soak.check_leaving(gateway, request_id, sent_at, fields)
        if disconnects:
            return self.close()
        self.soak.answers[request_id] = status
        count = functools.partial(self.soak.count_events, program)
        try:
            answer = await self.read_body(fields, count)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            if kind == "turn" and b"id: " in self.partial:
                await self.resume(request_id, headers, body, self.partial, count)
            raise
        self.soak.check_answer(kind, request_id, status, fields, answer)
        if kind == "chat":
            self.soak.check_turn(request_id, previous, body, status, answer, self.organisation)
        if fields.get("connection") == "close":
            self.close()

    def sign(self, request_id, good_only=False):
        """Header fields that name the caller's organisation."""
        if not self.soak.keys:
            return {}
        fields, good = self.soak.keys.sign(request_id, self.organisation, good_only)
        if not good:
            self.soak.badly_signed.add(request_id)
        return fields

    async def resume(self, first_id, headers, body, text, count):
        """Takes a broken stream up again, at any gateway."""
        self.close()
        await self.connect()
        events = text[:text.rindex(b"\n\n") + 2]
        headers = dict(headers, **{"Request-Id": "e" + first_id, "Resumes": first_id,
                                   "Last-Event-Id": re.findall(rb"id: (\d+)", events)[-1].decode()},
                       **self.sign("e" + first_id))
        head = f"POST /turn/{first_id} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers.items())
        self.writer.write(head.encode() + b"\r\n" + body)
        status, fields = await self.read_head()
        answer = await self.read_body(fields, count)
        self.soak.resumed[status] += 1
        self.soak.check_answer("turn", first_id, status, fields, events + answer)

    async def read_head(self):
        lines = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
        return int(lines[0].split(" ")[1]), fields

    async def read_body(self, fields, on_chunk):
        if fields.get("transfer-encoding") != "chunked":
            return await self.reader.readexactly(int(fields.get("content-length", 0)))
        body = self.partial = b""
        while size := int(await self.reader.readline(), 16):
            chunk = await self.reader.readexactly(size + 2)
            on_chunk(chunk[:-2])
            body += chunk[:-2]
            self.partial = body
        await self.reader.readline()
        return body


class Soak:
    def __init__(self, seed, seconds):
        self.seed, self.seconds = seed, seconds
        self.random = random.Random(seed)
        self.platform = standin.Platform()
        self.answers, self.program_events, self.violations = {}, {}, []
        # What the server must receive ahead of the next turn, by the id of each complete turn.
        self.histories = {}
        self.keys = key_ring.KeyRing(seed) if seed % 2 == 0 else None
        # Requests whose key was wrong or taken away when they were sent.
        self.badly_signed = set()
        self.sent = 0
        self.stopping = False
        self.gateways, self.proxies, self.servers = [], [], []
        self.store_proxies = []
        self.ended_gateways = []
        # When a gateway first passed on a response of a server that says that it leaves.
        self.leaving = {}
        # When gateways were last started or paused.
        self.troubled = {}
        # Times of the crashes of each fatal request, and of its attempts at sound gateways by id.
        self.crashes, self.fatal_sent = {}, {}
        # Streams taken up again, by status.
        self.resumed = collections.Counter()

    def add_violation(self, text):
        self.violations.append(text)

    def check_answer(self, kind, request_id, status, fields, body):
        if status // 100 != 2:
            return
        if not fields.get("server-seal", "").startswith("seal-"):
            self.add_violation(f"{request_id}: success without a Server-Seal")
        if kind in ("read", "pay") and not body.decode().endswith(f"ran /{kind}/{request_id}"):
            self.add_violation(f"{request_id}: response of another request: {body!r}")
        if kind in ("turn", "once", "chat"):
            ids = [int(number) for number in re.findall(rb"id: (\d+)", body)]
            if ids != list(range(1, 7)):
                self.add_violation(f"{request_id}: complete stream with event ids {ids}")
            words = set(re.findall(rb"data: (\w+)", body))
            if len(words) != 1:
                self.add_violation(f"{request_id}: events of several software versions: {words}")

    def check_leaving(self, gateway, request_id, sent_at, fields):
        server = fields.get("server-seal", "").removeprefix("seal-")
        first = self.leaving.get((gateway, server))
        if first and sent_at > first + DRAIN_S and self.troubled.get(gateway, 0) < first:
            self.add_violation(f"{request_id}: sent to {server} {sent_at - first:.1f} s after it said that it leaves")
        if fields.get("server-leaving"):
            self.leaving.setdefault((gateway, server), time.monotonic())

    def on_crash(self, server):
        server.gone = True
        at, request_id, path = server.crashes[-1]
        self.crashes.setdefault(path, []).append((at, request_id))
        if self.random.random() < 0.5:
            server.proxy.server.close()
        asyncio.ensure_future(self.replace_crashed(server))

    async def replace_crashed(self, server):
        await asyncio.sleep(self.random.uniform(0.2, 1.0))
        self.platform.store.put("servers", server.identity, None)
        await self.add_server(type(server), server.service, server.version)

    async def send_fatal(self, number):
        """A caller whose request crashes every server that begins to run it."""
        path, count, caller = f"/read/fatal-{number}", 0, Caller(self, number)
        while not self.stopping:
            count += 1
            request_id = f"f{number:03x}{count:08x}"
            gateway = self.random.choice(self.gateways)
            if time.monotonic() - self.troubled.get(gateway, 0) > CONTACT_S:
                self.fatal_sent[request_id] = time.monotonic()
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.front)
                fields = "".join(f"{name}: {value}\r\n" for name, value in caller.sign(request_id, True).items())
                writer.write(f"POST {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {request_id}\r\n"
                             f"{fields}Deadline-Ms: 2500\r\nContent-Length: 5\r\n\r\nfatal".encode())
                await asyncio.wait_for(reader.readuntil(b"\r\n"), 4)
                writer.transport.abort()
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(self.random.uniform(0.1, 0.8))

    def check_crashes(self):
        for path, crashes in self.crashes.items():
            if len(crashes) < 3:
                continue
            third = sorted(crashes)[2][0]
            late = {request_id for _, request_id in crashes
                    if self.fatal_sent.get(request_id, 0) > third + CONTACT_S}
            if len(late) > MAX_LATE_ATTEMPTS:
                self.add_violation(f"{path}: {len(late)} attempts reached servers long after its third crash, "
                                   f"{len(crashes)} crashes")

    def choose_turn(self, organisation):
        """A complete turn to continue, at times one of another organisation; none for a new conversation."""
        recent = list(self.histories)[-60:]
        if self.keys and self.random.random() < 0.9:
            recent = [turn for turn in recent if self.keys.owners[turn] == organisation]
        return self.random.choice(recent) if recent and self.random.random() < 0.85 else None

    def check_turn(self, request_id, previous, text, status, answer, organisation):
        if self.keys and self.keys.owners.get(previous, organisation) != organisation:
            if status == 200:
                self.add_violation(f"{request_id}: continues the turn {previous} of another organisation")
            return
        if status == 404:
            self.add_violation(f"{request_id}: 404 for the complete turn {previous}")
        if status != 200:
            return
        prompt = self.histories.get(previous, b"") + text
        received = [run[3] for server in self.servers for run in server.executed[-400:] if run[0] == request_id]
        if received != [prompt]:
            self.add_violation(f"{request_id}: the server received {[len(body) for body in received]} bytes instead of "
                               f"the {len(prompt)} of the conversation after {previous}")
        if len(prompt) < 120000:
            output = b"".join(data + b"\n" for data in re.findall(rb"data: (.*)", answer))
            self.histories[request_id] = prompt + output
            if self.keys:
                self.keys.owners[request_id] = organisation

    async def check_conversations(self):
        """Checks that a sample of all complete turns can be continued."""
        sample = self.random.sample(sorted(self.histories), min(150, len(self.histories)))
        caller = Caller(self, 0xffff)
        for server in self.servers:
            server.gap_s = 0.01
        for number, previous in enumerate(sample):
            caller.close()
            await caller.connect()
            request_id = f"c{number:015x}"
            caller.organisation = self.keys.owners[previous] if self.keys else ""
            fields = "".join(f"{name}: {value}\r\n" for name, value in caller.sign(request_id, True).items())
            caller.writer.write(f"POST /chat/c HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {request_id}\r\n{fields}"
                                f"Previous-Turn: {previous}\r\nContent-Length: 3\r\n\r\nend".encode())
            status, fields = await caller.read_head()
            answer = await caller.read_body(fields, lambda chunk: None)
            if status != 200:
                self.add_violation(f"{request_id}: the complete turn {previous} was answered {status}")
            self.check_turn(request_id, previous, b"end", status, answer, caller.organisation)
        caller.close()

    def count_events(self, program, chunk):
        if not program:
            return
        count = self.program_events.get(program, 0) + chunk.count(b"id: ")
        self.program_events[program] = count
        if EVENT_TOKENS * count > BUDGET_TOKENS + MAX_TURN_TOKENS:
            self.add_violation(f"{program}: {EVENT_TOKENS * count} tokens of {BUDGET_TOKENS}")

    def check_executions(self):
        executions = {}
        for server in self.servers:
            for request_id, path, headers, _ in server.executed:
                if self.keys and (fault := self.keys.check_run(request_id, headers)):
                    self.add_violation(fault)
                executions.setdefault((request_id, path.split("/")[1]), []).append(server.identity)
        for (request_id, kind), servers in executions.items():
            if kind in ("pay", "once", "chat") and len(servers) > 1:
                self.add_violation(f"{request_id}: a {kind} request was executed at {servers}")
            if self.answers.get(request_id) in NOT_EXECUTED_STATUSES and kind in ("pay", "once", "chat"):
                self.add_violation(f"{request_id}: answered {self.answers[request_id]} but executed at {servers}")

    async def add_server(self, kind, service, version="v1"):
        server = await kind(f"{service[0]}-{len(self.servers)}", service).start()
        server.version, server.word = version, WORDS[version]
        # Long enough for faults to hit streams midway.
        server.gap_s = self.random.uniform(0.01, 0.08)
        server.on_crash = self.on_crash
        server.plan.update({f"/read/fatal-{number}": "fatal" for number in range(2)})
        proxy = await Proxy(server.port).start()
        server.proxy = proxy
        self.servers.append(server)
        self.proxies.append(proxy)
        self.platform.store.put("servers", server.identity, self.registration(server))
        return server

    @staticmethod
    def registration(server, state="ready"):
        return server.entry(state, address=f"127.0.0.1:{server.proxy.port}")

    def start_gateway(self, index):
        store = type("StoreAddress", (), {"store": self.store_proxies[index]})
        gateway = gateway_test.Gateway(store, name=f"edge-{index}", bounds=key_ring.SETTINGS if self.keys else "")
        self.troubled[gateway] = time.monotonic()
        if index < len(self.gateways):
            self.ended_gateways.append(self.gateways[index])
            self.gateways[index] = gateway
        else:
            self.gateways.append(gateway)

    async def fault(self):
        """Injects one fault and ends it. Faults may overlap."""
        index = self.random.randrange(len(self.gateways))
        gateway, duration_s = self.gateways[index], self.random.uniform(0.2, 2.5)
        choice = self.random.choice(("stop", "pause", "kill", "store", "store", "proxy", "proxy", "store_proxy", "store_proxy",
                                     "replace", "replace", "plan", "plan", "leave", "compact", "config", "kill_all", "limit")
                                    + (("key",) * 4 if self.keys else ()))
        if choice == "pause":
            gateway.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            gateway.process.send_signal(signal.SIGCONT)
            self.troubled[gateway] = time.monotonic()
        elif choice in ("stop", "kill"):
            gateway.process.send_signal(signal.SIGTERM if choice == "stop" else signal.SIGKILL)
            while gateway.process.poll() is None:
                await asyncio.sleep(0.05)
            if choice == "stop" and gateway.process.returncode not in (0, -signal.SIGKILL):
                self.add_violation(f"a stopped gateway exited with {gateway.process.returncode}")
            if self.gateways[index] is gateway:
                self.start_gateway(index)
        elif choice == "kill_all":
            for killed in self.gateways:
                killed.process.kill()
            for number, killed in enumerate(list(self.gateways)):
                while killed.process.poll() is None:
                    await asyncio.sleep(0.02)
                if self.gateways[number] is killed:
                    self.start_gateway(number)
        elif choice == "store":
            self.platform.store.mode = self.random.choice(("busy", "silent", "lost", "late"))
            await asyncio.sleep(duration_s)
            self.platform.store.mode = "ok"
        elif choice in ("proxy", "store_proxy"):
            proxy = self.random.choice(self.store_proxies if choice == "store_proxy" else self.proxies)
            proxy.mode = self.random.choice(("delay", "reset", "silent", "one_way"))
            await asyncio.sleep(duration_s)
            proxy.mode = "ok"
        elif choice == "replace":
            await self.replace_server(duration_s)
        elif choice == "plan":
            server, path = self.random.choice(self.servers), self.random.choice((
                "drop", "half", "stray", "garbage", "shed", "break", "endless-head", "endless-chunk-header", "endless-body",
                "shed-twice", "unframed", "unframed-cut", "unframed-reset", "unframed-none", *standin.Engine.ERRORS))
            server.default = path
            await asyncio.sleep(duration_s)
            server.default = "ok"
        elif choice == "leave":
            await self.replace_server(duration_s, leaving=True)
        elif choice == "limit":
            server = self.random.choice(self.servers)
            server.limit = self.random.choice((0, 0.5, 4, 20))
            await asyncio.sleep(duration_s)
            server.limit = None
        elif choice == "compact":
            self.platform.store.compact()
        elif choice == "config":
            self.configure()
        elif choice == "key":
            await self.replace_key(gateway)

    async def replace_key(self, gateway):
        """Replaces a key, at times while a gateway stands still for longer than the bound of keys."""
        pauses = self.random.random() < 0.5
        if pauses:
            gateway.process.send_signal(signal.SIGSTOP)
        self.keys.replace_key(self.configure)
        if pauses:
            await asyncio.sleep(key_ring.BOUND_S + self.random.uniform(0.2, 1.0))
            gateway.process.send_signal(signal.SIGCONT)
            self.troubled[gateway] = time.monotonic()

    async def replace_server(self, duration_s, leaving=False):
        """The old server says that it leaves in its entry, or in its responses for longer than DRAIN_S."""
        old = self.random.choice([server for server in self.servers if not getattr(server, "gone", False)])
        old.gone = True
        await self.add_server(type(old), old.service, self.random.choice(list(WORDS)))
        old.leaving = leaving
        if not leaving:
            self.platform.store.put("servers", old.identity, self.registration(old, "draining"))
        await asyncio.sleep(duration_s + (DRAIN_S if leaving else 0))
        self.platform.store.put("servers", old.identity, None)

    def configure(self):
        self.platform.version += 1
        self.platform.put_config(ROUTES, self.keys and self.keys.organisations)

    async def run_scenario(self):
        for _ in range(3):
            await self.add_server(standin.Backend, "tools")
            await self.add_server(standin.Engine, "models")
        self.configure()
        # One address of the store for each gateway, so that it can refuse single ones.
        self.store_proxies = [await Proxy(self.platform.store.port).start() for _ in range(3)]
        for index in range(3):
            self.start_gateway(index)
        await asyncio.sleep(1)
        callers = [asyncio.ensure_future(Caller(self, number).run()) for number in range(24)]
        if self.random.random() < 0.5:
            callers += [asyncio.ensure_future(self.send_fatal(number)) for number in range(2)]
        faults, deadline = [], time.monotonic() + self.seconds
        while time.monotonic() < deadline and not self.violations:
            faults.append(asyncio.ensure_future(self.fault()))
            await asyncio.sleep(self.random.expovariate(1.5))
        await asyncio.gather(*faults)
        await self.check_recovery()
        self.stopping = True
        await asyncio.gather(*callers)
        await self.check_conversations()
        self.check_executions()
        self.check_crashes()

    async def check_recovery(self):
        """Checks that requests are served again 4 s after the last fault."""
        await asyncio.sleep(4)
        before = len(self.answers)
        await asyncio.sleep(2)
        recent = [answer for answer in list(self.answers.items())[before:] if answer[0] not in self.badly_signed]
        served = sum(1 for _, status in recent if status in (200, 402))
        if not recent or served < 0.9 * len(recent):
            self.add_violation(f"after the faults {served} of {len(recent)} requests were served")

    def run(self):
        try:
            self.platform.call_with_timeout(self.run_scenario(), self.seconds + 60)
        finally:
            for gateway in self.gateways:
                if gateway.process.poll() not in (None, 0):
                    self.add_violation(f"a gateway exited unexpectedly with {gateway.process.returncode}")
            if self.violations:
                directory = tempfile.mkdtemp(prefix=f"soak-{self.seed}-")
                for number, gateway in enumerate(self.gateways + self.ended_gateways):
                    shutil.copy(gateway.log_path, f"{directory}/gateway-{number}.log")
                print(f"logs are kept in {directory}")
            for gateway in self.gateways + self.ended_gateways:
                gateway.stop()
            self.platform.close()
        served = sum(1 for status in self.answers.values() if status == 200)
        print(f"seed={self.seed} sent={self.sent} answered={len(self.answers)} served={served} "
              f"turns={len(self.histories)} "
              f"resumed={dict(self.resumed)} broken={len(self.violations)}", flush=True)
        for text in self.violations[:5]:
            print("  " + text)
        return not self.violations


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("gateway")
    parser.add_argument("--seeds", default=str(int(time.time())))
    parser.add_argument("--seconds", type=float, default=8)
    arguments = parser.parse_args()
    gateway_test.GATEWAY = arguments.gateway
    passed = [Soak(int(seed), arguments.seconds).run() for seed in arguments.seeds.split(",")]
    print(f"soak: seeds={len(passed)} broken={passed.count(False)}")
    sys.exit(0 if all(passed) else 1)


if __name__ == "__main__":
    main()
