"""Tests that callers outside the limits end no gateway: it lives, its resident memory stays under what its settings
name and its descriptors under their limit, and it answers an ordinary request while the crowd is connected (unless the
crowd holds all connections) and after it has left, then the largest one inside the limits.

Usage: abuse_test.py GATEWAY_BINARY [unittest option...]

No check depends on the machine's speed. One line for each form goes to standard output: the peaks.
"""
import concurrent.futures
import itertools
import socket
import sys
import unittest

import gateway_test
import standin
from crowd import Crowd, descriptors, peak_bytes
from gateway_test import HOST, Caller, GatewayCase
from large_response_test import SizedServer

KB, MB = 1 << 10, 1 << 20
MEMORY_MB = 96
MAX_DESCRIPTORS = 1200
MAX_BODY = 4 * MB
numbers = itertools.count(1 << 40)


def head(path, framing="", method="POST"):
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {next(numbers):016x}\r\n"
            f"Deadline-Ms: 12000\r\n{framing}\r\n").encode()


def chunk(data, extension=b""):
    return b"%x%s\r\n%s\r\n" % (len(data), extension, data)


def announced(size, sent, piece=256 * KB):
    """A body of which `sent` of `size` announced bytes are sent."""
    yield head("/pay/announced", f"Content-Length: {size}\r\n")
    for start in range(0, sent, piece):
        yield b"x" * min(piece, sent - start)


