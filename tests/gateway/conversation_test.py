"""Tests conversations that the gateway keeps, against stand-ins for the users' platform.

Usage: conversation_test.py GATEWAY_BINARY [unittest option...]
"""
import http.client
import re
import signal
import sys
import threading
import time
import unittest

import gateway_test
from gateway_test import Caller, GatewayCase, turn, wait_until

ROUTES = gateway_test.ROUTES + [
    {"prefix": "/chat/", "kind": "streaming", "service": "models", "stateful": True, "sticky": True},
    {"prefix": "/brief/", "kind": "streaming", "service": "models", "stateful": True, "retentionS": 1.0},
    {"prefix": "/short/", "kind": "streaming", "service": "models", "stateful": True, "retentionS": 2.0},
    {"prefix": "/pausing/", "kind": "streaming", "service": "models", "stateful": True, "retentionS": 4.0},
]


def output(events=6, first=1):
    """What a conversation keeps of the stand-in engine's response."""
    return "".join(f"token {number}\n" for number in range(first, events + 1)).encode()


class ConversationCase(GatewayCase):
    def setUp(self):
        super().setUp()
        self.platform.configure(ROUTES)

    def say(self, gateway, text, previous=None, path="/chat/1", **extra):
        """Sends a turn on a new connection. Returns the status and the turn's id."""
        caller = Caller(gateway)
        options = turn("p1", budget=100000)
        options.update(extra)
        if previous:
            options["Previous_Turn"] = previous
        try:
            response = caller.send("POST", path, text, **options)
            return response.status, f"{Caller.count:016x}", response
        finally:
            caller.close()

    def prompts(self):
        runs = [run for server in self.platform.servers.values() for run in server.executed]
        return {run[0]: run[3] for run in runs}

    def records(self):
        """Keys of the rows that hold turns."""
        return {key for table, _, key in self.platform.store.rows if table == "turns"}


class PromptTest(ConversationCase):
    def test_server_receives_the_conversation_and_the_new_input(self):
        """Guards against a prompt that isn't the earlier inputs and outputs and then the new input."""
        gateway = self.start()
        _, first, _ = self.say(gateway, b"one ")
        _, second, _ = self.say(gateway, b"two ", first)
        _, third, _ = self.say(gateway, b"three ", second)
        prompts = self.prompts()
        self.assertEqual(prompts[first], b"one ")
        self.assertEqual(prompts[second], b"one " + output() + b"two ")
        self.assertEqual(prompts[third], b"one " + output() + b"two " + output() + b"three ")

    def test_turns_may_share_a_predecessor(self):
        """Guards against sub-agents that receive each other's turns."""
        gateway = self.start()
        _, root, _ = self.say(gateway, b"root ")
        children = [self.say(gateway, f"child {n} ".encode(), root)[1] for n in range(3)]
        _, grandchild, _ = self.say(gateway, b"last", children[1])
        prompts = self.prompts()
        for number, child in enumerate(children):
            self.assertEqual(prompts[child], b"root " + output() + f"child {number} ".encode())
        self.assertEqual(prompts[grandchild], prompts[children[1]] + output() + b"last")

    def test_long_inputs_and_long_conversations(self):
        """Guards against inputs over the size of a row, and against conversations over the size of a record."""
        gateway = self.start()
        other = self.start(name="edge-2")
        text, previous, expected = b"", None, b""
        for number in range(80):
            size = 60000 if number == 3 else 40
            text = bytes([97 + number % 26]) * size
            status, previous, _ = self.say(gateway, text, previous)
            self.assertEqual(status, 200)
            expected += text + output()
        status, last, _ = self.say(other, b"end", previous)
        self.assertEqual(status, 200)
        self.assertEqual(self.prompts()[last], expected + b"end")

    def test_repeated_turn_continues_the_same_predecessor(self):
        """Guards against a failed attempt that becomes part of the conversation."""
        gateway = self.start()
        _, first, _ = self.say(gateway, b"one ")
        self.plan("/chat/broken", "break")
        with self.assertRaises(http.client.IncompleteRead):
            self.say(gateway, b"two ", first, path="/chat/broken")
        broken = f"{Caller.count:016x}"
        _, second, _ = self.say(gateway, b"two ", first)
        self.assertEqual(self.prompts()[second], b"one " + output() + b"two ")
        self.assertEqual(self.say(gateway, b"x", broken)[0], 404)

    def test_unknown_predecessor_returns_404_and_runs_nothing(self):
        """Guards against a turn that runs without the conversation it continues."""
        gateway = self.start()
        status, identity, _ = self.say(gateway, b"x", "feedfeedfeedfeed")
        self.assertEqual(status, 404)
        self.assertNotIn(identity, self.prompts())

    def test_stateless_routes_keep_nothing(self):
        gateway = self.start()
        self.say(gateway, b"x", path="/once/1")
        self.assertEqual(self.records(), set())


