"""Tests connections to the store that go silent for good while new ones work, against stand-ins for the users' platform.

Usage: store_connections_test.py GATEWAY_BINARY [unittest option...]
"""
import asyncio
import concurrent.futures
import sys
import time
import unittest

import gateway_test
from gateway_test import Caller, GatewayCase, turn, wait_until


class SilencingProxy:
    """Relays connections to another port. silence() makes the present ones silent, in both directions and for good."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.server = None
        self.port = 0
        self.connections = []
        self.opened = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        self.server.close()
        for connection in self.connections:
            for writer in connection["writers"]:
                writer.transport.abort()

    def silence(self):
        for connection in self.connections:
            connection["silent"] = True

    def open_connections(self):
        return sum(not connection["silent"] and not connection["ended"] for connection in self.connections)

    async def serve(self, reader, writer):
        self.opened += 1
        store_reader, store_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        connection = {"silent": False, "ended": False, "writers": [writer, store_writer]}
        self.connections.append(connection)
        await asyncio.gather(self.relay(connection, reader, store_writer),
                             self.relay(connection, store_reader, writer))

    @staticmethod
    async def relay(connection, reader, writer):
        try:
            while data := await reader.read(65536):
                if not connection["silent"]:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        if not connection["silent"]:
            connection["ended"] = True
            writer.transport.abort()


class StoreConnectionsTest(GatewayCase):
    PROGRAMS = 14

    def setUp(self):
        super().setUp()
        self.proxy = self.platform.call(self.platform.make(SilencingProxy, self.platform.store.port))
        self.addCleanup(lambda: self.platform.call(self.proxy.stop()))

    def send_turn(self, gateway, program, deadline_ms=3000):
        caller = Caller(gateway)
        try:
            return caller.send("POST", "/turn/1", b"p", **turn(program, Deadline_Ms=str(deadline_ms))).status
        finally:
            caller.close()

    def start_with_idle_connections(self):
        gateway = self.start(store_port=self.proxy.port)
        self.platform.store.read_delays["budgets"] = 0.2
        with concurrent.futures.ThreadPoolExecutor(self.PROGRAMS) as pool:
            statuses = pool.map(lambda number: self.send_turn(gateway, f"warm-{number}"), range(self.PROGRAMS))
            self.assertEqual(set(statuses), {200})
        self.platform.store.read_delays.clear()
        self.assertGreaterEqual(self.proxy.open_connections(), 8)
        return gateway

    def test_turns_are_served_again_after_one_time_out(self):
        gateway = self.start_with_idle_connections()
        self.platform.run(self.proxy.silence)
        silenced = time.monotonic()
        failures = gateway.metric("vl_gateway_store_failures_total")
        # New programs, so that each needs the store.
        statuses = []
        while time.monotonic() - silenced < 8:
            statuses.append((time.monotonic() - silenced, self.send_turn(gateway, f"p-{len(statuses)}", 1500)))
            time.sleep(0.05)
        late = [(at, status) for at, status in statuses if at > 2 and status != 200]
        self.assertEqual(late, [], statuses)
        # Of the calls that were on the way, and those made until the first of them timed out.
        self.assertLessEqual(gateway.metric("vl_gateway_store_failures_total") - failures, 8)
        self.assertIn("event=idle_connections_dropped", gateway.log())

    def test_server_that_drains_meanwhile_gets_no_request_later_than_the_bound(self):
        gateway = self.start_with_idle_connections()
        self.platform.run(self.proxy.silence)
        time.sleep(0.3)
        server = self.tools[0]
        self.platform.run(self.platform.store.put, "servers", server.identity, server.entry(state="draining"))
        time.sleep(2)
        before = len(server.executed)
        statuses = [Caller(gateway).send("POST", f"/pay/{number}", b"x").status for number in range(20)]
        self.assertEqual(set(statuses), {200})
        self.assertEqual(len(server.executed) - before, 0)

    def test_calls_go_on_when_connections_go_silent_time_and_again(self):
        gateway = self.start_with_idle_connections()
        for number in range(3):
            self.platform.run(self.proxy.silence)
            self.assertTrue(wait_until(lambda: self.send_turn(gateway, f"again-{number}-{time.time()}", 1500) == 200, 4))
            time.sleep(0.5)
        self.assertTrue(gateway.is_ready())


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
