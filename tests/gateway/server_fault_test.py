"""Tests faulty servers and odd entries of other writers, against stand-ins for the users' platform.

Usage: server_fault_test.py GATEWAY_BINARY [unittest option...]
"""
import http.client
import random
import re
import sys
import time
import unittest

import gateway_test
import standin
from gateway_test import Caller, GatewayCase, turn, wait_until


class EntryTest(GatewayCase):
    ODD_ENTRIES = {
        "nested": b"[" * 45000,
        "nested-object": b'{"a":' * 9000,
        "nested-field": b'{"service":' + b"[" * 40000 + b"]" * 40000 + b"}",
        "number-too-large": b'{"service":"tools","slots":1e999}',
        "digits": b'{"service":"tools","slots":' + b"9" * 5000 + b"}",
        "not-utf8": b'{"service":"\xff\xfe"}',
        "empty": b"",
        "null": b"null",
    }
    ODD_FIELDS = {
        "port-too-large": {"address": "127.0.0.1:99999"},
        "port-zero": {"address": "127.0.0.1:0"},
        "port-negative": {"address": "127.0.0.1:-1"},
        "port-missing": {"address": "127.0.0.1"},
        "host-name": {"address": "somewhere:80"},
        "slots-too-large": {"slots": 2**31},
        "slots-wrapping": {"slots": 2**32},
        "slots-huge": {"slots": 10**30},
        "slots-zero": {"slots": 0},
        "slots-fraction": {"slots": 1.5},
        "born-huge": {"born": 10**30},
        "born-negative": {"born": -(2**63)},
        "state-odd": {"state": "asleep"},
        "service-odd": {"service": "x" * 60000},
        "version-odd": {"version": {"a": 1}},
    }

    def put(self, key, value):
        self.platform.run(self.platform.store.put, "servers", key, value)

    def put_odd_entries(self):
        for key, value in self.ODD_ENTRIES.items():
            self.put(key, value)
        for key, fields in self.ODD_FIELDS.items():
            self.put(key, dict(self.tools[0].entry(), **fields))

    def assert_follows_the_list(self, gateway):
        """Checks that requests are served, also by a server that registers only now."""
        caller = Caller(gateway)
        for number in range(20):
            self.assertEqual(caller.send("POST", f"/pay/{number}", b"x").status, 200)
        added = self.platform.add(standin.Backend, "added", "tools")
        for server in self.tools:
            self.put(server.identity, None)
        self.assertTrue(wait_until(lambda: caller.send("POST", "/pay/x", b"x").status == 200 and added.executed))
        self.assertIsNone(gateway.process.poll())

    def test_odd_entries_that_are_written_neither_end_nor_stop_the_gateway(self):
        gateway = self.start()
        self.put_odd_entries()
        self.assert_follows_the_list(gateway)

    def test_odd_entries_that_are_listed_neither_end_nor_stop_the_gateway(self):
        self.put_odd_entries()
        self.assert_follows_the_list(self.start())


class RefusalTest(GatewayCase):
    def setUp(self):
        super().setUp()
        # One server, so that a refused request comes to it again, on the connection that is kept.
        self.platform.run(self.platform.store.put, "servers", "t-1", None)
        self.server = self.tools[0]

    def test_second_copy_of_a_refusal_does_not_refuse_the_request_when_it_is_sent_again(self):
        caller = Caller(self.start())
        for number in range(8):
            path = f"/pay/r{number}"
            self.server.plan[path] = "shed-twice"
            status = caller.send("POST", path, b"x").status
            runs = len(self.runs(path))
            self.assertLessEqual(runs, 1)
            if runs == 1:
                self.assertNotIn(status, (408, 421, 429, 503))

    def test_second_copy_of_a_refusal_does_not_refuse_another_request(self):
        gateway = self.start()
        for number in range(8):
            first, second = f"/pay/a{number}", f"/pay/b{number}"
            self.server.plan[first] = "shed-twice"
            self.server.plan[second] = "slow0.2"
            short = Caller(gateway)
            short.connection.request("POST", first, b"x", short.headers({"Deadline-Ms": "60"}))
            time.sleep(0.05)
            status = Caller(gateway).send("POST", second, b"x").status
            self.assertEqual((status, len(self.runs(second))), (200, 1))
            short.close()


