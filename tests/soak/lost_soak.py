#!/usr/bin/env python3
"""Randomized soak test of the gateway for requests that end without a complete response.

Runs real gateway processes; callers keep connections open until the process is gone, while planned stops, reloads,
configurations, leaving servers and, with `--plan all`, faults overlap.

Usage: lost_soak.py GATEWAY_BINARY [--seeds 1,2,...] [--seconds S] [--plan planned|all|calm] [--work short|long|fixed]
                    [--styles kept,large,...] [--gateways N] [--callers N] [--show N]
A request is lost if it was sent whole and its connection ends without a complete response, where neither a fault nor the
time limit explains it; a stream may also be broken off at the end of the grace. Each seed prints one line, and a few for
each of the first lost requests; exit code 1 if any is lost.
"""
import argparse
import asyncio
import collections
import dataclasses
import pathlib
import random
import re
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "gateway"))
import gateway_test  # noqa: E402
import soak  # noqa: E402
import standin  # noqa: E402

ROUTES = [dict(route, timeoutMs=6000) for route in soak.ROUTES]
GRACE_S = 8
EXCUSED_S = 3
# A connection that ends sooner after the request has crossed with it, unless a server has run the request.
LOSS_SLACK_S = 0.2
MAX_LIMIT_S = 6.0
OVER_LIMIT_BYTES = 200_000
WORK_S = {"short": (0.078, 0.312), "long": (0.05, 5.5), "fixed": (4.2, 4.2)}
STYLES = ("kept,kept,kept,kept,kept,kept,half_close,slow_body,over_limit,large,close_asked,broken_stream,proxied,"
          "pause_read,resumed")
PLANS = {
    "calm": (),
    "planned": ("stop", "stop", "stop_series", "reload", "config", "config", "leave", "leave"),
    "all": ("stop", "stop", "stop_series", "reload", "config", "leave", "store", "store", "store_proxy", "front_proxy",
            "front_proxy", "server_proxy", "kill", "kill_some", "kill_all", "pause"),
}


class WorkPlan(dict):
    """Behaviour by path: "-wS" works for S seconds, "-break" breaks its stream off once."""

    def get(self, path, default=None):
        if path in self or default not in (None, "ok"):
            return super().get(path, default)
        if path.endswith("-break"):
            return "break"
        return f"slow{path.partition('-w')[2] or 0}"


class BulkBackend(standin.Backend):
    """Responds to paths with "-bN" with N bytes."""

    async def run(self, request, reader, writer, behaviour):
        size = request.path.partition("-b")[2]
        if not size.isdigit():
            return await super().run(request, reader, writer, behaviour)
        writer.write(standin.response(200, self.headers(request), b"x" * int(size)))
        return True


@dataclasses.dataclass
class Attempt:
    request_id: str
    kind: str
    style: str
    gateway: object
    limit_s: float
    proxied: bool
    started_at: float = 0
    # When the last byte was sent; 0 if it was not.
    sent_at: float = 0
    ended_at: float = 0
    status: int = 0
    end: str = ""


