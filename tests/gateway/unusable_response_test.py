"""Tests servers whose responses cannot be used, on every kind of route, against stand-ins for the users' platform.

Usage: unusable_response_test.py GATEWAY_BINARY [unittest option...]
"""
import asyncio
import re
import socket
import sys
import time
import unittest

import gateway_test
import standin
from conversation_test import ConversationCase, output
from gateway_test import Caller, GatewayCase, turn, wait_until

# Time limit of a request, and a bound for what must not wait for it.
LIMIT_MS = 10000
AT_ONCE_S = 5
# Part of everything that must not reach a caller.
MARK = b"leak"


class Response:
    """How a server responds. `status`: code and reason; `fields`: lines besides the server's own fields; `coding`: how the
    body is framed; `trailer`: lines after a body in chunks; `then`: what follows 30 ms later on the same connection."""

    def __init__(self, status="200 X", fields=b"", coding="length", body=MARK, trailer=b"", then=None):
        self.status, self.fields, self.coding, self.body = status, fields, coding, body
        self.trailer, self.then = trailer, then

    def encode(self, own_fields, head_only):
        text = b"HTTP/1.1 " + self.status.encode() + b"\r\n" + self.fields
        text += b"".join(f"{name}: {value}\r\n".encode() for name, value in own_fields.items())
        chunks = b"%x\r\n%s\r\n0\r\n%s\r\n" % (len(self.body), self.body, self.trailer)
        framing, body = {"length": (b"Content-Length: %d\r\n" % len(self.body), self.body),
                         "chunks": (b"Transfer-Encoding: chunked\r\n", chunks),
                         "open": (b"", self.body), "none": (b"", b"")}[self.coding]
        return text + framing + b"\r\n" + (b"" if head_only else body)


class Server(standin.Engine):
    """Responds as `forms` says of the last part of the path; of a path with "taken-up" in it only to requests that take up
    a stream, which it breaks off before. `faulty`: whether it does so at all."""

    forms = {}

    def __init__(self, identity, service):
        super().__init__(identity, service)
        self.faulty = True
        self.spoiled = set()
        # Paths of requests on connections that carried an unusable response before.
        self.reused = []

    @staticmethod
    def breaks_off(request):
        return "taken-up" in request.path and not request.headers.get("last-event-id")

    def form_of(self, request):
        """The form of the response to a request; None if the server responds as usual."""
        if not self.faulty or self.breaks_off(request):
            return None
        return self.forms.get(request.path.split("/")[-1])

    async def handle(self, request, reader, writer):
        if writer in self.spoiled:
            self.reused.append(request.path)
        return await super().handle(request, reader, writer)

    async def run(self, request, reader, writer, behaviour):
        if self.breaks_off(request):
            return await standin.Engine.run(self, request, reader, writer, "break")
        form = self.form_of(request)
        if form is None:
            events = self.service == "models" and request.method != "HEAD"
            return await (standin.Engine if events else standin.Backend).run(self, request, reader, writer, "ok")
        self.spoiled.add(writer)
        fields = self.headers(request)
        if self.service == "models":
            fields["Content-Type"] = "text/event-stream"
        writer.write(form.encode(fields, request.method == "HEAD"))
        if form.then:
            await writer.drain()
            await asyncio.sleep(0.03)
            writer.write(form.then.encode(fields, request.method == "HEAD"))
        return True