class HeadTest(GatewayCase):
    """Guards against a response that ends within its head and reaches the caller as a whole, empty or short one."""

    SEED = 1

    def check(self, method, path, most_runs):
        gateway = self.start()
        sizes = random.Random(self.SEED)
        for number in range(40):
            behaviour = f"head-cut:{sizes.randrange(1, 300)}:{'reset' if number % 2 else 'close'}"
            with self.subTest(behaviour=behaviour):
                target = f"{path}{number}"
                for server in self.tools + self.models:
                    server.plan[target] = behaviour
                caller = Caller(gateway)
                self.addCleanup(caller.close)
                caller.connection.request(method, target, b"x", caller.headers({
                    "Deadline-Ms": "1000", **{name.replace("_", "-"): value
                                              for name, value in turn(f"p{number}", budget=100000).items()}}))
                try:
                    response = caller.connection.getresponse()
                    response.read()
                    self.assertIn(response.status, (502, 503, 504))
                    refused = response.status == 503
                except (http.client.IncompleteRead, OSError):
                    refused = False
                self.assertLessEqual(len(self.runs(target)), 0 if refused else most_runs)

    def test_request_that_may_not_be_repeated(self):
        self.check("POST", "/pay/", 1)

    def test_stream(self):
        self.check("POST", "/once/", 1)

    def test_request_that_may_be_repeated(self):
        # The route allows three servers to run it.
        self.check("GET", "/read/", 3)


class LateBodyTest(GatewayCase):
    def test_response_whose_body_arrives_after_its_head_is_forwarded(self):
        gateway = self.start()
        self.plan("/pay/late", "late-body")
        self.plan("/read/late", "late-body")
        caller = Caller(gateway)
        for method, path in (("POST", "/pay/late"), ("GET", "/read/late")) * 3:
            response = caller.send(method, path, b"x" if method == "POST" else None)
            self.assertEqual((response.status, response.text[-len(path):]), (200, path))
        self.assertEqual(len(self.runs("/pay/late")), 3)


