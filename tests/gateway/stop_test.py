"""Tests planned stops of a gateway under load, against stand-ins for the users' platform.

Usage: stop_test.py GATEWAY_BINARY [unittest option...]
"""
import concurrent.futures
import http.client
import signal
import sys
import time
import unittest

import gateway_test
from gateway_test import Caller, GatewayCase

# A request that is sent later than this after the signal is answered, or never passed on.
EXCUSED_S = 3.0


class StopTest(GatewayCase):
    def setUp(self):
        super().setUp()
        routes = [dict(route, timeoutMs=6000) for route in gateway_test.ROUTES]
        self.platform.configure(routes)
        self.plan("/pay/long", "slow4.2")
        self.plan("/pay/short", "slow0.3")

    def send_at(self, caller, started, at_s, path, limit_ms):
        """Sends a request on a kept connection; returns its id and status, 0 if the response is not whole."""
        time.sleep(max(0, started + at_s - time.monotonic()))
        headers = caller.headers({"Deadline-Ms": str(limit_ms)})
        try:
            caller.connection.request("POST", path, b"x", headers)
            response = caller.connection.getresponse()
            response.read()
            return headers["Request-Id"], response.status
        except (OSError, http.client.HTTPException):
            return headers["Request-Id"], 0

    def stop_under_load(self, times, path, limit_ms):
        """Returns (time after the signal, status, whether a server has run it) of each request."""
        gateway = self.start()
        callers = [Caller(gateway) for _ in times]
        for caller in callers:
            caller.connection.connect()
        gateway.process.send_signal(signal.SIGTERM)
        started = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(len(times)) as pool:
            results = list(pool.map(lambda job: self.send_at(job[0], started, job[1], path, limit_ms),
                                    zip(callers, times)))
        self.assertEqual(gateway.process.wait(10), 0)
        ran = {run[0] for run in self.runs(path)}
        return [(at_s, status, identity in ran) for at_s, (identity, status) in zip(times, results)]

    def test_request_that_the_stop_could_cut_is_not_passed_on(self):
        results = self.stop_under_load([EXCUSED_S + 0.05 * i for i in range(12)], "/pay/long", 6000)
        for at_s, status, ran in results:
            self.assertTrue(status == 200 or not ran, results)
            self.assertIn(status, (0, 200, 503), at_s)

    def test_request_that_ends_before_the_process_is_served_late_in_a_stop(self):
        results = self.stop_under_load([EXCUSED_S + 0.05 * i for i in range(6)], "/pay/short", 2000)
        self.assertEqual({status for _, status, _ in results}, {200})

    def test_request_that_takes_as_long_as_others_did_is_not_passed_on_to_be_cut(self):
        """Guards against requests that are accepted early in a stop although their kind never ends before it."""
        gateway = self.start()
        self.plan("/pay/known", "slow5")
        callers = [Caller(gateway) for _ in range(5)]
        with concurrent.futures.ThreadPoolExecutor(len(callers)) as pool:
            first = pool.submit(self.send_at, callers[0], 0, 0, "/pay/known", 6000)
            self.assertEqual(first.result()[1], 200)
            gateway.process.send_signal(signal.SIGTERM)
            started = time.monotonic()
            jobs = [pool.submit(self.send_at, caller, started, at_s, "/pay/known", 6000)
                    for caller, at_s in zip(callers[1:], (1.0, 2.4, 2.5, 2.7))]
            results = [job.result() for job in jobs]
        self.assertEqual([status for _, status in results], [200, 503, 503, 503])
        ran = {run[0] for run in self.runs("/pay/known")}
        self.assertTrue(ran.isdisjoint(identity for identity, status in results if status == 503))

    def test_requests_are_served_early_in_a_stop(self):
        results = self.stop_under_load([0.2 * i for i in range(12)], "/pay/short", 6000)
        self.assertEqual({status for _, status, _ in results}, {200})


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