def chunked(size, piece, batch=1, extra=""):
    """A body in chunks of `piece` bytes that stops before its last chunk; `batch` of them are sent together."""
    yield head("/pay/chunked", f"Transfer-Encoding: chunked\r\n{extra}")
    data = chunk(b"x" * piece) * batch
    for _ in range(size // (piece * batch)):
        yield data


def reads(size, count=1):
    """`count` pipelined requests, whose responses have `size` bytes."""
    for _ in range(count):
        yield head(f"/read/{size}/{size}", method="GET")


class AbuseCase(GatewayCase):
    def setUp(self):
        super().setUp()
        routes = [dict(route, timeoutMs=12000) for route in gateway_test.ROUTES]
        self.platform.configure(routes, maxBodyBytes=MAX_BODY)
        for server in self.tools:
            self.platform.run(self.platform.store.put, "servers", server.identity, None)
        self.servers = [self.platform.add(SizedServer, f"s-{number}", "tools") for number in range(2)]
        self.gateway = self.start(memory_mb=MEMORY_MB, max_fds=MAX_DESCRIPTORS)
        self.crowd = Crowd(self.gateway)
        self.addCleanup(self.crowd.leave)

    def answer_ordinary(self):
        caller = Caller(self.gateway)
        self.addCleanup(caller.close)
        return caller.send("POST", "/pay/ordinary", b"amount=5").status

    def check(self, connected_answer=True):
        """Call with the crowd still connected."""
        self.assertIsNone(self.gateway.process.poll(), "the process has ended")
        statuses = [self.answer_ordinary()] if connected_answer else []
        self.crowd.leave()
        # Without waiting: whatever the crowd held must not keep this one out.
        statuses.append(self.answer_ordinary())
        peak, open_descriptors = peak_bytes(self.gateway), self.crowd.peak_descriptors
        print(f"\n{self._testMethodName}: peak {peak >> 20} MB, {open_descriptors} descriptors, answers {statuses}",
              flush=True)
        self.assertLessEqual(set(statuses), {200})
        self.assertLessEqual(peak, MEMORY_MB * MB)
        self.assertLessEqual(max(open_descriptors, descriptors(self.gateway)), MAX_DESCRIPTORS)
        caller = Caller(self.gateway)
        self.addCleanup(caller.close)
        self.assertTrue(gateway_test.wait_until(lambda: descriptors(self.gateway) < 100, 20))
        self.assertEqual(caller.send("POST", "/pay/largest", b"x" * MAX_BODY).status, 200)
        self.assertLessEqual(peak_bytes(self.gateway), MEMORY_MB * MB)


class AbuseTest(AbuseCase):
    def test_bodies_announced_far_over_the_limit(self):
        self.crowd.join(80, lambda _: announced(1 << 30, 16 * MB)).play(3)
        self.check()

    def test_bodies_sent_far_over_the_limit(self):
        self.crowd.join(80, lambda _: chunked(16 * MB, 256 * KB)).play(4)
        self.check()

    def test_large_chunks_that_stop_short(self):
        """Guards against bodies in chunks, which no length announces, that use up memory together."""
        self.crowd.join(80, lambda _: chunked(39 * MB // 10, 256 * KB)).play(5)
        self.check()

    def test_announced_bodies_that_stop_short(self):
        self.crowd.join(80, lambda _: announced(MAX_BODY, 39 * MB // 10)).play(5)
        self.check()

    def test_chunks_without_end(self):
        self.crowd.join(60, lambda _: chunked(64 * MB, 64 * KB)).play(5)
        self.check()

    def test_small_chunks_that_stop_short(self):
        self.crowd.join(400, lambda _: chunked(190 * KB, 16, 256)).play(6)
        self.check()

    def test_smallest_chunks_that_stop_short(self):
        self.crowd.join(60, lambda _: chunked(256 * KB, 1, 2048)).play(6)
        self.check()

    def test_chunks_that_trickle(self):
        """Guards against large holders that always show some progress."""
        def trickle(_):
            yield from chunked(3 * MB, 256 * KB)
            yield from itertools.repeat(chunk(b"x"))
        self.crowd.join(60, trickle).play(8)
        self.check()

    def test_whole_bodies_for_a_server_that_does_not_respond(self):
        """Guards against requests in progress that use up memory: each holds its body until its time limit."""
        for server in self.servers:
            server.plan["/pay/announced"] = "hang"
        self.crowd.join(60, lambda _: announced(MAX_BODY, MAX_BODY)).play(5)
        self.check()

    def test_long_responses_that_many_read_slowly(self):
        self.crowd.join(200, lambda _: reads(MB), read_rate=4 * KB).play(8)
        self.check()

    def test_relayed_responses_that_many_read_slowly(self):
        self.crowd.join(200, lambda _: reads(6 * MB), read_rate=4 * KB).play(6)
        self.check()

    def test_streams_with_large_events_unread(self):
        for server in self.platform.servers.values():
            server.plan["/turn/unread"] = "endless-events"
        self.crowd.join(60, lambda _: [head("/turn/unread", "Content-Length: 0\r\n")], read_rate=0).play(6)
        self.check()

    def test_responses_without_length_or_end(self):
        """Guards against servers that send without end to many requests at once."""
        for server in self.servers:
            server.plan["/pay/endless"] = "endless-body"
        self.crowd.join(100, lambda _: [head("/pay/endless", "Content-Length: 0\r\n")]).play(4)
        self.check()

    def test_many_kept_connections(self):
        self.crowd.join(900, lambda _: [head("/pay/kept", "Content-Length: 1\r\n") + b"x"]).play(3)
        self.check(connected_answer=False)

    def test_resets_in_the_middle(self):
        for _ in range(4):
            self.crowd.join(60, lambda _: chunked(3 * MB, 64 * KB), end="reset").play(2)
            self.crowd.join(30, lambda _: reads(MB), read_rate=4 * KB, end="reset").play(1)
        self.check()

    def test_expected_continue_that_never_follows(self):
        framing = f"Content-Length: {MAX_BODY}\r\nExpect: 100-continue\r\n"
        self.crowd.join(300, lambda _: [head("/pay/continue", framing)]).play(3)
        self.check()

    def test_trailers_and_chunk_extensions_without_end(self):
        def extension(_):
            yield head("/pay/extension", "Transfer-Encoding: chunked\r\n") + b"5;x="
            yield from itertools.repeat(b"y" * 16 * KB, 256)

        def trailer(_):
            yield head("/pay/trailer", "Transfer-Encoding: chunked\r\n") + chunk(b"x") + b"0\r\n"
            yield from (b"X-Field-%d: y\r\n" % number * 512 for number in range(512))
        self.crowd.join(100, extension).join(100, trailer).play(4)
        self.check()

    def test_heads_without_end(self):
        def endless(_):
            yield head("/pay/head")[:-2]
            yield from itertools.repeat(b"X-Field: y\r\n" * 64, 4096)
        self.crowd.join(200, endless).play(3)
        self.check()

    def test_half_closed_connections(self):
        self.crowd.join(60, lambda _: chunked(3 * MB, 256 * KB), end="half-close")
        self.crowd.join(100, lambda _: reads(MB), read_rate=4 * KB, end="half-close").play(6)
        self.check()

    def test_pipelined_requests_whose_responses_pile_up(self):
        self.crowd.join(100, lambda _: reads(100 * KB, 200), read_rate=0).play(6)
        self.check()

    def test_all_forms_together(self):
        for server in self.platform.servers.values():
            server.plan["/turn/unread"] = "endless-events"
        self.crowd.join(40, lambda _: chunked(39 * MB // 10, 256 * KB))
        self.crowd.join(80, lambda _: chunked(190 * KB, 16, 256))
        self.crowd.join(60, lambda _: reads(MB), read_rate=4 * KB)
        self.crowd.join(20, lambda _: [head("/turn/unread", "Content-Length: 0\r\n")], read_rate=0)
        self.crowd.join(20, lambda _: announced(1 << 30, 16 * MB))
        self.crowd.join(20, lambda _: chunked(64 * MB, 64 * KB)).play(8)
        self.check()

    def test_large_bodies_at_the_listener_for_readiness(self):
        """Guards against the listeners that other processes use."""
        self.crowd.join(80, lambda _: chunked(39 * MB // 10, 256 * KB), port=self.gateway.ready_port)
        self.crowd.join(40, lambda _: announced(MAX_BODY, 39 * MB // 10), port=self.gateway.ready_port).play(5)
        self.assertTrue(self.gateway.is_ready() or self.gateway.is_ready())
        self.check()


class ConversationTest(AbuseCase):
    """Callers inside the limits whose conversations are large."""

    INPUT = 300 * KB
    TURNS = 8

    def setUp(self):
        super().setUp()
        routes = [dict(route, timeoutMs=12000) for route in gateway_test.ROUTES]
        routes.append({"prefix": "/chat/", "kind": "streaming", "service": "models", "stateful": True, "sticky": True,
                       "timeoutMs": 12000})
        self.platform.configure(routes, maxBodyBytes=MAX_BODY)
        # Has room for all of them.
        self.writer = self.start(name="edge-2", memory_mb=2048)
        self.set_gap(0.001)

    def set_gap(self, seconds):
        for server in self.platform.servers.values():
            if isinstance(server, standin.Engine):
                server.gap_s = seconds

    def turn(self, program, previous, size):
        named = f"Previous-Turn: {previous}\r\n" if previous else ""
        identity = f"{next(numbers):016x}"
        text = (f"POST /chat/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {identity}\r\nDeadline-Ms: 12000\r\n"
                f"Program-Id: {program}\r\nSession-Id: {program}\r\nFinish-Ms: 60000\r\nModel: m\r\n"
                f"Token-Budget: 1000000\r\nToken-Count: 100,30\r\nPrompt-Prefix: 5c1e07a2:100\r\n"
                f"{named}Content-Length: {size}\r\n\r\n")
        return identity, text.encode() + b"x" * size

    def converse(self, program, gateway):
        """A conversation of TURNS turns. Returns the id of the last one."""
        last = None
        for _ in range(self.TURNS):
            last, text = self.turn(program, last, self.INPUT)
            with socket.create_connection(("127.0.0.1", gateway.front), 20) as connection:
                connection.sendall(text)
                received = b""
                while b"\r\n0\r\n\r\n" not in received:
                    data = connection.recv(65536)
                    self.assertTrue(data, received)
                    received += data
            self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)
        return last

    def play(self, lasts, gap_s=0.3, at_once=200):
        """Turns that name `lasts`, `at_once` of them a second, while servers take `gap_s` for each of six events.
        Returns their statuses."""
        self.set_gap(gap_s)
        first = len(self.crowd.members)
        for start in range(0, len(lasts), at_once):
            some = lasts[start:start + at_once]
            self.crowd.join(len(some), lambda number, some=some: [self.turn(f"c{next(numbers)}", some[number], 1000)[1]])
            self.crowd.play(1)
        self.crowd.play(8 * gap_s + 1)
        answers = [member.received[9:12] for member in self.crowd.members[first:]]
        print(f"\n{self._testMethodName}: " + ", ".join(f"{answers.count(each)} x {each.decode() or 'none'}"
                                                        for each in sorted(set(answers))))
        self.set_gap(0.001)
        return answers

    def test_conversation_that_many_continue(self):
        """Guards against review/8: a copy of the conversation for each turn that is sent."""
        last = self.converse("p1", self.gateway)
        answers = self.play([last] * 120)
        self.check()
        self.assertEqual(answers.count(b"200"), 120)

    def test_many_large_conversations(self):
        """Guards against conversations that requests keep in memory beside the bounded cache, and against those that are
        read from the store at the same time."""
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            lasts = list(pool.map(lambda n: self.converse(f"q{n}", self.writer), range(48)))
        answers = self.play(lasts, gap_s=1.2, at_once=8)
        self.check()
        self.assertGreater(answers.count(b"200"), 0)
        # A refusal promises that the turn has not run.
        self.assertLessEqual(set(answers), {b"200", b"503"})
        # In calm each is served.
        self.assertEqual(self.play(lasts[-1:]), [b"200"])


class EndlessAnswerTest(AbuseCase):
    """Answers without end that are not those of a server to its first request."""

    FORMS = ("endless-head", "endless-interim", "endless-chunk-header", "endless-trailer", "endless-body")

    def test_store_that_answers_without_end(self):
        """Guards against a store, or whatever stands in its way, that sends until the caller closes: the calls kept it
        all, several at a time, and ended the requests of other callers with the process."""
        for form in self.FORMS:
            self.platform.store.mode = form
            # Turns need the store; they are refused.
            self.crowd.join(20, lambda _: [head("/turn/x", "Program-Id: p\r\nSession-Id: p\r\nModel: m\r\n"
                                                "Token-Budget: 1000\r\nToken-Count: 10,30\r\n"
                                                "Prompt-Prefix: aa:10\r\nFinish-Ms: 9000\r\nContent-Length: 0\r\n")])
            self.crowd.play(2)
            self.assertIsNone(self.gateway.process.poll(), form)
            print(f"\n{form}: peak {peak_bytes(self.gateway) >> 20} MB", flush=True)
        self.platform.store.mode = "ok"
        self.check()

    def test_streams_that_are_resumed_without_end(self):
        """Guards against a server that answers a request to go on with a stream by bytes without end."""
        for form in self.FORMS:
            for server in self.platform.servers.values():
                server.plan["/turn/" + form] = "resumed-" + form
            self.crowd.join(20, lambda _, form=form: [head("/turn/" + form, "Model: m\r\nContent-Length: 0\r\n")])
            self.crowd.play(2)
            self.assertIsNone(self.gateway.process.poll(), form)
            print(f"\n{form}: peak {peak_bytes(self.gateway) >> 20} MB", flush=True)
        self.check()


class SmallestMachineTest(GatewayCase):
    def test_largest_request_is_served_in_calm(self):
        """Guards against a limit that a single request inside the configuration's limits meets."""
        self.platform.configure(gateway_test.ROUTES, maxBodyBytes=MAX_BODY)
        for memory_mb in (62, 88):
            gateway = self.start(memory_mb=memory_mb, max_fds=MAX_DESCRIPTORS)
            for framing in ({}, {"encode_chunked": True}):
                caller = Caller(gateway)
                body = iter([b"x" * (256 * KB)] * 16) if framing else b"x" * MAX_BODY
                headers = caller.headers({"Transfer-Encoding": "chunked"} if framing else {})
                caller.connection.request("POST", "/pay/largest", body, headers, **framing)
                self.assertEqual(caller.connection.getresponse().status, 200)
                caller.close()
            self.assertLessEqual(peak_bytes(gateway), memory_mb * MB)


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