class UnusableResponseCase(GatewayCase):
    """Sends a request for each form on each route to servers that all respond so, then to three of which one does. Every
    such response must be given up at once, and its connection never be used again."""

    FORMS = {}
    SERVER = Server
    # Servers of each service, and how many of them may run a request.
    COUNT = 3
    # Method, prefix, fields of the request.
    REQUESTS = [("GET", "/read/", {}), ("POST", "/pay/", {}), ("HEAD", "/read/", {}), ("HEAD", "/pay/", {}),
                ("POST", "/once/", {}), ("POST", "/turn/", {}), ("POST", "/chat/", {}), ("HEAD", "/turn/", {}),
                # A caller takes up its stream; the gateway does.
                ("POST", "/turn/again/", {"Last_Event_Id": "2", "Resumes": "a1"}), ("POST", "/turn/taken-up/", {})]
    # Body of the requests that have one.
    BODY = b""
    REPEATABLE = ("/read/", "/turn/", "/turn/again/", "/turn/taken-up/")

    def setUp(self):
        super().setUp()
        self.platform.configure(
            [dict(route, timeoutMs=LIMIT_MS, maxAttempts=self.COUNT) for route in gateway_test.ROUTES + [
                {"prefix": "/chat/", "kind": "streaming", "service": "models", "stateful": True}]],
            maxBodyBytes=max(65536, len(self.BODY)))
        for server in self.tools + self.models:
            self.platform.run(self.platform.store.put, "servers", server.identity, None)
        self.servers = [self.platform.add(self.SERVER, f"{service}-{number}", service, forms=self.FORMS)
                        for service in ("tools", "models") for number in range(self.COUNT)]

    def set_faulty(self, *servers):
        for server in self.servers:
            server.faulty = server in servers

    def exchange(self, method, path, extra):
        """Sends a request on a connection of its own. Returns all bytes of the response."""
        fields = Caller(self.gateway).headers({"Deadline-Ms": str(LIMIT_MS), "Connection": "close", **{
            name.replace("_", "-"): value for name, value in turn("p", budget=10**6, **extra).items()}})
        text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        length = "" if method == "GET" else f"Content-Length: {len(self.BODY)}\r\n"
        received = b""
        with socket.create_connection(("127.0.0.1", self.gateway.front), timeout=AT_ONCE_S) as connection:
            connection.sendall(f"{method} {path} HTTP/1.1\r\n{text}{length}\r\n".encode() + self.BODY)
            while piece := connection.recv(65536):
                received += piece
        return received

    def check_at_once(self, method, path, extra):
        """Returns status and bytes of a response, which must not wait for the limit of the request."""
        started = time.monotonic()
        received = self.exchange(method, path, extra)
        self.assertLess(time.monotonic() - started, AT_ONCE_S)
        self.assertNotIn(MARK, received.lower())
        return int(received.split(b" ", 2)[1]), received

    def check_all_faulty(self, method, path, extra):
        self.set_faulty(*self.servers)
        status, received = self.check_at_once(method, path, extra)
        if "taken-up" in path:
            # The events before the break, and no end of the response.
            self.assertEqual((status, re.findall(rb"^id: (\d+)$", received, re.M)), (200, [b"1", b"2"]))
            self.assertFalse(received.endswith(b"0\r\n\r\n"))
        else:
            self.assertEqual(status, 502)
            self.assertTrue(received.endswith(b"\r\n\r\n"), received)

    def check_one_faulty(self, method, path, extra):
        for number in range(self.COUNT):
            # One server of each service.
            self.set_faulty(*self.servers[number::self.COUNT])
            status, received = self.check_at_once(method, path + f"?{number}", extra)
            self.assertEqual(status, 200)
            if path.startswith("/turn/") and method != "HEAD":
                first = 3 if extra else 1
                self.assertEqual(re.findall(rb"^id: (\d+)$", received, re.M), [b"%d" % n for n in range(first, 7)])
                self.assertTrue(received.endswith(b"0\r\n\r\n"))

    def check_forms(self):
        self.gateway = self.start()
        for form in self.FORMS:
            for method, prefix, extra in self.REQUESTS:
                path = prefix + form
                with self.subTest(method=method, path=path):
                    before = len(self.runs(path))
                    self.check_all_faulty(method, path, extra)
                    if prefix in self.REPEATABLE:
                        self.check_one_faulty(method, path, extra)
                    else:
                        self.assertEqual(len(self.runs(path)) - before, 1)
        for server in self.servers:
            self.assertEqual(server.reused, [])
            self.assertTrue(server.spoiled)
        self.set_faulty()
        self.assertEqual(self.check_at_once("POST", "/pay/end", {})[0], 200)
        self.assertTrue(wait_until(lambda: self.gateway.metric("vl_gateway_open_sends") == 0))
        self.assertIsNone(self.gateway.process.poll())


