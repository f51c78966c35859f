"""Tests connections beyond the limit that send no request.

Usage: idle_limit_test.py GATEWAY_BINARY [unittest option...]
"""
import sys
import time
import unittest

import gateway_test
from lost_request_test import LostRequestCase, RawCaller


class IdleLimitTest(LostRequestCase):
    def test_idle_connections_beyond_the_limit_do_not_hold_up_others(self):
        """Guards against a request that waits at the listener behind idle connections."""
        gateway = self.start(max_fds=240)
        held = [RawCaller(gateway) for _ in range(20 + 100)]
        time.sleep(0.3)
        started = time.monotonic()
        self.assertIn(RawCaller(gateway).send("/pay/behind").end_input().statuses(), ([200], [503]))
        self.assertLess(time.monotonic() - started, 1.0)
        for caller in held:
            caller.close()

    def test_begun_requests_beyond_the_limit_do_not_hold_up_others(self):
        """Guards against heads that stop short and hold all connections."""
        gateway = self.start(max_fds=240)
        held = [RawCaller(gateway) for _ in range(20 + 100)]
        for caller in held:
            caller.socket.sendall(b"GET /read/short HTTP/1.1\r\nHo")
        time.sleep(0.3)
        started = time.monotonic()
        self.assertIn(RawCaller(gateway).send("/pay/behind").end_input().statuses(), ([200], [503]))
        self.assertLess(time.monotonic() - started, 1.0)
        for caller in held:
            caller.close()


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