class StreamTest(GatewayCase):
    EVENTS = [str(number) for number in range(1, 7)]

    def read_stream(self, gateway, path, **extra):
        """Returns the status, the text and whether it ended as complete."""
        caller = Caller(gateway)
        self.addCleanup(caller.close)
        headers = caller.headers({name.replace("_", "-"): value
                                  for name, value in turn("p", budget=100000, **extra).items()})
        caller.connection.request("POST", path, b"p", headers)
        response = caller.connection.getresponse()
        try:
            return response.status, response.read().decode(), True
        except http.client.IncompleteRead as error:
            return response.status, error.partial.decode(), False

    def assert_events_only(self, text, complete):
        self.assertNotIn("error", text)
        ids = re.findall(r"^id: (\d+)\ndata: token \d+\n\n", text, re.M)
        self.assertEqual(ids, self.EVENTS[:len(ids)])
        if complete:
            self.assertEqual(ids, self.EVENTS)

    def test_error_of_a_server_that_should_go_on_with_a_stream_reaches_nobody(self):
        gateway = self.start()
        for behaviour in standin.Engine.ERRORS:
            with self.subTest(behaviour=behaviour):
                path = "/turn/" + behaviour
                self.plan(path, behaviour)
                _, text, complete = self.read_stream(gateway, path)
                self.assert_events_only(text, complete)
                self.assertFalse(complete)

    def test_refusal_of_a_server_that_should_go_on_with_a_stream_reaches_nobody(self):
        gateway = self.start()
        for server in self.models:
            server.plan["/turn/1"] = "break"
        status, text, complete = self.read_stream(gateway, "/turn/1")
        self.assertEqual((status, complete), (200, True))
        self.assert_events_only(text, complete)

    def test_stream_without_length_or_chunks_is_relayed_whole(self):
        gateway = self.start()
        for path in ("/turn/u", "/once/u"):
            self.plan(path, "unframed")
            status, text, complete = self.read_stream(gateway, path)
            self.assertEqual((status, complete, re.findall(r"id: (\d+)", text)), (200, True, self.EVENTS))

    def test_stream_that_ends_inside_an_event_is_not_complete(self):
        gateway = self.start()
        for behaviour in ("unframed-cut", "unframed-reset"):
            with self.subTest(behaviour=behaviour):
                path = "/once/" + behaviour
                self.plan(path, behaviour)
                _, text, complete = self.read_stream(gateway, path)
                self.assertFalse(complete)
                self.assert_events_only(text, complete)

    def test_stream_that_ends_before_its_first_event_is_not_complete(self):
        gateway = self.start()
        for path in ("/once/none", "/turn/none"):
            self.plan(path, "unframed-none")
            self.assertEqual(self.read_stream(gateway, path)[0], 502)

    def test_stream_that_a_caller_takes_up_and_that_ends_before_any_event_is_not_complete(self):
        """Guards against events 1 and 2 of a cut stream that look whole with an empty rest."""
        gateway = self.start()
        self.plan("/turn/none", "unframed-none")
        status, text, _ = self.read_stream(gateway, "/turn/none", Last_Event_Id="2", Resumes="a1")
        self.assertEqual((status, text), (502, ""))

    def test_stream_that_goes_on_within_a_response_and_ends_before_any_event_is_not_complete(self):
        """The same where the gateway takes the stream up."""
        gateway = self.start()
        self.plan("/turn/none", "unframed-resumed-none")
        _, text, complete = self.read_stream(gateway, "/turn/none")
        self.assertEqual((re.findall(r"id: (\d+)", text), complete), (["1", "2", "3"], False))

    def test_error_of_a_server_that_should_go_on_with_a_callers_stream_does_not_end_it(self):
        """Guards against an error with status 200 that a caller joins to the events it has."""
        gateway = self.start()
        for behaviour, (status, _, _) in standin.Engine.ERRORS.items():
            with self.subTest(behaviour=behaviour):
                path = "/turn/" + behaviour
                self.plan(path, behaviour)
                answered, _, _ = self.read_stream(gateway, path, Last_Event_Id="2", Resumes="a1")
                self.assertEqual(answered, 500 if status == 500 else 502)

    def test_stream_without_length_or_chunks_that_is_taken_up_is_relayed_whole(self):
        gateway = self.start()
        self.plan("/turn/u", "unframed")
        status, text, complete = self.read_stream(gateway, "/turn/u", Last_Event_Id="2", Resumes="a1")
        self.assertEqual((status, complete, re.findall(r"id: (\d+)", text)), (200, True, self.EVENTS[2:]))

    def test_stream_that_ends_inside_an_event_goes_on_where_it_may(self):
        gateway = self.start()
        for behaviour in ("unframed-cut", "unframed-reset"):
            with self.subTest(behaviour=behaviour):
                path = "/turn/" + behaviour
                for number, server in enumerate(self.models):
                    server.plan[path] = behaviour
                status, text, complete = self.read_stream(gateway, path)
                self.assertEqual((status, complete), (200, True))
                self.assert_events_only(text, complete)

    def test_response_without_length_or_chunks_is_complete_unless_it_is_reset(self):
        gateway = self.start()
        self.plan("/pay/u", "unframed")
        response = Caller(gateway).send("POST", "/pay/u", b"x")
        self.assertEqual((response.status, response.text.endswith("ran /pay/u")), (200, True))
        self.plan("/pay/w", "unframed-reset")
        self.assertEqual(Caller(gateway).send("POST", "/pay/w", b"x").status, 502)


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