class DurabilityTest(ConversationCase):
    def test_conversation_continues_after_all_gateways_were_killed(self):
        """Guards against a completed turn that is lost with the processes."""
        gateways = [self.start(name=f"edge-{i}") for i in range(2)]
        _, first, _ = self.say(gateways[0], b"one ")
        _, second, _ = self.say(gateways[1], b"two ", first)
        for gateway in gateways:
            gateway.process.kill()
            gateway.process.wait()
        status, third, _ = self.say(self.start(name="edge-3"), b"three", second)
        self.assertEqual(status, 200)
        self.assertEqual(self.prompts()[third], b"one " + output() + b"two " + output() + b"three")

    def test_response_does_not_end_before_the_turn_is_durable(self):
        """Guards against a turn that reads as complete and is lost with all processes."""
        gateway = self.start()
        _, first, _ = self.say(gateway, b"one ")
        self.platform.store.mode = "busy"
        self.assertTrue(wait_until(lambda: "store_lost" in gateway.log(), 3))
        started = time.monotonic()
        threading.Timer(1.0, lambda: setattr(self.platform.store, "mode", "ok")).start()
        status, second, _ = self.say(gateway, b"two ", first)
        self.assertEqual(status, 200)
        self.assertGreater(time.monotonic() - started, 0.9)
        self.assertIn(second, self.records())

    def test_events_are_delivered_before_the_turn_is_durable(self):
        """Guards against events that wait for the store."""
        gateway = self.start()
        self.say(gateway, b"warm")
        self.platform.store.mode = "silent"
        caller = Caller(gateway)
        caller.connection.request("POST", "/chat/1", b"two ", caller.headers(
            {name.replace("_", "-"): value for name, value in turn("p9", budget=100000).items()}))
        response = caller.connection.getresponse()
        text = b""
        started = time.monotonic()
        while text.count(b"id: ") < 6 and time.monotonic() - started < 2.5:
            text += response.read1(4096)
        self.assertEqual(text.count(b"id: "), 6)
        self.assertLess(time.monotonic() - started, 1.5)
        with self.assertRaises(http.client.IncompleteRead):
            response.read()
        caller.close()

    def test_lost_answers_of_the_store_lose_and_double_nothing(self):
        """Guards against a write without a response that is taken for a failure, or written twice."""
        gateway = self.start()
        _, first, _ = self.say(gateway, b"one ")
        self.platform.store.mode = "lost"
        timer = threading.Timer(0.3, lambda: setattr(self.platform.store, "mode", "ok"))
        timer.start()
        status, second, _ = self.say(gateway, b"two ", first)
        self.assertEqual(status, 200)
        status, third, _ = self.say(self.start(name="edge-2"), b"three", second)
        self.assertEqual(status, 200)
        self.assertEqual(self.prompts()[third], b"one " + output() + b"two " + output() + b"three")
        self.assertEqual(sorted(self.records()), sorted([first, second, third]))

    def test_unreadable_conversation_is_refused_with_retry_after(self):
        """Guards against a 404 for a turn that may exist."""
        _, first, _ = self.say(self.start(), b"one ")
        other = self.start(name="edge-2")
        self.platform.store.mode = "busy"
        status, second, response = self.say(other, b"two", first)
        self.assertEqual(status, 503)
        self.assertTrue(response.headers["Retry-After"])
        self.assertNotIn(second, self.prompts())
        self.platform.store.mode = "ok"
        self.assertEqual(self.say(other, b"two", first)[0], 200)

    def test_stopping_gateway_ends_its_turns(self):
        """Guards against turns that a graceful stop cuts off before they are durable."""
        gateway = self.start()
        self.plan("/chat/slow", "slow0.5")
        results = []
        thread = threading.Thread(target=lambda: results.append(self.say(gateway, b"x", path="/chat/slow")))
        thread.start()
        self.assertTrue(wait_until(lambda: "/chat/slow" in str(self.platform.servers["m-0"].executed)
                                   + str(self.platform.servers["m-1"].executed)))
        gateway.process.send_signal(signal.SIGTERM)
        thread.join(5)
        self.assertEqual(results[0][0], 200)
        self.assertEqual(len(self.records()), 1)


