"""Tests responses beyond the size that the gateway buffers, against stand-ins for the users' platform.

Usage: large_response_test.py GATEWAY_BINARY [unittest option...]
"""
import http.client
import sys
import threading
import time
import unittest

import gateway_test
import standin
from gateway_test import Caller, GatewayCase, wait_until

KB, MB = 1 << 10, 1 << 20
# Of a length that is no multiple of any buffer.
PATTERN = bytes(number % 251 for number in range(251 * 257))


def content(size):
    return (PATTERN * (size // len(PATTERN) + 1))[:size]


class SizedServer(standin.Backend):
    """Responds to the path .../SIZE/SENT[/end] with SENT of SIZE declared bytes; "end" closes the connection after
    them, "open" leaves it silent, "chunked" and "unframed" declare no length."""

    def __init__(self, identity, service):
        super().__init__(identity, service)
        self.bytes_sent = 0
        self.ended = []
        # Bytes after which this server closes the connection.
        self.cut_at = None

    async def run(self, request, reader, writer, behaviour):
        parts = request.path.split("/")
        if not parts[2].isdigit():
            return await super().run(request, reader, writer, behaviour)
        size, sent, form = int(parts[2]), int(parts[3]), parts[4] if len(parts) > 4 else ""
        sent = min(sent, self.cut_at) if self.cut_at is not None else sent
        framing = {"chunked": "Transfer-Encoding: chunked\r\n", "unframed": ""}.get(form, f"Content-Length: {size}\r\n")
        fields = "".join(f"{name}: {value}\r\n" for name, value in self.headers(request).items())
        writer.write(f"HTTP/1.1 200 OK\r\n{framing}{fields}\r\n".encode())
        try:
            await self.send_body(writer, sent, form)
        finally:
            self.ended.append((request.path, time.monotonic()))
        if form == "open":
            try:
                await reader.read(1)
            finally:
                # By an end or, with bytes that the gateway has not read, by a reset.
                self.aborted.append(request.headers["request-id"])
            return False
        return form not in ("end", "unframed") and sent >= size

    async def send_body(self, writer, size, form):
        done = 0
        while done < size:
            offset = done % len(PATTERN)
            piece = PATTERN[offset:offset + min(65536, size - done)]
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece) if form == "chunked" else piece)
            await writer.drain()
            done += len(piece)
            self.bytes_sent += len(piece)
        if form == "chunked":
            writer.write(b"0\r\n\r\n")
        # Until all is written: the connection is aborted next, which drops what is not.
        writer.transport.set_write_buffer_limits(high=0)
        await writer.drain()


class LargeResponseTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.platform.configure([dict(route, timeoutMs=12000) for route in gateway_test.ROUTES])
        for server in self.tools:
            self.platform.run(self.platform.store.put, "servers", server.identity, None)
        self.servers = [self.platform.add(SizedServer, f"s-{number}", "tools") for number in range(2)]

    def open(self, gateway, path, deadline_ms=12000, method="GET"):
        caller = Caller(gateway)
        self.addCleanup(caller.close)
        caller.connection.request(method, path, None, caller.headers({"Deadline-Ms": str(deadline_ms)}))
        return caller, caller.connection.getresponse()

    def read(self, gateway, path, **options):
        """Returns the status and the body, which is None unless it is whole."""
        _, response = self.open(gateway, path, **options)
        try:
            return response.status, response.read()
        except (http.client.IncompleteRead, OSError):
            return response.status, None

    def assert_whole(self, result, size):
        status, body = result
        self.assertEqual((status, len(body or b"")), (200, size))
        self.assertTrue(body == content(size))

    def test_sound_responses_of_all_sizes_arrive_whole(self):
        gateway = self.start(memory_mb=88)
        for size in (512 * KB, 1408 * KB, 1409 * KB, 5 * MB, 24 * MB):
            for method, path in (("GET", "/read"), ("POST", "/pay")):
                with self.subTest(size=size, path=path):
                    self.assert_whole(self.read(gateway, f"{path}/{size}/{size}", method=method), size)

    def test_sound_response_above_the_unsent_limit_of_events_arrives_whole(self):
        size = 7 * MB
        gateway = self.start(memory_mb=512)
        for form in ("", "/chunked", "/unframed"):
            with self.subTest(form=form):
                self.assert_whole(self.read(gateway, f"/read/{size}/{size}{form}"), size)

    def test_memory_stays_bounded_while_callers_do_not_read(self):
        gateway = self.start(memory_mb=88)
        before = gateway.resident_bytes()
        size = 24 * MB
        opened = [self.open(gateway, f"/read/{size}/{size}") for _ in range(16)]
        time.sleep(1)
        self.assertLess(gateway.resident_bytes() - before, 24 * MB)
        for _, response in opened:
            self.assertEqual(response.status, 200)
            self.assertTrue(response.read() == content(size))

    def test_caller_that_pauses_gets_the_rest(self):
        gateway = self.start(memory_mb=88)
        size = 24 * MB
        caller, response = self.open(gateway, f"/read/{size}/{size}")
        start = response.read(MB)
        # Longer than TCP_USER_TIMEOUT of the gateway's connections.
        time.sleep(4)
        self.assertLess(sum(server.bytes_sent for server in self.servers), size)
        self.assertTrue(start + response.read() == content(size))
        self.assertEqual(caller.send("GET", "/read/next").status, 200)

    def test_caller_that_does_not_read_is_ended_at_its_deadline(self):
        gateway = self.start(memory_mb=88)
        size = 48 * MB
        started = time.monotonic()
        _, response = self.open(gateway, f"/read/{size}/{size}", deadline_ms=1500)
        self.assertTrue(wait_until(lambda: any(server.ended for server in self.servers), 4))
        ended = next(server.ended[0][1] for server in self.servers if server.ended)
        self.assertLess(abs(ended - started - 1.5), 0.5)
        with self.assertRaises((http.client.IncompleteRead, OSError)):
            response.read()
        self.assertIn('outcome=broken_off', gateway.log())
        self.assertIn('the caller did not read its response in time', gateway.log())

    def test_server_that_declares_more_than_it_ever_sends_is_ended_at_the_deadline(self):
        gateway = self.start(memory_mb=88)
        before = gateway.resident_bytes()
        started = time.monotonic()
        _, response = self.open(gateway, f"/read/{1 << 50}/{1 << 50}", deadline_ms=1500)
        self.assertEqual(response.status, 200)
        try:
            while response.read(MB):
                pass
        except (http.client.IncompleteRead, OSError):
            pass
        self.assertLess(time.monotonic() - started, 2.5)
        self.assertLess(gateway.resident_bytes() - before, 16 * MB)
        self.assertEqual(gateway.metric("vl_gateway_open_sends"), 0)

    def test_response_that_is_cut_after_its_start_was_relayed_is_incomplete_and_not_repeated(self):
        gateway = self.start(memory_mb=88)
        for method, prefix in (("GET", "/read"), ("POST", "/pay")):
            path = f"{prefix}/{24 * MB}/{8 * MB}/end"
            self.assertEqual(self.read(gateway, path, method=method), (200, None))
            self.assertEqual(len(self.runs(path)), 1)
        self.assertEqual(gateway.metric("vl_gateway_open_sends"), 0)

    def test_response_that_is_cut_before_it_was_relayed_is_repeated_where_it_may_be(self):
        gateway = self.start(memory_mb=88)
        size = 24 * MB
        self.servers[0].cut_at = 64 * KB
        for _ in range(6):
            self.assert_whole(self.read(gateway, f"/read/{size}/{size}"), size)
        statuses = [self.read(gateway, f"/pay/{size}/{size}", method="POST")[0] for _ in range(6)]
        self.assertLessEqual(set(statuses), {200, 502})
        self.assertLessEqual(len(self.runs(f"/pay/{size}/{size}")), 6)

    def test_response_without_length_beyond_the_limit_returns_502(self):
        gateway = self.start(memory_mb=88)
        for form in ("chunked", "unframed"):
            self.assertEqual(self.read(gateway, f"/read/{3 * MB}/{3 * MB}/{form}")[0], 502)

    def test_caller_that_leaves_midway_ends_the_work_at_the_server(self):
        gateway = self.start(memory_mb=88)
        caller, response = self.open(gateway, f"/read/{24 * MB}/{6 * MB}/open")
        response.read(5 * MB)
        left = time.monotonic()
        response.close()
        caller.close()
        self.assertTrue(wait_until(lambda: any(server.aborted for server in self.servers), 2))
        self.assertLess(time.monotonic() - left, 0.5)

    def test_pipelined_requests_of_a_caller_that_does_not_read_do_not_use_up_memory(self):
        gateway = self.start(memory_mb=88)
        before = gateway.resident_bytes()
        size = MB
        caller = Caller(gateway)
        self.addCleanup(caller.close)
        caller.connection.connect()
        for number in range(64):
            fields = "".join(f"{name}: {value}\r\n" for name, value in caller.headers({}).items())
            caller.connection.sock.sendall(f"GET /read/{size}/{size} HTTP/1.1\r\n{fields}\r\n".encode())
        time.sleep(1)
        self.assertLess(gateway.resident_bytes() - before, 16 * MB)
        received = 0
        reader = caller.connection.sock.makefile("rb")
        for number in range(64):
            self.assertIn(b" 200 ", reader.readline())
            while reader.readline() != b"\r\n":
                pass
            received += reader.read(size) == content(size)
        self.assertEqual(received, 64)

    def test_events_of_other_callers_are_not_delayed_by_a_large_response(self):
        gateway = self.start(memory_mb=88)
        size = 24 * MB
        reader = threading.Thread(target=lambda: [self.read(gateway, f"/read/{size}/{size}") for _ in range(3)])
        reader.start()
        caller = Caller(gateway)
        self.addCleanup(caller.close)
        for number in range(20):
            started = time.monotonic()
            self.assertEqual(caller.send("POST", f"/pay/x{number}", b"x").status, 200)
            self.assertLess(time.monotonic() - started, 1)
        reader.join()


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
