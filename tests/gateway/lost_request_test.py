"""Tests that each request that a gateway has read ends with a complete response, against stand-ins for the users' platform.

Usage: lost_request_test.py GATEWAY_BINARY [unittest option...]
"""
import concurrent.futures
import re
import resource
import signal
import socket
import sys
import time
import unittest

import gateway_test
from gateway_test import HOST, GatewayCase, wait_until

EVENTS = [str(number).encode() for number in range(1, 7)]


class RawCaller:
    """A caller that controls each direction of its connection."""

    count = 0

    def __init__(self, gateway):
        self.socket = socket.create_connection(("127.0.0.1", gateway.front), timeout=12)
        self.received = b""

    def send(self, path, body=b"x", limit_ms=8000, method="POST"):
        RawCaller.count += 1
        self.socket.sendall(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {RawCaller.count:016x}\r\n"
                            f"Deadline-Ms: {limit_ms}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        return self

    def end_input(self):
        self.socket.shutdown(socket.SHUT_WR)
        return self

    def close(self):
        self.socket.close()

    def read_all(self):
        """Everything up to the end of the connection; a reset is noted at the end."""
        try:
            while data := self.socket.recv(65536):
                self.received += data
        except ConnectionResetError:
            self.received += b"<reset>"
        return self.received

    def first_status(self, limit_ms):
        """Sends a request and leaves with the response; 0 if none has begun at the time limit."""
        self.socket.settimeout(limit_ms / 1000)
        try:
            head = self.send("/pay/held", limit_ms=limit_ms).socket.recv(4096)
            return int(head.split(b" ")[1]) if head else 0
        except OSError:
            return 0
        finally:
            self.close()

    def statuses(self):
        """The statuses of all complete responses up to the end of the connection."""
        text, statuses = self.read_all(), []
        while head := re.match(rb"HTTP/1.1 (\d{3}) [^\r]*\r\n(.*?)\r\n\r\n", text, re.S):
            text = text[head.end():]
            length = re.search(rb"(?i)content-length: (\d+)", head[2])
            if length:
                size = int(length[1])
            else:
                # The size of a chunk may have leading zeros, that of the last one too.
                last_chunk = re.search(rb"\r\n0+\r\n\r\n", text)
                size = last_chunk.end() if last_chunk else len(text) + 1
            if len(text) < size:
                break
            text = text[size:]
            statuses.append(int(head[1]))
        return statuses


class LostRequestCase(GatewayCase):
    def setUp(self):
        super().setUp()
        self.platform.configure([dict(route, timeoutMs=9000) for route in gateway_test.ROUTES])

    def wait_for_runs(self, path, count=1):
        self.assertTrue(wait_until(lambda: len(self.runs(path)) >= count), path)


class StopTest(LostRequestCase):
    def test_request_that_outlasts_the_stop_is_answered_before_the_process_ends(self):
        """Guards against the end of a process that closes connections of requests in progress without a word."""
        gateway = self.start(grace_s=5)
        callers = {}
        for path in ("/read/long", "/pay/long", "/turn/long", "/once/long"):
            self.plan(path, "hang")
            callers[path] = RawCaller(gateway).send(path)
            self.wait_for_runs(path)
        gateway.process.send_signal(signal.SIGTERM)
        started = time.monotonic()
        statuses = {path: caller.statuses() for path, caller in callers.items()}
        self.assertEqual(statuses, {path: [504] for path in callers})
        self.assertEqual(gateway.process.wait(6), 0)
        self.assertLess(time.monotonic() - started, 5)

    def test_request_that_waits_for_a_server_is_refused_before_the_process_ends(self):
        """The same for a request that no server has begun: it is told that it has not run."""
        for server in list(self.platform.servers.values()):
            self.platform.run(self.platform.store.put, "servers", server.identity, None)
        gateway = self.start(grace_s=5)
        caller = RawCaller(gateway).send("/pay/queued")
        gateway.process.send_signal(signal.SIGTERM)
        self.assertEqual(caller.statuses(), [503])
        self.assertEqual(self.runs("/pay/queued"), [])


    def test_connections_that_wait_to_be_accepted_when_the_listener_closes_are_answered(self):
        """Guards against a stop that resets connections whose requests have arrived; a pause makes them wait."""
        gateway = self.start()
        gateway.process.send_signal(signal.SIGTERM)
        time.sleep(3.0)
        gateway.process.send_signal(signal.SIGSTOP)
        callers = [RawCaller(gateway).send("/read/waits", limit_ms=3000) for _ in range(10)]
        time.sleep(0.7)
        gateway.process.send_signal(signal.SIGCONT)
        self.assertEqual([caller.statuses() for caller in callers], [[200]] * 10)


    def test_pipelined_requests_that_have_arrived_are_answered_in_a_stop(self):
        """Guards against a response that closes the connection although the next request has been read."""
        gateway = self.start()
        self.plan("/pay/0", "slow0.5")
        caller = RawCaller(gateway)
        for number in range(3):
            caller.send(f"/pay/{number}")
        gateway.process.send_signal(signal.SIGTERM)
        self.assertEqual(caller.statuses(), [200, 200, 200])


class HalfCloseTest(LostRequestCase):
    def test_caller_that_ends_its_input_gets_its_response(self):
        """Guards against a gateway that takes the end of a caller's input for the end of the connection."""
        gateway = self.start()
        for path in ("/read/half", "/pay/half", "/turn/half", "/once/half"):
            self.plan(path, "slow0.4")
            with self.subTest(path=path):
                self.assertEqual(RawCaller(gateway).send(path).end_input().statuses(), [200])
                self.assertEqual(len(self.runs(path)), 1)

    def test_stream_goes_on_after_the_end_of_the_callers_input(self):
        gateway = self.start()
        for server in self.models:
            server.gap_s = 0.1
        caller = RawCaller(gateway).send("/turn/going")
        caller.received = caller.socket.recv(65536)
        caller.end_input()
        self.assertEqual(caller.statuses(), [200])
        self.assertEqual(re.findall(rb"id: (\d+)", caller.received), EVENTS)

    def test_all_requests_before_the_end_of_the_callers_input_are_answered(self):
        gateway = self.start()
        caller = RawCaller(gateway)
        for number in range(3):
            caller.send(f"/pay/{number}")
        self.assertEqual(caller.end_input().statuses(), [200, 200, 200])

    def test_caller_that_ends_its_input_inside_a_request_is_disconnected(self):
        gateway = self.start()
        caller = RawCaller(gateway)
        caller.socket.sendall(f"POST /pay/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\nab".encode())
        self.assertEqual(caller.end_input().statuses(), [])
        self.assertEqual(self.runs("/pay/1"), [])

    def test_request_of_a_caller_that_left_is_cancelled(self):
        """Guards against work whose response nobody gets: a caller that has closed sends the same end of input."""
        gateway = self.start()
        for path in ("/read/left", "/pay/left", "/turn/left", "/once/left"):
            self.plan(path, "hang")
            with self.subTest(path=path):
                caller = RawCaller(gateway).send(path)
                self.wait_for_runs(path)
                aborted = sum(len(server.aborted) for server in self.platform.servers.values())
                left = time.monotonic()
                caller.close()
                self.assertTrue(wait_until(lambda: sum(len(server.aborted) for server in
                                                       self.platform.servers.values()) > aborted, 2))
                self.assertLess(time.monotonic() - left, 0.5)

    def test_request_of_a_caller_that_left_is_not_sent_to_a_server(self):
        for server in list(self.platform.servers.values()):
            self.platform.run(self.platform.store.put, "servers", server.identity, None)
        gateway = self.start()
        callers = [RawCaller(gateway).send(f"/pay/gone{number}") for number in range(8)]
        time.sleep(0.1)
        for caller in callers:
            caller.close()
        time.sleep(0.5)
        for server in self.platform.servers.values():
            self.platform.run(self.platform.store.put, "servers", server.identity, server.entry())
        time.sleep(1.0)
        self.assertEqual([self.runs(f"/pay/gone{number}") for number in range(8)], [[]] * 8)

    def test_stream_of_a_caller_that_left_after_its_first_event_is_cancelled(self):
        gateway = self.start()
        for server in self.models:
            server.gap_s, server.events = 0.3, 100
        caller = RawCaller(gateway).send("/turn/leaves")
        caller.socket.recv(65536)
        caller.close()
        self.assertTrue(wait_until(lambda: gateway.metric("vl_gateway_callers_left_total") == 1, 0.5))


class LimitTest(LostRequestCase):
    def test_connection_beyond_the_limit_is_refused_with_a_response(self):
        """Guards against connections that a gateway at its limit closes without a word."""
        gateway = self.start(max_fds=240)
        held = [RawCaller(gateway) for _ in range(20)]
        time.sleep(0.3)
        self.assertEqual(RawCaller(gateway).send("/pay/beyond").statuses(), [503])
        self.assertEqual(self.runs("/pay/beyond"), [])
        for caller in held:
            caller.close()
        time.sleep(0.3)
        self.assertEqual(RawCaller(gateway).send("/pay/after").end_input().statuses(), [200])

    def test_connections_beyond_the_descriptors_of_the_process_are_refused_with_a_response(self):
        """The same where the process may open fewer descriptors than its settings state."""
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (100, limits[1]))
            gateway = gateway_test.Gateway(self.platform)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        self.addCleanup(gateway.stop)
        self.assertTrue(wait_until(gateway.is_ready))
        self.plan("/pay/held", "slow1")
        callers = [RawCaller(gateway) for _ in range(150)]
        with concurrent.futures.ThreadPoolExecutor(len(callers)) as pool:
            statuses = list(pool.map(lambda caller: caller.first_status(limit_ms=3000), callers))
        self.assertLessEqual(set(statuses), {200, 503}, statuses)

    def test_response_to_a_body_that_is_still_being_sent_is_not_lost(self):
        """Guards against a reset that overtakes the response: the body beyond the limit is read and discarded."""
        gateway = self.start()
        for size in (70_000, 2_000_000, 12_000_000):
            with self.subTest(size=size):
                self.assertEqual(RawCaller(gateway).send("/pay/large", b"x" * size).statuses(), [413])


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
