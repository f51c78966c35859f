"""Tests servers that respond before they have read a request, on every kind of route, against stand-ins for the users'
platform.

Usage: early_response_test.py GATEWAY_BINARY [unittest option...]
"""
import asyncio
import re
import sys
import unittest

import gateway_test
import standin
from gateway_test import Caller, wait_until
from unusable_response_test import MARK, Response, Server, UnusableResponseCase

# Body of all requests, larger than what the buffers of a connection hold.
UPLOAD = b"u" * (8 << 20)
# An event of a stream whose first two a client has.
EVENT = b"id: 3\ndata: x\n\n"


class EarlyResponse(Response):
    """A response that is sent when the head of a request is read. `end`: what follows `delay_s` later, with the request
    still unread: "reset", "close", "close-reset" (the reset as long after the close) or "read" (the server reads on)."""

    def __init__(self, end="reset", delay_s=0.0, head_bytes=None, **response):
        super().__init__(**response)
        self.end, self.delay_s, self.head_bytes = end, delay_s, head_bytes

    def encode(self, own_fields, head_only):
        return super().encode(own_fields, head_only)[:self.head_bytes]


class EarlyServer(Server):
    """Responds as `forms` says before it reads the body of a request."""

    def __init__(self, identity, service):
        super().__init__(identity, service)
        # Bytes that came on connections after a response, beyond the request's body.
        self.surplus = 0

    async def read(self, reader):
        request = await standin.read_head(reader)
        if request is not None and self.form_of(request) is None:
            await standin.read_body(reader, request)
        return request

    async def handle(self, request, reader, writer):
        form = self.form_of(request)
        if form is None:
            return await super().handle(request, reader, writer)
        # Ends the connection in its own way.
        await super().handle(request, reader, writer)
        await writer.drain()
        await asyncio.sleep(form.delay_s)
        if form.end == "read":
            await self.read_rest(request, reader)
        if form.end.startswith("close"):
            writer.write_eof()
            await asyncio.sleep(form.delay_s if form.end == "close-reset" else 1)
        if form.end.endswith("reset"):
            self.reset(writer)
        return False

    async def read_rest(self, request, reader):
        size = 0
        while piece := await reader.read(65536):
            size += len(piece)
        self.surplus += max(0, size - int(request.headers["content-length"]))


def is_whole(received):
    """Whether a client takes these bytes for a complete response."""
    head, _, body = received.partition(b"\r\n\r\n")
    length = re.search(rb"^content-length: *(\d+)", head, re.M | re.I)
    if length:
        return len(body) == int(length.group(1))
    return body.endswith(b"0\r\n\r\n") if b"chunked" in head.lower() else bool(head)


class EarlyResponseCase(UnusableResponseCase):
    SERVER = EarlyServer
    BODY = UPLOAD
    REQUESTS = [("PUT", "/read/", {}), ("POST", "/pay/", {}), ("POST", "/once/", {}), ("POST", "/turn/", {}),
                ("POST", "/turn/again/", {"Last_Event_Id": "2", "Resumes": "a1"}), ("POST", "/turn/taken-up/", {})]
    # Each reset comes at once and while the client waits for room in the connection.
    DELAYS = {"at-once": 0.0, "later": 0.1}


class CutResponseTest(EarlyResponseCase):
    """Guards against a part of a response that is taken for all of it: the reset is reported to the write that is still in
    progress, and the next read reports an end of data."""

    PARTS = {"no-body": dict(coding="none"), "part": dict(coding="open"), "long-part": dict(coding="open", body=MARK * 8000),
             "error": dict(status="500 X", coding="open"), "in-head": dict(coding="open", head_bytes=60)}
    FORMS = {f"{name}-{when}": EarlyResponse(delay_s=delay_s, **part)
             for name, part in PARTS.items() for when, delay_s in EarlyResponseCase.DELAYS.items()}

    def test_response_that_is_reset_while_the_request_is_written(self):
        self.check_forms()

    def test_head_of_a_response_to_a_head_request(self):
        """Its response has no body, so that only its head can be cut."""
        self.gateway = self.start()
        for when in self.DELAYS:
            with self.subTest(form=when):
                self.check_all_faulty("HEAD", f"/read/in-head-{when}", {})
                self.check_one_faulty("HEAD", f"/read/in-head-{when}", {})