class LostCaller(soak.Caller):
    async def connect(self):
        self.gateway = gateway = self.random.choice(self.soak.gateways)
        self.proxied = self.style == "proxied"
        port = gateway.proxy.port if self.proxied else gateway.front
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)

    async def run(self):
        count = 0
        while not self.soak.stopping:
            count += 1
            self.style = self.random.choice(self.soak.options.styles.split(","))
            # Only "kept" reuses its connection.
            if self.style != "kept" or (self.reader and self.reader.at_eof()):
                self.close()
            try:
                if not self.writer:
                    await self.connect()
            except OSError:
                await asyncio.sleep(0.05)
                continue
            await self.attempt(f"{self.number:04x}{count:012x}")
            if self.style != "kept":
                self.close()
            await asyncio.sleep(self.random.choice((0, 0.05, self.random.uniform(0, 3))))
        self.close()

    async def attempt(self, request_id):
        kind = self.random.choice(("pay", "pay", "read", "turn", "once", "chat"))
        work_s = self.random.uniform(*self.soak.work_s)
        limit_s = self.random.choice((MAX_LIMIT_S, min(MAX_LIMIT_S, work_s + self.random.uniform(0.5, 2))))
        path, body = f"{request_id}-w{work_s:.3f}", b"body"
        if self.style == "large":
            kind, path = "pay", f"{request_id}-b{self.random.randrange(100_000, 8_000_000)}"
        elif self.style == "pause_read":
            kind, path, limit_s = "pay", f"{request_id}-b{self.random.randrange(100_000, 3_000_000)}", MAX_LIMIT_S
        elif self.style == "broken_stream":
            kind, path = "turn", f"{request_id}-break"
        elif self.style == "over_limit":
            body = b"x" * OVER_LIMIT_BYTES
        headers = {"Host": gateway_test.HOST, "Request-Id": request_id, "Deadline-Ms": int(limit_s * 1000),
                   "Content-Length": len(body)}
        if self.style == "close_asked":
            headers["Connection"] = "close"
        if kind == "turn" and self.random.random() < 0.5:
            headers.update({"Program-Id": "p" + request_id, "Token-Budget": 400, "Token-Count": "300,40"})
        if self.style == "resumed":
            kind = "turn"
            headers.update({"Resumes": "of another gateway", "Last-Event-Id": 2})
        text = f"POST /{kind}/{path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers.items())
        attempt = Attempt(request_id, kind, self.style, self.gateway, limit_s, self.proxied, time.monotonic())
        self.soak.attempts.append(attempt)
        # Reads while it sends: a response may come before the end of the request.
        reading = asyncio.ensure_future(self.read_response(attempt))
        try:
            await self.send(attempt, text.encode() + b"\r\n", body)
            await asyncio.wait_for(asyncio.shield(reading), limit_s + 3)
            attempt.end = "whole"
        except asyncio.TimeoutError:
            attempt.end = "no end"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            attempt.end = f"{'within the response' if attempt.status else 'without a byte'}: {type(error).__name__}"
        attempt.ended_at = time.monotonic()
        reading.cancel()
        (result,) = await asyncio.gather(reading, return_exceptions=True)
        if result is None:
            attempt.end = "whole"
        if attempt.end != "whole":
            self.close()

    async def send(self, attempt, head, body):
        if self.style == "slow_body":
            self.writer.write(head)
            for byte in body:
                await asyncio.sleep(self.random.uniform(0, 0.5))
                self.writer.write(bytes([byte]))
        else:
            self.writer.write(head + body)
        await self.writer.drain()
        while self.writer and self.writer.transport.get_write_buffer_size():
            await asyncio.sleep(0.005)
        if self.style == "half_close":
            self.writer.write_eof()
        attempt.sent_at = time.monotonic()

    async def read_response(self, attempt):
        if self.style == "pause_read":
            await asyncio.sleep(self.random.uniform(1, 4))
        attempt.status, fields = await self.read_head()
        await self.read_body(fields, lambda chunk: None)
        if fields.get("connection") == "close":
            self.close()


