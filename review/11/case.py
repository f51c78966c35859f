"""A gateway on a narrow link never learns of a change again: the configuration has grown, and the store refuses the gateway
for a while."""
import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness_3 as harness  # noqa: E402
from harness_3 import standin  # noqa: E402

LINK_MBPS, CONFIG_APPLY_S, CONTACT_S, OUTAGE_S, SEEN_S = 22.0, 3.0, 4.0, 9.0, 20.0
GROWTHS, GROWTH_ROUTES = 4, 1400
harness.SETTINGS = (harness.SETTINGS.replace("configApplyMs: 2000", "configApplyMs: 3000")
                    .replace("contactMs: 3000", "contactMs: 4000").replace("drainMs: 2000", "drainMs: 3000")
                    .replace("cpuShare: 0.5", "cpuShare: 0.068").replace("memoryMb: 120", "memoryMb: 96")
                    .replace("linkMbps: 1000.0", f"linkMbps: {LINK_MBPS}"))


class Store(standin.Store):
    """A change is told once, as the row stands now."""

    async def feed(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            latest = {row["key"]: row for row in self.history if row["ver"] > after and row["table"] == query["table"]}
            if latest or time.monotonic() >= until:
                return self.json_response(200, {"rows": sorted(latest.values(), key=lambda row: row["ver"])})
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass


class Collected:
    """Takes what the store answers, for the link to carry it."""

    def __init__(self):
        self.data = b""

    def write(self, data):
        self.data += data


class Link(standin.StoreProxy):
    """The link of one machine to the store: LINK_MBPS for all channels together. In mode "busy" the store answers 503."""

    def __init__(self, store):
        super().__init__(store)
        self.free_at = 0.0

    async def handle(self, request, reader, writer):
        if self.mode == "busy":
            writer.write(standin.response(503))
            return True
        collected = Collected()
        keep = await self.store.handle(request, reader, collected)
        piece = 8192
        for start in range(0, len(collected.data), piece):
            part = collected.data[start:start + piece]
            now = time.monotonic()
            self.free_at = max(now, self.free_at) + len(part) * 8 / (LINK_MBPS * 1e6)
            await asyncio.sleep(self.free_at - now)
            if writer.transport.is_closing() or reader.at_eof():
                return False
            writer.write(part)
            await writer.drain()
        return keep


def route(number, prefix, service):
    return {"name": f"r-{number:07d}", "host": harness.HOST, "prefix": prefix, "kind": "idempotent", "timeoutMs": 2000,
            "goalMs": 400, "priority": 2, "service": service, "maxAttempts": 2, "stateful": False, "retentionS": 60.0,
            "sticky": False, "resumable": False, "gapAimMs": 200}


def main():
    with harness.deployment(HERE) as (platform, record, gateways):
        platform.call(platform.store.stop())
        platform.store = store = platform.call(platform.make(Store))
        version, grown = [0], []

        def configure(service, what):
            version[0] += 3
            config = {"version": version[0],
                      "services": [{"name": name, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": False}
                                   for name in ("before", "after")],
                      "routes": [route(0, "/read/", service), *grown],
                      "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                                 "idleTimeoutMs": 15000}}
            platform.run(store.put, "op", "config", config)
            record.add(f"version {version[0]} acknowledged: {what}, {len(config['routes'])} routes")
            return time.monotonic()

        configure("before", "first")
        servers = {name: platform.add(standin.Backend, f"server-{name}", name) for name in ("before", "after")}
        links = [platform.call(platform.make(Link, store)) for _ in range(3)]
        for number, link in enumerate(links):
            gateways.append(harness.Gateway(f"edge-{number + 1}", f"127.0.0.1:{link.port}", record))
        for gateway in gateways:
            gateway.wait_ready()
        time.sleep(2.0)
        if harness.TROUBLE:
            for growth in range(GROWTHS):
                grown += [route(10000 * (growth + 1) + i, f"/g{growth}{i:05d}/", "before") for i in range(GROWTH_ROUTES)]
                configure("before", "the configuration grows")
                time.sleep(3.0)
            record.add("the store refuses edge-1 (503)")
            links[0].mode = "busy"
        time.sleep(4.0)
        acknowledged = configure("after", "/read/ moves from the service before to after")
        time.sleep(OUTAGE_S - 4.0)
        links[0].mode = "ok"
        back = time.monotonic()
        record.add("the store serves edge-1 again")
        # In touch, and configApplyMs after the ack.
        time.sleep(max(back + CONTACT_S, acknowledged + CONFIG_APPLY_S) + 0.5 - time.monotonic())
        sent, stale, last = {}, {}, {}
        until = time.monotonic() + SEEN_S
        while time.monotonic() < until:
            for gateway in gateways:
                answer = harness.send(gateway, record, "GET", "/read/a", deadline_ms=2000)
                ran = [run[0] for run in servers["before"].executed]
                sent[gateway.name] = sent.get(gateway.name, 0) + 1
                if answer.identity in ran:
                    stale[gateway.name] = stale.get(gateway.name, 0) + 1
                    last[gateway.name] = round(time.monotonic() - acknowledged, 1)
                    record.add(f"run {answer.identity} by the service before, {last[gateway.name]} s after the ack")
            time.sleep(0.2)
        for link in links:
            platform.call(link.stop())
        broken = bool(stale)
        result = f"CONFIG: sent {sent}, run by the old service {stale}, the last one so many seconds after the ack {last} " \
                 f"(configApplyMs {CONFIG_APPLY_S:.0f} s): {'BROKEN' if broken else 'held'}"
        record.add(result)
        print(result)
        if "-v" in sys.argv:
            print("\n".join(line[:200] for line in gateways[0].output().splitlines() if "config" in line or "store" in line or "dropped" in line))
        return harness.BROKEN if broken else harness.HELD


harness.run_case(main)
