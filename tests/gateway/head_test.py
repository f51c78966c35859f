"""Tests HEAD requests on every kind of route, against stand-ins for the users' platform.

Usage: head_test.py GATEWAY_BINARY [unittest option...]
"""
import socket
import sys
import unittest

import gateway_test
import standin
from gateway_test import Caller, GatewayCase, turn

LENGTH = 54321


class HeadServer(standin.Backend):
    """Responds to HEAD with the fields that a GET would have, by the last part of the path."""

    FIELDS = {
        "length": {"Content-Length": str(LENGTH)},
        "large": {"Content-Length": str(1 << 40)},
        "chunked": {"Transfer-Encoding": "chunked"},
        "unframed": {},
        "events": {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"},
        "events-unframed": {"Content-Type": "text/event-stream"},
        "missing": {"Content-Length": "9"},
    }

    async def run(self, request, reader, writer, behaviour):
        form = request.path.split("/")[-1]
        if request.method != "HEAD" or form not in self.FIELDS:
            return await super().run(request, reader, writer, behaviour)
        status = 404 if form == "missing" else 200
        fields = {**self.headers(request), **self.FIELDS[form]}
        text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"HTTP/1.1 {status} X\r\n{text}\r\n".encode())
        return True


class HeadTest(GatewayCase):
    """Guards against a HEAD that gets a body, a false length, 502, or a connection that cannot be used any more."""

    ROUTES = {"/read/": "tools", "/pay/": "tools", "/turn/": "models", "/once/": "models", "/chat/": "models"}

    def setUp(self):
        super().setUp()
        self.platform.configure(gateway_test.ROUTES + [
            {"prefix": "/chat/", "kind": "streaming", "service": "models", "stateful": True}])
        for server in self.tools + self.models:
            self.platform.run(self.platform.store.put, "servers", server.identity, None)
        self.servers = [self.platform.add(HeadServer, f"h-{service}", service) for service in ("tools", "models")]

    def raw_head(self, connection, path, **extra):
        """Sends a HEAD and returns status, fields and all bytes that follow the head within 0.1 s."""
        fields = {name.replace("_", "-"): value for name, value in dict(turn("p", budget=100000), **extra).items()}
        fields = Caller(self.gateway).headers(fields)
        text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        connection.sendall(f"HEAD {path} HTTP/1.1\r\n{text}\r\n".encode())
        received = b""
        connection.settimeout(3)
        while b"\r\n\r\n" not in received:
            piece = connection.recv(65536)
            self.assertTrue(piece, received)
            received += piece
        connection.settimeout(0.1)
        try:
            received += connection.recv(65536)
        except TimeoutError:
            pass
        head, _, rest = received.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        fields = [line.split(": ", 1) for line in lines[1:]]
        return int(lines[0].split()[1]), {name.lower(): value for name, value in fields}, rest

    def test_head_of_every_route_and_form_of_response(self):
        self.gateway = self.start(memory_mb=88)
        for prefix, service in self.ROUTES.items():
            with socket.create_connection(("127.0.0.1", self.gateway.front)) as connection:
                for form, expected in HeadServer.FIELDS.items():
                    with self.subTest(route=prefix, form=form):
                        path = prefix + form
                        status, fields, rest = self.raw_head(connection, path)
                        self.assertEqual((status, rest), (404 if form == "missing" else 200, b""))
                        self.assertEqual(fields.get("server-seal"), f"seal-h-{service}")
                        self.assertEqual(fields.get("content-length"), expected.get("Content-Length"))
                        self.assertEqual(fields.get("content-type"), expected.get("Content-Type"))
                        self.assertEqual(len(self.runs(path)), 1)
                        self.assertNotIn("connection", fields)
        self.assertEqual(self.gateway.metric("vl_gateway_open_sends"), 0)

    def test_connections_serve_other_requests_after_a_head(self):
        self.gateway = self.start()
        for prefix in ("/read/", "/pay/"):
            caller = Caller(self.gateway)
            self.addCleanup(caller.close)
            for form in HeadServer.FIELDS:
                caller.connection.request("HEAD", prefix + form, None, caller.headers({}))
                self.assertEqual(caller.connection.getresponse().read(), b"")
                response = caller.send("POST", prefix + "next", b"x")
                self.assertEqual((response.status, response.text), (200, f"h-tools ran {prefix}next"))

    def test_refusal_of_a_head_has_no_body(self):
        self.gateway = self.start()
        self.plan("/pay/length", "shed")
        with socket.create_connection(("127.0.0.1", self.gateway.front)) as connection:
            for path, expected in (("/pay/length", 503), ("/none/1", 404)):
                status, fields, rest = self.raw_head(connection, path)
                self.assertEqual((status, fields.get("content-length", "0"), rest), (expected, "0", b""))

    def test_head_uses_up_no_budget_and_leaves_no_turn(self):
        self.gateway = self.start()
        with socket.create_connection(("127.0.0.1", self.gateway.front)) as connection:
            for number in range(20):
                status, _, _ = self.raw_head(connection, "/turn/events", Program_Id="small", Token_Budget="150")
                self.assertEqual(status, 200)
            status, fields, _ = self.raw_head(connection, "/chat/events", Program_Id="c")
            self.assertEqual(status, 200)
        self.assertEqual(self.platform.store.table("turns"), {})


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