class StatusTest(UnusableResponseCase):
    """Guards against a status that is none: passed on, or taken for an interim one, so that the caller waits or gets what
    follows."""

    FORMS = {status: Response(f"{status} X") for status in ("000", "001", "099", "600", "999")}
    FORMS |= {"chunks": Response("000 X", coding="chunks"), "no-reason": Response("000 ", coding="none"),
              "then": Response("000 X", body=b"", then=Response()),
              "head-then": Response("000", coding="none", then=Response())}

    def test_response_whose_status_is_out_of_range(self):
        self.check_forms()


MALFORMED_LINES = {"blank": b"Leak Field: x", "tab": b"Leak\tField: x", "control": b"Leak\x01Field: x",
                   "nul": b"Leak\0Field: x", "del": b"Leak\x7fField: x", "cr": b"Leak\rField: x", "vt": b"Leak\vField: x",
                   "byte": b"Leak\xe9: x",
                   "blank-end": b"Leak : x", "no-name": b": leak", "no-colon": b"Leak", "folded": b" Leak: x",
                   "length": b"Content Length: 1", "coding": b"Transfer\x01Encoding: chunked"}


class FieldNameTest(UnusableResponseCase):
    """Guards against a line that is no field being passed on, and against the body that it conceals."""

    FORMS = {name: Response(fields=line + b"\r\n") for name, line in MALFORMED_LINES.items()}
    FORMS |= {f"{name}-{status}": Response(f"{status} X", fields=MALFORMED_LINES[name] + b"\r\n")
              for name in ("blank", "control") for status in (103, 404, 503)}

    def test_response_with_a_malformed_field_name(self):
        self.check_forms()


class TrailerTest(UnusableResponseCase):
    """The same in a trailer, where a part of the response may have been passed on already."""

    FORMS = {name: Response(coding="chunks", trailer=MALFORMED_LINES[name] + b"\r\n") for name in ("blank", "control")}

    def test_response_with_a_malformed_field_name_in_its_trailer(self):
        # A HEAD has none.
        self.REQUESTS = [request for request in self.REQUESTS if request[0] != "HEAD"]
        self.check_forms()


class UpgradeTest(UnusableResponseCase):
    """Guards against waiting for a response on a connection that the server has switched to another protocol."""

    SWITCH = {"status": "101 X", "fields": b"Upgrade: leak\r\n", "coding": "none"}
    FORMS = {"alone": Response(**SWITCH), "then": Response(**SWITCH, then=Response())}

    def test_change_of_protocol_that_was_not_asked_for(self):
        self.check_forms()


class CodingTest(UnusableResponseCase):
    """Guards against a body in a coding that is unknown here: passed on as the body itself, or waited for to its end."""

    CODINGS = {"gzip": b"gzip", "gzip-chunked": b"gzip, chunked", "gzip-and-chunked": b"gzip\r\nTransfer-Encoding: chunked",
               "chunked-gzip": b"chunked, gzip", "identity": b"identity"}
    FORMS = {name: Response(fields=b"Transfer-Encoding: " + coding + b"\r\n", coding="open",
                            body=b"4\r\nleak\r\n0\r\n\r\n" if b"chunked" in coding else MARK)
             for name, coding in CODINGS.items()}
    FORMS |= {"gzip-length": Response(fields=b"Transfer-Encoding: gzip\r\n"),
              "length-gzip": Response(fields=b"Content-Length: 4\r\nTransfer-Encoding: gzip\r\n", coding="open")}

    def test_response_in_an_unknown_transfer_coding(self):
        # The response to a HEAD has no body.
        self.REQUESTS = [request for request in self.REQUESTS if request[0] != "HEAD"]
        self.check_forms()