class RetentionTest(ConversationCase):
    def test_records_are_deleted_after_the_retention_time(self):
        """Guards against a store that fills up."""
        gateway = self.start()
        _, first, _ = self.say(gateway, b"one ", path="/brief/1")
        self.say(gateway, b"two ", first, path="/brief/1")
        self.assertEqual(len(self.records()), 2)
        self.assertTrue(wait_until(lambda: not self.records(), 8), self.records())

    def test_conversation_outlives_the_gateway_that_began_it(self):
        """Guards against an owner that deletes what another gateway continues."""
        begun = self.start()
        other = self.start(name="edge-2")
        _, last, _ = self.say(begun, b"0", path="/brief/1")
        for number in range(1, 7):
            time.sleep(0.9)
            status, last, _ = self.say(other, str(number).encode(), last, path="/brief/1")
            self.assertEqual(status, 200)
        # A gateway that holds nothing in memory.
        status, final, _ = self.say(self.start(name="edge-3"), b"end", last, path="/brief/1")
        self.assertEqual(status, 200)
        inputs = re.sub(rb"token \d+\n", b"", self.prompts()[final])
        self.assertEqual(inputs, b"0123456end")

    def test_conversation_outlives_a_visit_to_another_gateway(self):
        """Guards against review/6: a gateway that one turn came through deletes the records that it took over, while
        the conversation goes on where it began."""
        home = self.start()
        visited = self.start(name="edge-2")
        inputs = "abcdefghijklmnopqrstuvwxyz"
        last = None
        for number, text in enumerate(inputs):
            gateway = visited if number == 1 else home
            status, last, _ = self.say(gateway, text.encode(), last, path="/short/1")
            self.assertEqual(status, 200)
            time.sleep(0.5)
        # Gateways that hold nothing, or not all, in memory.
        for gateway in (self.start(name="edge-3"), visited):
            status, final, _ = self.say(gateway, b".", last, path="/short/1")
            self.assertEqual(status, 200)
            self.assertEqual(re.sub(rb"token \d+\n", b"", self.prompts()[final]), inputs.encode() + b".")

    def test_short_retention_shortens_no_other(self):
        """Guards against a gateway that continues a turn by a route with a short retention time, takes its record over,
        and deletes it while the turn's own route still promises it."""
        _, first, _ = self.say(self.start(), b"one ")
        _, second, _ = self.say(self.start(name="edge-2"), b"two ", first, path="/brief/1")
        self.assertTrue(wait_until(lambda: second not in self.records(), 10), self.records())
        time.sleep(3)
        status, third, _ = self.say(self.start(name="edge-3"), b"three", first)
        self.assertEqual(status, 200)
        self.assertEqual(self.prompts()[third], b"one " + output() + b"three")

    def index_entries(self):
        return [key for table, _, key in self.platform.store.rows if table.startswith("turn_index")]

    def test_conversation_outlives_the_gateways_that_go_on_with_it(self):
        """Guards against review/12: gateways that go on with a conversation end, planned or killed, and the one that
        began it deletes its oldest turn."""
        pause_s = 3.3
        first, fresh = self.start(), self.start(name="edge-fresh")
        lines = []
        for kind in (signal.SIGTERM, signal.SIGKILL):
            gateways = [self.start(name=f"edge-{kind}-{n}") for n in range(3)]
            lines.append((kind, gateways, [self.say(first, b"0", path="/pausing/1")[1]]))
        started = time.monotonic()
        for number in range(3):
            time.sleep(max(0, started + (number + 1) * pause_s - time.monotonic()))
            for kind, gateways, turns in lines:
                status, identity, _ = self.say(gateways[number], str(number + 1).encode(), turns[-1], path="/pausing/1")
                self.assertEqual(status, 200)
                turns.append(identity)
                gateways[number].process.send_signal(kind)
        # Three retention times after the first turns, and within one of the last.
        time.sleep(max(0, started + 12.9 - time.monotonic()))
        for kind, _, turns in lines:
            with self.subTest(kind=kind):
                status, final, _ = self.say(fresh, b"end", turns[-1], path="/pausing/1")
                self.assertEqual(status, 200)
                inputs = re.sub(rb"token \d+\n", b"", self.prompts()[final])
                self.assertEqual(inputs, b"0123end")

    def test_long_retention_lengthens_that_of_the_turns_before(self):
        """Guards against a turn that is kept for the time of its own route, while one that continues it is promised for
        longer by a gateway that has ended."""
        _, first, _ = self.say(self.start(), b"one ", path="/brief/1")
        other = self.start(name="edge-2")
        _, second, _ = self.say(other, b"two ", first)
        other.process.kill()
        time.sleep(6)
        status, third, _ = self.say(self.start(name="edge-3"), b"three", second)
        self.assertEqual(status, 200)
        self.assertEqual(self.prompts()[third], b"one " + output() + b"two " + output() + b"three")

    def test_records_of_gateways_that_never_come_back_are_deleted(self):
        """Guards against a store that fills up with what killed gateways kept, also where its history is short."""
        other = self.start(name="edge-2")
        gateway = self.start()
        last = None
        for number in range(12):
            _, last, _ = self.say(gateway, b"x", last, path="/brief/1")
        _, branch, _ = self.say(gateway, b"y", last, path="/brief/1")
        self.say(other, b"z", last, path="/brief/1")
        gateway.process.kill()
        self.assertEqual(len(self.records()), 14)
        self.assertEqual(len(self.index_entries()), 14)
        time.sleep(1)
        self.platform.run(self.platform.store.compact)
        self.assertTrue(wait_until(lambda: not self.records() and not self.index_entries(), 15),
                        (self.records(), self.index_entries()))

    def test_turn_that_may_be_deleted_is_looked_up_again(self):
        """Guards against a turn that is continued from memory after its record is gone, so that the conversation can go
        on at this gateway only."""
        gateway = self.start()
        other = self.start(name="edge-2")
        _, first, _ = self.say(gateway, b"one ", path="/brief/1")
        self.assertTrue(wait_until(lambda: not self.records(), 10))
        status, second, _ = self.say(gateway, b"two ", first, path="/brief/1")
        self.assertEqual(status, 404)
        self.assertEqual(self.say(other, b"two ", first, path="/brief/1")[0], 404)


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