class LostSoak(soak.Soak):
    def __init__(self, seed, options):
        super().__init__(seed, options.seconds)
        self.options = options
        self.work_s = WORK_S[options.work]
        self.attempts = []
        self.work_plan = WorkPlan()

    async def add_server(self, kind, service, version="v1"):
        kind = {standin.Backend: BulkBackend}.get(kind, kind)
        server = await super().add_server(kind, service, version)
        server.plan = self.work_plan
        server.proxy.troubles = []
        if kind is standin.Engine:
            server.gap_s = self.random.choice((0.01, 0.1, 0.8))
        return server

    def start_gateway(self, index):
        super().start_gateway(index)
        gateway = self.gateways[index]
        gateway.term_at, gateway.troubles = None, []
        gateway.proxy = soak.Proxy(gateway.front)
        gateway.proxy.troubles = []
        asyncio.ensure_future(gateway.proxy.start())

    def configure(self):
        self.platform.version += 1
        self.platform.put_config([dict(route, goalMs=self.random.randrange(100, 400)) for route in ROUTES])

    async def restart(self, gateway):
        while gateway.process.poll() is None:
            await asyncio.sleep(0.02)
        if gateway in self.gateways:
            self.start_gateway(self.gateways.index(gateway))

    async def stop(self, gateway, signals):
        gateway.term_at = gateway.term_at or time.monotonic()
        for number in signals:
            if gateway.process.poll() is None:
                gateway.process.send_signal(number)
            await asyncio.sleep(self.random.uniform(0, 1))
        await self.restart(gateway)

    async def kill(self, gateway):
        gateway.troubles.append((time.monotonic(), float("inf"), "killed"))
        gateway.process.kill()
        await self.restart(gateway)

    async def kill_all(self, gateways):
        await asyncio.gather(*(self.kill(gateway) for gateway in gateways))

    async def disturb_proxy(self, proxy, duration_s):
        start, proxy.mode = time.monotonic(), self.random.choice(("reset", "silent", "one_way"))
        proxy.troubles.append((start, start + duration_s, proxy.mode))
        await asyncio.sleep(duration_s)
        proxy.mode = "ok"

    async def disturb_store(self, target, duration_s, modes):
        target.mode = self.random.choice(modes)
        await asyncio.sleep(duration_s)
        target.mode = "ok"

    async def pause(self, gateway, duration_s):
        gateway.troubles.append((time.monotonic(), time.monotonic() + duration_s, "paused"))
        gateway.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        gateway.process.send_signal(signal.SIGCONT)

    async def leave(self, server, duration_s):
        for entry in (self.registration(server, "draining"), None, self.registration(server)):
            self.platform.store.put("servers", server.identity, entry)
            await asyncio.sleep(duration_s)

    async def reload(self, gateway):
        gateway.process.send_signal(signal.SIGHUP)

    async def change_config(self):
        self.configure()

    async def fault(self):
        gateway, server = self.random.choice(self.gateways), self.random.choice(self.servers)
        duration_s = self.random.uniform(0.2, 2.5)
        series = [signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP]
        faults = {
            "stop": lambda: self.stop(gateway, [signal.SIGTERM]),
            "stop_series": lambda: self.stop(gateway, series),
            "reload": lambda: self.reload(gateway),
            "config": self.change_config,
            "leave": lambda: self.leave(server, duration_s),
            "store": lambda: self.disturb_store(self.platform.store, duration_s, ("busy", "silent", "lost", "late")),
            "store_proxy": lambda: self.disturb_store(self.random.choice(self.store_proxies), duration_s,
                                                      ("delay", "reset", "silent", "one_way")),
            "front_proxy": lambda: self.disturb_proxy(gateway.proxy, duration_s),
            "server_proxy": lambda: self.disturb_proxy(server.proxy, duration_s),
            "kill": lambda: self.kill(gateway),
            "kill_some": lambda: self.kill_all(self.random.sample(self.gateways, len(self.gateways) * 2 // 3)),
            "kill_all": lambda: self.kill_all(self.gateways),
            "pause": lambda: self.pause(gateway, duration_s),
        }
        await faults[self.random.choice(PLANS[self.options.plan])]()

    def ran_on(self, attempt):
        return [server for server in self.servers
                if any(run[0] == attempt.request_id for run in server.executed)]

    @staticmethod
    def trouble(troubles, attempt):
        return next((text for start, end, text in troubles
                     if start < attempt.ended_at and end + 0.5 > attempt.started_at), "")

    def excuse(self, attempt, servers):
        """Why the end of the request is not the gateway's fault; an empty text if it is."""
        waited_s = attempt.ended_at - (attempt.sent_at or attempt.started_at)
        if not attempt.sent_at and attempt.style != "over_limit":
            return "not sent whole"
        if text := self.trouble(attempt.gateway.troubles, attempt):
            return text
        if attempt.proxied and self.trouble(attempt.gateway.proxy.troubles, attempt):
            return "proxy"
        if attempt.end != "no end" and waited_s > attempt.limit_s - 0.1:
            return "time limit"
        if attempt.style not in ("half_close", "over_limit") and waited_s < LOSS_SLACK_S and not servers:
            return "crossed the close"
        # A stream that has begun can only be broken off; any other request can still be answered.
        if attempt.status and self.phase(attempt) == "stop_end":
            return "last sixth of the grace"
        # Without a byte of the response, a fault of the server is reported by a status.
        if attempt.status and any(self.trouble(server.proxy.troubles, attempt) for server in servers):
            return "server"
        return ""

    @staticmethod
    def phase(attempt):
        """Part of the gateway's life; "stop_end" is cut in the last sixth of the grace and sent up to 3 s into it."""
        term_at = attempt.gateway.term_at
        if not term_at or attempt.ended_at < term_at:
            return "calm"
        late = attempt.sent_at > term_at + EXCUSED_S or attempt.ended_at < term_at + GRACE_S * 5 / 6
        return "stop" if late else "stop_end"

    def report(self):
        lost, excused = [], collections.Counter()
        for attempt in self.attempts:
            if attempt.end == "whole" or not attempt.ended_at:
                continue
            servers = self.ran_on(attempt)
            if text := self.excuse(attempt, servers):
                excused[f"{text}: {attempt.style}"] += 1
            else:
                lost.append((attempt, servers))
        forms = collections.Counter(f"{self.phase(a)}/{a.style}/{a.kind}/{a.end}" for a, _ in lost)
        statuses = collections.Counter(attempt.status for attempt in self.attempts)
        print(f"seed={self.seed} sent={len(self.attempts)} statuses={dict(statuses)} lost={len(lost)} "
              f"forms={dict(forms)} excused={dict(excused)}", flush=True)
        for attempt, servers in lost[:self.options.show]:
            self.describe(attempt, servers)
        return not lost

    def describe(self, attempt, servers):
        origin, since = attempt.gateway.term_at or attempt.started_at, "SIGTERM" if attempt.gateway.term_at else "start"
        print(f"  lost request={attempt.request_id} {attempt.style} {attempt.kind} {attempt.end} "
              f"limit={attempt.limit_s:.2f} sent={attempt.sent_at - origin:.2f} ended={attempt.ended_at - origin:.2f} "
              f"(s after {since}) ran_on={[server.identity for server in servers]} status={attempt.status}")
        for line in re.findall(rf".*request=\"?{attempt.request_id}.*|.*drain_ended.*", attempt.gateway.log()):
            print("    " + line)

    async def run_scenario(self):
        for _ in range(4):
            await self.add_server(standin.Backend, "tools")
        for _ in range(4):
            await self.add_server(standin.Engine, "models")
        self.configure()
        self.store_proxies = [await soak.Proxy(self.platform.store.port).start() for _ in range(self.options.gateways)]
        for index in range(self.options.gateways):
            self.start_gateway(index)
        await asyncio.sleep(1.5)
        callers = [asyncio.ensure_future(LostCaller(self, number).run()) for number in range(self.options.callers)]
        faults, deadline = [], time.monotonic() + self.seconds
        while time.monotonic() < deadline:
            if PLANS[self.options.plan]:
                faults.append(asyncio.ensure_future(self.fault()))
            await asyncio.sleep(self.random.expovariate(1.5))
        await asyncio.gather(*faults)
        self.stopping = True
        await asyncio.gather(*callers)

    def run(self):
        try:
            self.platform.call_with_timeout(self.run_scenario(), self.seconds + 60)
            return self.report()
        finally:
            for gateway in self.gateways + self.ended_gateways:
                gateway.stop()
            self.platform.close()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("gateway")
    parser.add_argument("--seeds", default=str(int(time.time())))
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--plan", choices=list(PLANS), default="planned")
    parser.add_argument("--work", choices=list(WORK_S), default="long")
    parser.add_argument("--styles", default=STYLES)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--callers", type=int, default=60)
    parser.add_argument("--show", type=int, default=10)
    options = parser.parse_args()
    gateway_test.GATEWAY = options.gateway
    passed = [LostSoak(int(seed), options).run() for seed in options.seeds.split(",")]
    print(f"lost_soak: seeds={len(passed)} lost={passed.count(False)}")
    sys.exit(0 if all(passed) else 1)


if __name__ == "__main__":
    main()
