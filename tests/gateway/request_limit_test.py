"""Tests the limits on requests that servers state, against stand-ins for the users' platform.

Usage: request_limit_test.py GATEWAY_BINARY [unittest option...]
"""
import collections
import concurrent.futures
import itertools
import sys
import time
import unittest

import gateway_test
from gateway_test import Caller, GatewayCase, wait_until

# The rule that the servers' operators state: from 3 s after a server first states its limit, at most one and a half
# times the limit and 5 requests in any 4 s.
SETTLING_S = 3.0
WINDOW_S = 4.0

Result = collections.namedtuple("Result", "status took_s retry_after")


def most_in_window(times):
    """Largest number of `times` within WINDOW_S."""
    return max((sum(start <= other < start + WINDOW_S for other in times) for start in times), default=0)


class RequestLimitTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.ids = itertools.count(1)

    def request(self, gateway):
        caller = Caller(gateway)
        started = time.monotonic()
        try:
            response = caller.send("GET", "/read/1", Request_Id=f"{next(self.ids):016x}")
            return Result(response.status, time.monotonic() - started, response.getheader("Retry-After"))
        finally:
            caller.close()

    def load(self, gateways, per_second, seconds):
        """Sends requests at a fixed rate to the gateways in turn, whether or not earlier ones have ended."""
        with concurrent.futures.ThreadPoolExecutor(100) as pool:
            futures = []
            started = time.monotonic()
            for number in range(int(per_second * seconds)):
                time.sleep(max(0, started + number / per_second - time.monotonic()))
                futures.append(pool.submit(self.request, gateways[number % len(gateways)]))
            return [future.result() for future in futures]

    def start_three(self):
        gateways = [self.start(name=f"edge-{number}") for number in range(3)]
        self.assertTrue(wait_until(lambda: len(self.platform.store.table("gateways")) == 3))
        return gateways

    def assert_within_limit(self, server, since):
        allowed = 1.5 * server.limit * WINDOW_S + 5
        times = [moment for moment in server.arrivals if moment >= since + SETTLING_S]
        self.assertLessEqual(most_in_window(times), allowed)

    def test_server_gets_no_more_requests_than_it_states_from_all_gateways_together(self):
        gateways = self.start_three()
        limited = self.tools[0]
        limited.limit = 4.0
        started = time.monotonic()
        results = self.load(gateways, 40, 9)
        self.assert_within_limit(limited, started)
        self.assertEqual({result.status for result in results}, {200})

    def test_limited_server_is_used_up_to_its_limit(self):
        gateways = self.start_three()
        for server in self.tools:
            server.limit = 5.0
        started = time.monotonic()
        results = self.load(gateways, 40, 9)
        for server in self.tools:
            self.assert_within_limit(server, started)
        answered = sum(result.status == 200 for result in results)
        self.assertGreater(answered, 0.8 * 2 * 5.0 * 9)

    def test_requests_over_the_limits_of_all_servers_are_refused_at_once(self):
        gateways = self.start_three()
        for server in self.tools:
            server.limit = 4.0
        self.load(gateways, 40, 2)
        refused = [result for result in self.load(gateways, 40, 3) if result.status != 200]
        self.assertEqual({result.status for result in refused}, {503})
        self.assertGreater(min(float(result.retry_after) for result in refused), 0)
        self.assertLess(sorted(result.took_s for result in refused)[len(refused) * 9 // 10], 0.2)

    def test_limit_ends_with_a_response_that_states_none(self):
        gateways = self.start_three()
        for server in self.tools:
            server.limit = 4.0
        self.load(gateways, 40, 2)
        for server in self.tools:
            server.limit = None
        self.load(gateways, 40, 1)
        self.assertEqual({result.status for result in self.load(gateways, 40, 2)}, {200})


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
