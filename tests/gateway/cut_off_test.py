"""Tests streams at a gateway that is cut off from the others and from the store while servers are replaced.

Usage: cut_off_test.py GATEWAY_BINARY [unittest option...]
"""
import sys
import time
import unittest

import gateway_test
import standin
from gateway_test import wait_until
from version_test import VersionCase


class CutOffTest(VersionCase):
    def check_gateway_that_is_cut_off(self, mode):
        old = self.add_version("old")
        proxy = self.platform.call(self.platform.make(standin.StoreProxy, self.platform.store))
        self.addCleanup(lambda: self.platform.call(proxy.stop()))
        taker = self.start(name="edge-0", store_port=proxy.port)
        other = self.start(name="edge-1")
        self.assertTrue(wait_until(lambda: len(self.platform.store.table("gateways")) == 2))
        time.sleep(1.0)
        proxy.mode = mode
        time.sleep(0.4)
        self.add_version("new")
        self.retire(*old)
        time.sleep(0.5)
        begun = [self.begin(other) for _ in range(4)]
        # The taker cannot tell a gateway that was killed from one that it is cut off from.
        self.kill(other)
        time.sleep(1.5)
        for first, text, _ in begun:
            status, joined = self.resume(taker, first, text)
            self.assertEqual((status, self.versions(joined)), (503, {"new"}))
        proxy.mode = "ok"
        time.sleep(1.5)
        self.assert_go_on(taker, begun)

    def test_stream_does_not_go_on_at_another_version_while_the_store_ignores_a_gateway_that_is_cut_off(self):
        """Guards against a gateway that takes the servers that it knew before it was cut off for all."""
        self.check_gateway_that_is_cut_off("silent")

    def test_stream_does_not_go_on_at_another_version_while_the_store_refuses_a_gateway_that_is_cut_off(self):
        """The same where each call of the gateway fails at once."""
        self.check_gateway_that_is_cut_off("busy")


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
