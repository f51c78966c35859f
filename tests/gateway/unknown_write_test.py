"""Tests writes to the store of which one copy is done without a response and others are refused, against stand-ins for the
users' platform.

Usage: unknown_write_test.py GATEWAY_BINARY [unittest option...]
"""
import asyncio
import json
import sys
import threading
import time
import unittest

import gateway_test
import standin
from gateway_test import Caller, GatewayCase, turn, wait_until

BUDGET, MAX_TOKENS, EVENT_TOKENS = 800, 100, 5


class FailingProxy(standin.StoreProxy):
    """After arm() an outage begins with the next write to a table: it is done after `delay_s`, its connection is reset, and
    `status` is the response to all other calls until the outage ends."""

    def __init__(self, store):
        super().__init__(store)
        self.table = None
        self.down_until = 0.0
        self.outages = 0

    def arm(self, table, status, delay_s, outage_s):
        self.table, self.status, self.delay_s, self.outage_s = table, status, delay_s, outage_s

    async def apply_later(self, body):
        await asyncio.sleep(self.delay_s)
        self.store.transact(body)

    async def handle(self, request, reader, writer):
        if time.monotonic() < self.down_until:
            writer.write(standin.response(self.status))
            return True
        if self.table and request.path == "/rows-tx":
            body = json.loads(request.body)
            if any(row["table"] == self.table for row in body["puts"]):
                self.table = None
                self.outages += 1
                self.down_until = time.monotonic() + self.outage_s
                if self.delay_s:
                    asyncio.get_running_loop().create_task(self.apply_later(body))
                else:
                    self.store.transact(body)
                standin.Backend.reset(writer)
                return False
        return await super().handle(request, reader, writer)


class UnknownWriteTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.proxy = self.platform.call(self.platform.make(FailingProxy, self.platform.store))
        self.addCleanup(lambda: self.platform.call(self.proxy.stop()))
        self.gateways = [self.start(name=f"edge-{n}", store_port=self.proxy.port) for n in range(2)]
        self.assertTrue(wait_until(lambda: len(self.platform.store.table("gateways")) == 2))
        time.sleep(1.0)
        self.tokens = 0
        self.lock = threading.Lock()

    def send_turn(self, gateway, line, events):
        for model in self.models:
            model.events = events
        caller = Caller(gateway)
        try:
            response = caller.send("POST", "/turn/1", b"p", **turn("p1", budget=BUDGET, max_tokens=MAX_TOKENS,
                                                                   Session_Id=f"line-{line}", Deadline_Ms="3000"))
            with self.lock:
                self.tokens += EVENT_TOKENS * response.text.count("data:")
            return response.status
        finally:
            caller.close()

    def reserve_much_and_use_little(self, gateway):
        lines = [threading.Thread(target=self.send_turn, args=(gateway, line, 2)) for line in range(6)]
        for line in lines:
            line.start()
        for line in lines:
            line.join()

    def spend(self, gateways):
        """Turns that use all that they may, until the budget is spent. Returns the last status."""
        statuses = []
        for number in range(60):
            up = time.monotonic() > self.proxy.down_until + 1
            statuses.append(self.send_turn(gateways[number % 2 if up else 0], number % 6, MAX_TOKENS // EVENT_TOKENS))
            if statuses[-6:] == [402] * 6:
                break
            time.sleep(0.05 if statuses[-1] == 200 else 0.3)
        return statuses[-1]

    def play(self, status, delay_s=0.0, outages=1):
        for outage in range(outages):
            # The gateway that spends first.
            first = self.gateways[outage]
            self.reserve_much_and_use_little(first)
            self.proxy.arm("budgets", status, delay_s, 2.5)
            self.assertTrue(wait_until(lambda: self.proxy.outages == outage + 1, 5))
            if outage + 1 < outages:
                # The program goes on in the outage.
                for number in range(3):
                    self.send_turn(first, number, MAX_TOKENS // EVENT_TOKENS)
                time.sleep(4)
        last = self.spend([first] + [gateway for gateway in self.gateways if gateway is not first])
        self.assertEqual(last, 402)
        self.assertLessEqual(self.tokens, BUDGET + MAX_TOKENS)
        # Nothing is lost either: what is left covers no turn.
        self.assertGreater(self.tokens, BUDGET - MAX_TOKENS)

    def test_release_that_was_done_and_refused(self):
        """Guards against review/13: tokens that are returned and kept."""
        self.play(503)

    def test_release_that_was_done_and_throttled(self):
        self.play(429)

    def test_release_that_is_done_between_refusals(self):
        """Guards against a row that is read before the write is done."""
        self.play(503, delay_s=1.5)

    def test_two_outages(self):
        self.play(503, outages=2)


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
