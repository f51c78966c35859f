"""Tests a configuration that the operator has grown, on narrow links, against stand-ins for the users' platform.

Usage: large_config_test.py GATEWAY_BINARY [unittest option...]
"""
import asyncio
import sys
import time
import unittest

import gateway_test
import standin
from gateway_test import Caller, GatewayCase, wait_until

LINK_MBPS = 10.0
ROUTES = 3600
# Bounds of the users' site: until a change is applied, and until a gateway that reaches the store again counts.
CONFIG_APPLY_S, CONTACT_S = 3.0, 4.0


class Collected:
    """Takes what the store answers, for the link to carry it."""

    def __init__(self):
        self.data = b""

    def write(self, data):
        self.data += data


class Link(standin.StoreProxy):
    """The narrow link of one gateway to the store, shared by all its connections. Counts the bytes of responses."""

    def __init__(self, store):
        super().__init__(store)
        self.free_at = 0.0
        self.sent = 0

    async def handle(self, request, reader, writer):
        collected = Collected()
        keep = await super().handle(request, reader, collected)
        piece = 4096
        for start in range(0, len(collected.data), piece):
            part = collected.data[start:start + piece]
            now = time.monotonic()
            self.free_at = max(now, self.free_at) + len(part) * 8 / (LINK_MBPS * 1e6)
            await asyncio.sleep(self.free_at - now)
            if writer.transport.is_closing() or reader.at_eof():
                return False
            self.sent += len(part)
            writer.write(part)
            await writer.drain()
        return keep


class LargeConfigTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.platform.plain_services.append("after")
        self.platform.add(standin.Backend, "after-0", "after")
        self.grown = []

    def configure(self, service="tools"):
        self.platform.configure([{"prefix": "/read/", "kind": "idempotent", "service": service}, *gateway_test.ROUTES[1:],
                                 *self.grown])
        return time.monotonic()

    def grow(self, count=ROUTES):
        number = len(self.grown)
        self.grown += [{"prefix": f"/grown-{number + i:06d}/", "kind": "idempotent", "service": "tools", "priority": 2}
                       for i in range(count)]
        return self.configure()

    def start_on_link(self, name, wait=True, **options):
        link = self.platform.call(self.platform.make(Link, self.platform.store))
        self.addCleanup(lambda: self.platform.call(link.stop()))
        gateway = gateway_test.Gateway(self.platform, name=name, store_port=link.port,
                                       bounds="configApplyMs: 3000\n  contactMs: 4000", memory_mb=96, **options)
        self.addCleanup(gateway.stop)
        if wait:
            self.assertTrue(wait_until(gateway.is_ready), gateway.log())
        return gateway, link

    def served_by_new_service(self, gateway):
        caller = Caller(gateway)
        try:
            return caller.send("GET", "/read/1").getheader("Server-Seal") == "seal-after-0"
        finally:
            caller.close()

    def assert_up_to_date(self, gateways, until):
        for gateway in gateways:
            self.assertTrue(wait_until(lambda: self.served_by_new_service(gateway), until - time.monotonic()),
                            gateway.log()[-3000:])

    def play_outage(self, mode, refused):
        """The configuration grows; the store fails for the first `refused` of two gateways while it changes again."""
        pairs = [self.start_on_link(f"edge-{n}") for n in range(2)]
        # The gateways have heard of each other.
        self.assertTrue(wait_until(lambda: len(self.platform.store.table("gateways")) == 2))
        self.grow(ROUTES // 2)
        time.sleep(3)
        self.grow(ROUTES // 2)
        time.sleep(3)
        for _, link in pairs[:refused]:
            link.mode = mode
        time.sleep(1.5)
        acknowledged = self.configure("after")
        time.sleep(2)
        for _, link in pairs:
            link.mode = "ok"
        back = time.monotonic()
        self.assert_up_to_date([gateway for gateway, _ in pairs], max(back + CONTACT_S, acknowledged + CONFIG_APPLY_S))

    def test_change_arrives_after_the_store_refused_one_gateway(self):
        """Guards against review/11: a call that is cut in the middle of its response, and made again, without end."""
        self.play_outage("busy", 1)

    def test_change_arrives_after_the_store_refused_all_gateways(self):
        """Guards against a grown deployment that one short outage takes out for good."""
        self.play_outage("busy", 2)

    def test_change_arrives_after_the_store_was_silent(self):
        self.play_outage("silent", 2)

    def test_changes_arrive_without_an_outage(self):
        """Guards against a change that comes while a call waits for it, and takes longer than the rest of that wait."""
        gateway, _ = self.start_on_link("edge-1")
        self.grow()
        time.sleep(3)
        for service in ("after", "tools", "after"):
            acknowledged = self.configure(service)
            self.assertTrue(wait_until(lambda: self.served_by_new_service(gateway) == (service == "after"),
                                       acknowledged + CONFIG_APPLY_S - time.monotonic()), gateway.log()[-3000:])

    def test_gateway_starts_at_the_grown_size(self):
        """Guards against a planned restart after which a gateway is never ready."""
        self.grow()
        self.configure("after")
        gateway, link = self.start_on_link("edge-1", wait=False)
        self.assertTrue(wait_until(gateway.is_ready, 6), gateway.log()[-3000:])
        self.assertTrue(self.served_by_new_service(gateway))
        size = sum(len(row["value"]) for (table, _, _), row in self.platform.store.rows.items() if table == "op")
        self.assertLess(link.sent, 2 * size)

    def test_many_versions_of_a_large_configuration_are_not_read_one_after_the_other(self):
        """Guards against a gateway that reads what is no longer in force after an outage, or that can't read all of it at
        once."""
        gateway, link = self.start_on_link("edge-1")
        self.grow()
        time.sleep(4)
        link.mode = "busy"
        time.sleep(2.5)
        for _ in range(12):
            self.configure("tools")
        self.configure("after")
        link.mode = "ok"
        self.assert_up_to_date([gateway], time.monotonic() + CONTACT_S)

    def test_small_calls_are_not_cut_beside_a_large_response(self):
        """Guards against turns that fail, and connections that are dropped, while the configuration arrives."""
        gateway, link = self.start_on_link("edge-1")
        self.grow()
        time.sleep(0.2)
        before = link.sent
        self.assertTrue(wait_until(lambda: link.sent > before + 300000, 5))
        caller = Caller(gateway)
        response = caller.send("POST", "/turn/1", b"p", **gateway_test.turn("p1", Deadline_Ms="3000"))
        caller.close()
        self.assertIn(response.status, (200, 503))
        time.sleep(2)
        self.assertNotIn("idle_connections_dropped", gateway.log())
        self.assertNotIn("store_lost", gateway.log())


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
