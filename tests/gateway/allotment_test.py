"""Tests the allotments of organisations over several gateways, against stand-ins for the users' platform.

Usage: allotment_test.py GATEWAY_BINARY [unittest option...]
"""
import collections
import concurrent.futures
import itertools
import json
import random
import sys
import time
import unittest

import gateway_test
from gateway_test import Caller, GatewayCase, wait_until

WINDOW_S = 5.0
EXCESS = 0.1
SLACK = 20

Result = collections.namedtuple("Result", "status took_s retry_after")


def bound(rate, burst):
    """Requests of an organisation that may run in any window, over all gateways."""
    return (rate * WINDOW_S + burst) * (1 + EXCESS) + SLACK


def most_in_window(times):
    """Largest number of `times` within WINDOW_S."""
    times = sorted(times)
    most = first = 0
    for last, moment in enumerate(times):
        while moment - times[first] >= WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


class AllotmentTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.ids = itertools.count(1)
        self.ran = collections.defaultdict(list)
        for server in self.tools:
            server.executed = Recorder(server.executed, self.ran)

    def configure(self, *organisations):
        self.platform.version += 3
        config = json.loads(self.platform.store.table("op")["config"])
        config["version"] = self.platform.version
        config["tenants"] = [{"name": name, "apiKeys": [f"key-{name}"], "ratePerS": rate, "burst": burst}
                             for name, rate, burst in organisations]
        self.platform.run(self.platform.store.put, "op", "config", config)

    def start_gateways(self, count=3):
        gateways = [self.start(name=f"edge-{number}") for number in range(count)]
        self.assertTrue(wait_until(lambda: len(self.platform.store.table("gateways")) == count))
        # A process that has just started waits until it has heard the others.
        time.sleep(1)
        return gateways

    def request(self, gateway, organisation):
        caller = Caller(gateway)
        started = time.monotonic()
        try:
            response = caller.send("GET", "/read/1", Request_Id=f"{next(self.ids):016x}",
                                   X_Api_Key=f"key-{organisation}")
            return Result(response.status, time.monotonic() - started, response.getheader("Retry-After"))
        finally:
            caller.close()

    def load(self, choose, organisation, per_second, seconds):
        """Sends requests at a fixed rate, whether or not earlier ones have ended; `choose` names the gateway."""
        with concurrent.futures.ThreadPoolExecutor(60) as pool:
            futures = []
            started = time.monotonic()
            for number in range(int(per_second * seconds)):
                time.sleep(max(0, started + number / per_second - time.monotonic()))
                futures.append(pool.submit(self.request, choose(number), organisation))
            return [future.result() for future in futures]

    def test_organisation_over_its_allotment_is_refused_at_once_and_others_are_served(self):
        self.configure(("hot", 10.0, 10.0), ("calm", 10.0, 10.0))
        gateways = self.start_gateways()
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            hot = pool.submit(self.load, lambda number: gateways[number % 3], "hot", 80, 8)
            calm = pool.submit(self.load, lambda number: gateways[number % 3], "calm", 6, 8)
            hot, calm = hot.result(), calm.result()
        self.assertLessEqual(most_in_window(self.ran["hot"]), bound(10, 10))
        self.assertGreaterEqual(len(self.ran["hot"]), 0.95 * 10 * 8)
        self.assertEqual({result.status for result in calm}, {200})
        refused = [result for result in hot if result.status != 200]
        self.assertEqual({result.status for result in refused}, {429})
        waits = [float(result.retry_after) for result in refused]
        self.assertGreater(min(waits), 0)
        self.assertLessEqual(max(waits), WINDOW_S)
        # Callers must not return together.
        self.assertGreater(len(set(waits)), len(waits) // 2)
        self.assertLess(sorted(result.took_s for result in refused)[len(refused) * 9 // 10], 0.2)
        log = "".join(gateway.log() for gateway in gateways)
        self.assertLessEqual(log.count("event=allotment_exceeded "), 3)
        self.assertIn("organisation=hot", log)

    def test_allowed_requests_run_when_all_arrive_at_one_gateway_or_move(self):
        self.configure(("hot", 10.0, 10.0))
        gateways = self.start_gateways()
        self.load(lambda number: gateways[0], "hot", 40, 4)
        ran = len(self.ran["hot"])
        self.assertGreaterEqual(ran, 0.95 * 10 * 4)
        self.load(lambda number: gateways[number // 40 % 3], "hot", 40, 6)
        self.assertGreaterEqual(len(self.ran["hot"]) - ran, 0.95 * 10 * 6)
        self.assertLessEqual(most_in_window(self.ran["hot"]), bound(10, 10))

    def test_allotment_holds_when_gateways_are_killed_and_start_again(self):
        self.configure(("hot", 10.0, 10.0))
        gateways = self.start_gateways()

        def choose(number):
            if number in (100, 220):
                # The next process at the same address knows nothing of the requests so far.
                killed = gateways[0]
                killed.stop()
                gateways[0] = self.start(name="edge-0", peer_port=killed.peer_port)
            return random.choice(gateways)

        self.load(choose, "hot", 40, 8)
        self.assertLessEqual(most_in_window(self.ran["hot"]), bound(10, 10))

    def test_lower_limit_binds(self):
        self.configure(("hot", 40.0, 20.0))
        gateways = self.start_gateways()
        self.load(lambda number: gateways[number % 3], "hot", 40, 2)
        self.configure(("hot", 4.0, 4.0))
        time.sleep(0.5)
        lowered = time.monotonic()
        self.load(lambda number: gateways[number % 3], "hot", 40, 6)
        self.assertLessEqual(most_in_window([moment for moment in self.ran["hot"] if moment >= lowered]), bound(4, 4))


class Recorder(list):
    """Requests that a server runs; also their times, by organisation."""

    def __init__(self, executed, times):
        super().__init__(executed)
        self.times = times

    def append(self, run):
        super().append(run)
        self.times[run[2].get("tenant")].append(time.monotonic())


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