class SoundResponseTest(UnusableResponseCase):
    """Guards against rejecting responses that are unusual but sound."""

    FORMS = {"299": Response("299 X"), "418": Response("418 X"), "599": Response("599 X"), "no-reason": Response("200 "),
             "empty": Response(fields=b"Odd:\r\n"), "tab": Response(fields=b"Odd: a\tb\r\n"),
             "utf-8": Response(fields="Odd: é\r\n".encode()), "token": Response(fields=b"X!#$%&'*+-.^_`|~1: x\r\n"),
             "early": Response("103 X", fields=b"Link: x\r\n", coding="none", then=Response()),
             "early-events": Response("103 X", coding="none", then=Response(body=b"id: 3\ndata: x\n\n"))}

    def test_unusual_response_is_passed_on(self):
        self.gateway = self.start()
        for name, form in self.FORMS.items():
            body = (form.then or form).body
            for method, path in (("GET", "/read/" + name), ("POST", "/pay/" + name), ("HEAD", "/read/" + name)):
                with self.subTest(method=method, path=path):
                    received = self.exchange(method, path, {})
                    status = (form.then or form).status.split(" ")[0].encode()
                    self.assertEqual(received.split(b" ", 2)[1][:3], status)
                    self.assertTrue(received.endswith(b"\r\n\r\n" if method == "HEAD" else b"\r\n\r\n" + body), received)
                    if form.fields:
                        self.assertEqual(form.fields.replace(b":\r", b": \r") in received, not form.then)
        # Their connections go on to be used.
        self.assertTrue(any(server.reused for server in self.servers))

    def test_stream_after_an_early_response_is_passed_on(self):
        self.gateway = self.start()
        for path, extra in (("/once/", {}), ("/turn/", {}), ("/chat/", {}),
                            ("/turn/again/", {"Last_Event_Id": "2", "Resumes": "a1"})):
            with self.subTest(path=path):
                received = self.exchange("POST", path + "early-events", extra)
                self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)
                self.assertEqual(received.count(b"id: 3\ndata: x\n\n"), 1)
                self.assertTrue(received.endswith(b"0\r\n\r\n"))


class OddStore(standin.StoreProxy):
    """Sends `first` ahead of every third response, which follows 20 ms later."""

    def __init__(self, store):
        super().__init__(store)
        self.first = b""
        self.calls = 0
        self.sent = 0

    async def handle(self, request, reader, writer):
        self.calls += 1
        if self.first and self.calls % 3 == 0:
            self.sent += 1
            writer.write(self.first)
            await writer.drain()
            await asyncio.sleep(0.02)
        return await super().handle(request, reader, writer)


class StoreTest(ConversationCase):
    """Guards against responses of the store that are given to the next call, or taken for what they are not."""

    TURNS = 40

    def check(self, first):
        """A conversation goes on, and each turn has all turns before it. Returns the gateway."""
        store = self.platform.call(self.platform.make(OddStore, self.platform.store))
        self.addCleanup(lambda: self.platform.call(store.stop()))
        gateway = self.start(store_port=store.port)
        self.platform.run(setattr, store, "first", first)
        last, expected = None, b""
        for number in range(self.TURNS):
            text = f"turn {number} ".encode()
            status, last, _ = self.say(gateway, text, last)
            self.assertEqual(status, 200)
            self.assertEqual(self.prompts()[last], expected + text)
            expected += text + output()
        self.assertGreater(store.sent, self.TURNS // 6)
        self.assertEqual(gateway.log().count("store_answer_unreadable"), 0)
        return gateway

    def test_interim_responses_of_the_store(self):
        gateway = self.check(b"HTTP/1.1 103 X\r\nLink: x\r\n\r\n")
        self.assertEqual(gateway.log().count("status 103"), 0)

    def test_responses_of_the_store_whose_status_is_out_of_range(self):
        self.check(b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n")

    def test_responses_of_the_store_with_a_malformed_field_name(self):
        self.check(b"HTTP/1.1 200 X\r\nBad Name: x\r\nContent-Length: 0\r\n\r\n")


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
