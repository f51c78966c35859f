"""Tests organisations and their keys, against stand-ins for the users' platform.

Usage: organisation_test.py GATEWAY_BINARY [unittest option...]
"""
import signal
import socket
import sys
import threading
import time
import unittest

import gateway_test
import standin
from gateway_test import Caller, GatewayCase, turn, wait_until

ROUTES = gateway_test.ROUTES + [
    {"prefix": "/open/", "kind": "non_idempotent", "service": "tools", "anonymous": True},
    {"prefix": "/chat/", "kind": "streaming", "service": "models", "stateful": True},
]
NORTH, NORTH_2, SOUTH = "northkey1secret", "northkey2secret", "southkey1secret"
ORGANISATIONS = {"north": [NORTH, NORTH_2], "south": [SOUTH]}
WITHOUT_NORTH = {"north": [NORTH_2], "south": [SOUTH]}
BOUND_MS = 3000


class OrganisationCase(GatewayCase):
    def setUp(self):
        super().setUp()
        self.platform.configure(ROUTES, ORGANISATIONS)

    def send(self, gateway, path, key=NORTH, **extra):
        """Sends a request on a new connection."""
        caller = Caller(gateway)
        if key is not None:
            extra["X_Api_Key"] = key
        try:
            return caller.send("POST", path, b"x", **extra)
        finally:
            caller.close()

    def raw(self, gateway, fields, path="/pay/1", body=b""):
        """Sends a request with the given header lines. Returns the start of the response."""
        head = f"POST {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: 77\r\nDeadline-Ms: 2000\r\n".encode()
        with socket.create_connection(("127.0.0.1", gateway.front), timeout=5) as connection:
            connection.sendall(head + fields + b"\r\n" + body)
            return connection.recv(4096).split(b"\r\n")[0]

    def strict(self, **options):
        bounds = f"revokeStrict: true\n  revokeMs: {BOUND_MS}"
        return self.start(bounds=bounds, **options)

    def run_headers(self, path):
        return [headers for _, _, headers, _ in self.runs(path)]