class CutStreamTest(EarlyResponseCase):
    """The same where what has come are whole events, which may be passed on."""

    FORMS = {when: EarlyResponse(delay_s=delay_s, coding="open", body=b"id: 1\ndata: x\n\n")
             for when, delay_s in EarlyResponseCase.DELAYS.items()}

    def test_stream_that_is_reset_while_the_request_is_written(self):
        self.gateway = self.start()
        for form in self.FORMS:
            with self.subTest(form=form):
                self.set_faulty(*self.servers)
                for prefix in ("/once/", "/turn/"):
                    received = self.exchange("POST", prefix + form, {})
                    self.assertIn(b"\nid: 1\n", received)
                    self.assertFalse(is_whole(received), received)
                # Another server goes on with it where the route allows it.
                for number in range(self.COUNT):
                    self.set_faulty(*self.servers[number::self.COUNT])
                    received = self.exchange("POST", f"/turn/{form}?{number}", {})
                    self.assertEqual(re.findall(rb"^id: (\d+)$", received, re.M), [b"%d" % n for n in range(1, 7)])
                    self.assertTrue(is_whole(received), received)
        self.assertTrue(all(server.spoiled and not server.reused for server in self.servers[self.COUNT:]))

    def test_turn_that_is_reset_while_it_is_written_is_no_part_of_its_conversation(self):
        self.gateway = self.start()
        self.set_faulty()
        # Inputs are limited, but each turn is sent with all before it.
        self.BODY = UPLOAD[:300 << 10]
        last = {}
        for _ in range(len(UPLOAD) // len(self.BODY)):
            self.assertTrue(is_whole(self.exchange("POST", "/chat/sound", last)))
            last = {"Previous_Turn": f"{Caller.count:016x}"}
        for form in self.FORMS:
            with self.subTest(form=form):
                self.set_faulty(*self.servers)
                received = self.exchange("POST", "/chat/" + form, last)
                self.assertFalse(is_whole(received), received)
                self.set_faulty()
                status, _ = self.check_at_once("POST", "/chat/sound", {"Previous_Turn": f"{Caller.count:016x}"})
                self.assertEqual(status, 404)
        self.assertTrue(is_whole(self.exchange("POST", "/chat/sound", last)))


class FramedCutResponseTest(EarlyResponseCase):
    """The same with a length that is not reached, and with chunks without the last one, of which a part may be passed on as
    such."""

    PARTS = {"length": dict(fields=b"Content-Length: 900000\r\n", body=MARK),
             "chunks": dict(fields=b"Transfer-Encoding: chunked\r\n", body=b"4\r\nleak\r\n")}
    FORMS = {f"{name}-{when}": EarlyResponse(delay_s=delay_s, coding="open", **part)
             for name, part in PARTS.items() for when, delay_s in EarlyResponseCase.DELAYS.items()}

    def test_response_that_is_reset_while_the_request_is_written(self):
        self.gateway = self.start()
        self.set_faulty(*self.servers)
        for form in self.FORMS:
            for method, prefix, extra in self.REQUESTS:
                with self.subTest(method=method, path=prefix + form):
                    received = self.exchange(method, prefix + form, extra)
                    self.assertFalse(received.startswith(b"HTTP/1.1 2") and is_whole(received), received)


class SoundEarlyResponseTest(EarlyResponseCase):
    """Guards against losing a whole response because the rest of the request cannot be written."""

    FORMS = {f"{coding}-{end}-{when}": EarlyResponse(end=end, delay_s=delay_s, coding=coding, body=EVENT)
             for coding, ends in {"length": ("read", "reset", "close"), "chunks": ("read", "reset"),
                                  "open": ("close", "close-reset")}.items()
             for end in ends for when, delay_s in EarlyResponseCase.DELAYS.items()}

    def test_whole_response_is_passed_on(self):
        self.gateway = self.start()
        self.set_faulty(*self.servers)
        for form in self.FORMS:
            for method, prefix, extra in [*self.REQUESTS, ("HEAD", "/read/", {}), ("HEAD", "/pay/", {})]:
                with self.subTest(method=method, path=prefix + form):
                    status, received = self.check_at_once(method, prefix + form, extra)
                    self.assertEqual(status, 200)
                    if method == "HEAD":
                        self.assertTrue(received.endswith(b"\r\n\r\n"), received)
                        continue
                    self.assertTrue(is_whole(received), received)
                    self.assertEqual(received.count(EVENT), 1)
        for server in self.servers:
            self.assertEqual((server.reused, server.surplus), ([], 0))
        self.assertTrue(wait_until(lambda: self.gateway.metric("vl_gateway_open_sends") == 0))


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
