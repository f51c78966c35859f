"""Tests streams while servers of several software versions serve, against stand-ins for the users' platform.

Usage: version_test.py GATEWAY_BINARY [unittest option...]
"""
import http.client
import re
import sys
import time
import unittest

import gateway_test
import standin
from gateway_test import Caller, GatewayCase, turn, wait_until


class VersionCase(GatewayCase):
    def setUp(self):
        super().setUp()
        self.retire(*self.models)

    def add_version(self, version, count=2):
        """Adds model servers whose events name their version."""
        return [self.platform.add(standin.Engine, f"{version}-{number}", "models", version=version, word=version,
                                  events=12, gap_s=0.03) for number in range(count)]

    def retire(self, *servers):
        for server in servers:
            self.platform.run(self.platform.store.put, "servers", server.identity, None)

    def begin(self, gateway, events=3):
        """Starts a stream and reads its first events. Returns the attempt's id, the text and the caller."""
        caller = Caller(gateway)
        headers = caller.headers({"Model": "m"})
        caller.connection.request("POST", "/turn/v", b"p", headers)
        response = caller.connection.getresponse()
        text = ""
        while text.count("\n\n") < events:
            text += response.readline().decode()
        return headers["Request-Id"], text, caller

    def resume(self, gateway, first, text):
        """Takes a stream up again on a new connection. Returns the status and the whole text of both attempts."""
        response = self.take_up(gateway, first, text)
        return response.status, text + response.read().decode()

    def take_up(self, gateway, first, text):
        caller = Caller(gateway)
        self.addCleanup(caller.close)
        last = re.findall(r"id: (\d+)", text)[-1]
        headers = caller.headers({"Model": "m", "Last-Event-Id": last, "Resumes": first})
        caller.connection.request("POST", "/turn/v", b"p", headers)
        return caller.connection.getresponse()

    def versions(self, text):
        return set(re.findall(r"data: (\S+)", text))

    def assert_whole(self, text):
        self.assertEqual(re.findall(r"id: (\d+)", text), [str(number) for number in range(1, 13)])

    def assert_go_on(self, gateway, begun):
        """Takes the streams up again and checks that each ends whole, at the version that began it."""
        for first, text, _ in begun:
            status, text = self.resume(gateway, first, text)
            self.assertEqual(status, 200)
            self.assert_whole(text)
            self.assertEqual(len(self.versions(text)), 1)

    def kill(self, *gateways):
        for gateway in gateways:
            gateway.process.kill()
            gateway.process.wait()

    def start_two(self):
        gateways = [self.start(name=f"edge-{number}") for number in range(2)]
        self.assertTrue(wait_until(lambda: len(self.platform.store.table("gateways")) == 2))
        time.sleep(1.0)
        return gateways


class VersionTest(VersionCase):
    def test_stream_of_a_crashed_server_does_not_go_on_at_another_version(self):
        old, new = self.add_version("old", 1) + self.add_version("new", 1)
        gateway = self.start()
        for server in (old, new):
            server.plan["/turn/c"] = "crash"
        with self.assertRaises(http.client.IncompleteRead):
            Caller(gateway).send("POST", "/turn/c", b"p", **turn("p", budget=100000))
        self.assertEqual(len(self.runs("/turn/c")), 1)

    def test_stream_of_a_crashed_server_goes_on_at_the_same_version(self):
        old = self.add_version("old", 3)
        self.add_version("new", 3)
        gateway = self.start()
        for number in range(3):
            path = f"/turn/{number}"
            old[number].plan[path] = "crash"
            text = Caller(gateway).send("POST", path, b"p", **turn("p", budget=100000)).text
            self.assert_whole(text)
            self.assertEqual(len(self.versions(text)), 1)

    def test_stream_of_a_killed_gateway_goes_on_at_the_version_that_began_it(self):
        self.add_version("old")
        self.add_version("new")
        taker, killed = self.start_two()
        begun = [self.begin(killed) for _ in range(8)]
        self.kill(killed)
        self.assert_go_on(taker, begun)

    def test_streams_go_on_at_their_versions_after_all_gateways_were_killed(self):
        self.add_version("old")
        self.add_version("new")
        gateways = self.start_two()
        begun = [self.begin(gateways[number % 2]) for number in range(8)]
        self.kill(*gateways)
        gateway = self.start(name="edge-3")
        self.assert_go_on(gateway, begun)

    def test_stream_of_a_replaced_version_is_refused_after_all_gateways_were_killed(self):
        old = self.add_version("old")
        gateways = self.start_two()
        begun = [self.begin(gateways[number % 2]) for number in range(4)]
        self.add_version("new")
        self.retire(*old)
        self.kill(*gateways)
        gateway = self.start(name="edge-3")
        for first, text, _ in begun:
            status, joined = self.resume(gateway, first, text)
            self.assertEqual((status, self.versions(joined)), (503, {"old"}))

    def test_stream_goes_on_after_all_gateways_were_killed_while_one_version_serves(self):
        self.add_version("old", 3)
        gateways = self.start_two()
        begun = [self.begin(gateways[number % 2]) for number in range(4)]
        self.kill(*gateways)
        gateway = self.start(name="edge-3")
        self.assert_go_on(gateway, begun)

    def test_stream_goes_on_at_a_gateway_that_has_not_yet_read_which_versions_serve(self):
        self.add_version("old", 3)
        gateways = self.start_two()
        begun = [self.begin(gateways[number % 2]) for number in range(2)]
        self.kill(*gateways)
        self.platform.store.read_delays["versions"] = 0.3
        self.assert_go_on(self.start(name="edge-3"), begun)

    def test_stream_goes_on_at_once_while_the_store_is_unavailable(self):
        for server in self.add_version("old", 3):
            server.gap_s = 0.2
        taker, killed = self.start_two()
        first, text, _ = self.begin(killed)
        self.platform.store.mode = "silent"
        time.sleep(0.8)
        self.kill(killed)
        # The taker notices that no other gateway is left.
        time.sleep(1.5)
        started = time.monotonic()
        response = self.take_up(taker, first, text)
        self.assertEqual(response.status, 200)
        response.readline()
        # The first event takes 0.2 s; a call to the silent store would take 0.7 s more.
        self.assertLess(time.monotonic() - started, 0.75)


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