class KeyTest(OrganisationCase):
    def test_server_gets_the_organisation_and_never_the_key(self):
        """Guards against a key that is passed on, and against callers that name their own organisation."""
        gateway = self.start()
        for number, (key, name) in enumerate([(NORTH, "north"), (NORTH_2, "north"), (SOUTH, "south")]):
            path = f"/pay/{number}"
            self.tools[0].plan[path] = "shed"
            response = self.send(gateway, path, key, Tenant="west", X_Extra="kept")
            self.assertEqual(response.status, 200)
            headers, = self.run_headers(path)
            self.assertEqual((headers["tenant"], headers["x-extra"]), (name, "kept"))
            self.assertNotIn("x-api-key", headers)
            self.assertNotIn("secret", str(headers))
        self.assertNotIn("secret", gateway.log())

    def test_bad_keys_are_refused_and_nothing_runs(self):
        """Guards against requests that run without the right key, and against keys in logs."""
        gateway = self.start()
        for key in (None, "", " ", NORTH[:-1], NORTH + "x", NORTH.upper(), f"{NORTH},{NORTH_2}", f"{NORTH} {SOUTH}",
                    "secret" * 2000, "\xe9\xffsecret"):
            with self.subTest(key=key and key[:40]):
                self.assertEqual(self.send(gateway, "/pay/1", key).status, 401)
        key = NORTH.encode()
        for fields in (b"X-Api-Key: %s\r\nX-Api-Key: %s\r\n" % (key, key),
                       b"X-Api-Key: %s\r\nx-api-key: secret\r\n" % key,
                       b"X-Api-Key: \r\nX-Api-Key: %s\r\n" % key,
                       b"X-Api-Key : %s\r\n" % key,
                       b"X-Api-Key: %s\x00\r\n" % key,
                       b"X-Api-Key: %s\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" % key):
            with self.subTest(fields=fields):
                self.assertIn(b" 400 ", self.raw(gateway, fields + b"Content-Length: 0\r\n"))
        self.assertEqual(self.runs("/pay/1"), [])
        self.assertNotIn("secret", gateway.log())
        self.assertGreaterEqual(gateway.metric("vl_gateway_unknown_keys_total"), 10)
        self.assertEqual(self.send(gateway, "/pay/1").status, 200)

    def test_organisation_cannot_be_smuggled(self):
        """Guards against an organisation or a key that arrives in a trailer, twice, or as a field of the connection."""
        gateway = self.start()
        key = b"X-Api-Key: " + NORTH.encode() + b"\r\n"
        for number, (fields, body) in enumerate([
                (b"Tenant: south\r\ntenant: west\r\nContent-Length: 0\r\n", b""),
                (b"Connection: Tenant, X-Api-Key, close\r\nTenant: south\r\nContent-Length: 0\r\n", b""),
                (b"Transfer-Encoding: chunked\r\nTrailer: Tenant\r\n", b"1\r\nx\r\n0\r\nTenant: south\r\n\r\n")]):
            path = f"/pay/s{number}"
            self.assertIn(b" 200 ", self.raw(gateway, key + fields, path, body))
            headers, = self.run_headers(path)
            self.assertEqual(headers["tenant"], "north")
            self.assertNotIn("x-api-key", headers)
        body = b"1\r\nx\r\n0\r\nX-Api-Key: " + SOUTH.encode() + b"\r\n\r\n"
        self.raw(gateway, key + b"Transfer-Encoding: chunked\r\n", "/pay/s9", body)
        self.assertNotIn("south", [headers.get("tenant") for headers in self.run_headers("/pay/s9")])

    def test_anonymous_route_needs_no_key_and_takes_no_name(self):
        """Guards against an organisation that a caller without its key assumes on an anonymous route."""
        gateway = self.start()
        self.assertEqual(self.send(gateway, "/open/1", None, Tenant="north").status, 200)
        self.assertEqual(self.send(gateway, "/open/2", "unknown", Tenant="north").status, 200)
        self.assertEqual(self.send(gateway, "/open/3", SOUTH, Tenant="north").status, 200)
        names = [headers.get("tenant") for number in (1, 2, 3) for headers in self.run_headers(f"/open/{number}")]
        self.assertEqual(names, [None, None, "south"])

    def test_without_organisations_fields_pass_as_before(self):
        """Guards against a change for deployments that have no organisations."""
        self.platform.configure(ROUTES)
        gateway = self.start()
        self.assertEqual(self.send(gateway, "/pay/1", "any", Tenant="own").status, 200)
        headers, = self.run_headers("/pay/1")
        self.assertEqual((headers["tenant"], headers["x-api-key"]), ("own", "any"))

    def test_same_ids_of_two_organisations_are_apart(self):
        """Guards against a budget that another organisation spends, or a turn that it continues."""
        gateway = self.start()
        other = self.start(name="edge-2")
        spent = turn("p1", budget=30, max_tokens=30)
        self.assertEqual(self.send(gateway, "/turn/1", NORTH, **spent).status, 200)
        self.assertEqual(self.send(gateway, "/turn/2", NORTH, **spent).status, 402)
        self.assertEqual(self.send(gateway, "/turn/3", SOUTH, **spent).status, 200)
        self.assertEqual(self.send(gateway, "/chat/1", NORTH, **turn("p2")).status, 200)
        first = f"{Caller.count:016x}"
        for place in (gateway, other):
            self.assertEqual(self.send(place, "/chat/2", SOUTH, Previous_Turn=first, **turn("p2")).status, 404)
            self.assertEqual(self.send(place, "/chat/3", NORTH_2, Previous_Turn=first, **turn("p2")).status, 200)
        self.assertEqual(self.runs("/chat/2"), [])


class RevocationTest(OrganisationCase):
    def test_key_stops_and_moves_with_the_configuration(self):
        """Guards against a key that opens what an earlier version of the configuration said."""
        gateway = self.strict()
        caller = Caller(gateway)
        self.assertEqual(caller.send("POST", "/pay/1", b"x", X_Api_Key=NORTH).status, 200)
        self.platform.configure(ROUTES, WITHOUT_NORTH)
        self.assertTrue(wait_until(lambda: gateway.metric("vl_gateway_keys") == 2))
        self.assertEqual(caller.send("POST", "/pay/2", b"x", X_Api_Key=NORTH).status, 401)
        self.assertEqual(self.send(gateway, "/pay/3", NORTH_2).status, 200)
        self.platform.configure(ROUTES, {"north": [NORTH_2], "south": [SOUTH, NORTH]})
        self.assertTrue(wait_until(lambda: gateway.metric("vl_gateway_keys") == 3))
        self.assertEqual(self.send(gateway, "/pay/4", NORTH).status, 200)
        self.assertEqual(self.run_headers("/pay/4")[0]["tenant"], "south")
        self.assertEqual(self.runs("/pay/2"), [])

    def test_waiting_request_does_not_run_once_its_key_is_taken_away(self):
        """Guards against requests that were accepted before and are sent after."""
        gateway = self.strict()
        self.plan("/pay/w", "shed")
        results = []
        sender = threading.Thread(target=lambda: results.append(self.send(gateway, "/pay/w").status))
        sender.start()
        self.assertTrue(wait_until(lambda: any(server.arrivals for server in self.tools)))
        self.platform.configure(ROUTES, WITHOUT_NORTH)
        self.assertTrue(wait_until(lambda: gateway.metric("vl_gateway_keys") == 2))
        self.plan("/pay/w", "ok")
        sender.join(5)
        self.assertEqual((results, self.runs("/pay/w")), ([401], []))
        self.assertEqual(gateway.metric("vl_gateway_withdrawn_keys_total"), 1)

    def test_broken_stream_does_not_go_on_once_its_key_is_taken_away(self):
        """Guards against the second run of a stream whose key was taken away during the first."""
        gateway = self.strict()
        for server in self.models:
            server.gap_s = 0.3
        self.plan("/turn/b", "break")
        sender = threading.Thread(target=self.try_to_send, args=(gateway, "/turn/b"))
        sender.start()
        self.assertTrue(wait_until(lambda: self.runs("/turn/b")))
        self.platform.configure(ROUTES, WITHOUT_NORTH)
        sender.join(8)
        self.assertEqual(len(self.runs("/turn/b")), 1)

    def try_to_send(self, gateway, path):
        try:
            self.send(gateway, path, **turn("p1"))
        except (OSError, ValueError, EOFError):
            pass
        except Exception as error:  # An incomplete response.
            self.assertIn("IncompleteRead", type(error).__name__)

    def test_keys_are_refused_when_the_store_is_silent_for_long(self):
        """Guards against a gateway that accepts keys on the word of an old configuration."""
        gateway = self.strict()
        self.platform.store.mode = "silent"
        silent_since = time.monotonic()
        self.assertEqual(self.send(gateway, "/pay/1").status, 200)
        self.assertTrue(wait_until(lambda: not gateway.is_ready(), BOUND_MS / 1000))
        time.sleep(max(0, silent_since + BOUND_MS / 1000 + 0.7 - time.monotonic()))
        response = self.send(gateway, "/pay/2")
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.getheader("Retry-After")), 0)
        # A key that is not known may be a new one.
        self.assertEqual(self.send(gateway, "/pay/2", "unknown").status, 503)
        self.assertEqual(self.send(gateway, "/open/1", NORTH).status, 200)
        self.assertNotIn("tenant", self.run_headers("/open/1")[0])
        self.assertIn("event=keys_unconfirmed", gateway.log())
        self.platform.store.mode = "ok"
        self.assertTrue(wait_until(gateway.is_ready))
        self.assertEqual(self.send(gateway, "/pay/3").status, 200)
        self.assertEqual(self.runs("/pay/2"), [])

    def test_frozen_gateway_does_not_accept_a_key_taken_away_meanwhile(self):
        """Guards against a process that wakes with an old configuration and requests that wait in its connections."""
        proxy = self.platform.call(self.platform.make(standin.StoreProxy, self.platform.store))
        gateway = self.strict(store_port=proxy.port)
        waiting = [Caller(gateway) for _ in range(4)]
        for caller in waiting[:2]:
            self.assertEqual(caller.send("POST", "/pay/1", b"x", X_Api_Key=NORTH).status, 200)
        gateway.process.send_signal(signal.SIGSTOP)
        proxy.mode = "silent"
        self.platform.configure(ROUTES, WITHOUT_NORTH)
        time.sleep(BOUND_MS / 1000 + 0.2)
        for number, caller in enumerate(waiting):
            fields = caller.headers({"X-Api-Key": NORTH})
            caller.connection.request("POST", f"/pay/f{number}", b"x", fields)
        gateway.process.send_signal(signal.SIGCONT)
        statuses = [caller.connection.getresponse().status for caller in waiting]
        self.assertEqual(statuses, [503] * 4)
        proxy.mode = "ok"
        self.assertTrue(wait_until(lambda: gateway.metric("vl_gateway_keys") == 2))
        self.assertEqual([self.runs(f"/pay/f{number}") for number in range(4)], [[]] * 4)
        self.platform.call(proxy.stop())


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
