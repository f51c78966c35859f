#!/usr/bin/env python3
"""Process-level tests of the stop of an entry whose callers use their connections until the process is gone.

A request counts as unanswered if it was sent and its connection ended before a complete response.
"""
import http.client
import json
import random
import signal
import threading
import time
import unittest

from system_test import CALLER_TOKENS, LEASE_FLAGS, SystemTest

HEADERS = {"Authorization": f"Bearer {CALLER_TOKENS['tan']}", "Content-Type": "application/json"}
STOP_SIGNAL_COUNT = 3


class Caller(threading.Thread):
    """Sends numbered turns on a kept connection until the listener refuses connections.

    A program that has reached a limit of its class is followed by the next one.
    """

    def __init__(self, index, address, programs, make_body):
        super().__init__(daemon=True)
        self.random = random.Random(index)
        self.connection = http.client.HTTPConnection(address, timeout=60)
        self.programs = programs
        self.make_body = make_body
        self.answers = []
        self.unanswered = []

    def run(self):
        turn = 1
        programs = iter(self.programs)
        program = next(programs)
        while True:
            body = self.make_body(program, turn)
            try:
                if self.connection.sock is None:
                    self.connection.connect()
            except OSError:
                return
            try:
                self.connection.request("POST", f"/v1/programs/{program}/calls", json.dumps(body), HEADERS)
                response = self.connection.getresponse()
                text = response.read().decode()
            except (OSError, http.client.HTTPException) as error:
                self.unanswered.append((body, repr(error)))
                self.connection.close()
                continue
            self.answers.append((body, response.status, text))
            if response.status == 200 and "event: error" not in text:
                turn += 1
            elif response.status == 403:
                turn, program = 1, next(programs)
            time.sleep(self.random.uniform(0, 0.05))


def refund(program, turn):
    ref = {"ref": f"{program}-{turn}"}
    return {"turn": turn, "pool": "shop-app", "operation": "refund", "body": ref, "deadline_ms": 10000}


def chat(_, turn):
    message = {"messages": [{"role": "user", "content": f"turn {turn}"}]}
    return {"turn": turn, "pool": "model-bench", "operation": "chat", "body": message, "max_tokens": 40, "stream": True}


def stop_in_series(process, signals=(signal.SIGTERM,) * STOP_SIGNAL_COUNT):
    """Sends several signals, the last ones during the stop; returns the exit code."""
    for number in signals:
        if process.popen.poll() is None:
            process.popen.send_signal(number)
        time.sleep(0.2)
    return process.popen.wait(60)


class PlannedStop(SystemTest):
    def create_programs(self, key):
        return [self.create(f"{key}-{i}", entry=1) for i in range(8)]

    def test_callers_use_their_connections_until_the_process_is_gone(self):
        """Guards against kept connections that are closed while their callers' requests are unanswered."""
        stopped = self.entries[1]
        callers = [
            Caller(i, stopped.addresses["http"], self.create_programs(f"stop-{i}"), chat if i % 3 == 0 else refund)
            for i in range(18)
        ]
        for caller in callers:
            caller.start()
        time.sleep(2)
        started = time.monotonic()
        self.assertEqual(stop_in_series(stopped), 0)
        print(f"planned stop under load: {time.monotonic() - started:.2f} s")
        for caller in callers:
            caller.join(60)
        answers = [answer for caller in callers for answer in caller.answers]
        unanswered = [request for caller in callers for request in caller.unanswered]
        statuses = {status: sum(answer[1] == status for answer in answers) for status in {a[1] for a in answers}}
        print(f"answers by status: {statuses}, unanswered: {len(unanswered)}")
        self.assertGreater(statuses.get(200, 0), len(callers))
        self.assertEqual(unanswered, [])
        for body, status, text in answers:
            if body["operation"] != "refund":
                continue
            executed = self.executions(body["body"]["ref"])
            self.assertLessEqual(executed, 1, body)
            if status == 200:
                self.assertEqual(executed, 1, body)
        for caller in callers:
            last_body, last_status, text = caller.answers[-1]
            if last_status != 200 and json.loads(text)["error"]["ran"] == "not_run" and "ref" in last_body["body"]:
                ran_before = any(a[0] == last_body and "not_run" not in a[2] for a in caller.answers)
                self.assertTrue(ran_before or self.executions(last_body["body"]["ref"]) == 0, text)


class Reload(SystemTest):
    def test_reload_signals_before_and_during_a_stop_interrupt_no_request(self):
        """Guards against a SIGHUP that ends the process with its requests unanswered."""
        stopped = self.entries[1]
        callers = [
            Caller(i, stopped.addresses["http"], [self.create(f"reload-{i}-{j}", entry=1) for j in range(8)],
                   chat if i % 3 == 0 else refund)
            for i in range(12)
        ]
        for caller in callers:
            caller.start()
        time.sleep(1)
        series = (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)
        self.assertEqual(stop_in_series(stopped, series), 0)
        for caller in callers:
            caller.join(60)
        self.assertEqual([request for caller in callers for request in caller.unanswered], [])
        self.assertGreater(sum(answer[1] == 200 for caller in callers for answer in caller.answers), 0)


class DrainLimit(SystemTest):
    engines = 1
    entry_count = 1

    @staticmethod
    def engine_flags():
        return ("--decode_rate=3",)

    @staticmethod
    def entry_flags():
        return ("--drain_limit_s=4",)

    def test_requests_in_flight_at_the_drain_limit_are_answered(self):
        """Guards against requests that end without a response because the process ends at its drain limit."""
        for double in self.service_doubles:
            self.deployment.request(double.addresses["http"], "POST", "/control/test", {"hang": True})
        address = self.entries[0].addresses["http"]
        callers = [
            Caller(0, address, [self.create("hung-0")], refund),
            Caller(1, address, [self.create("hung-1")], refund),
            Caller(2, address, [self.create("slow-0")], lambda _, turn: {**chat(_, turn), "max_tokens": 500}),
        ]
        for caller in callers:
            caller.start()
        time.sleep(1)
        started = time.monotonic()
        code = stop_in_series(self.entries[0])
        elapsed = time.monotonic() - started
        print(f"stop at the drain limit: {elapsed:.2f} s, exit code {code}")
        for caller in callers:
            caller.join(60)
        self.assertEqual([caller.unanswered for caller in callers], [[], [], []])
        self.assertEqual(code, 1)
        self.assertLess(elapsed, 4.5)
        for caller in callers[:2]:
            body, status, text = caller.answers[0]
            self.assertEqual(status, 503)
            error = json.loads(text)["error"]
            self.assertEqual((error["code"], error["ran"]), ("unavailable", "unknown"))
            self.assertGreater(error["retry_after_ms"], 0)
        _, status, text = callers[2].answers[0]
        self.assertEqual(status, 200)
        self.assertIn("event: token", text)
        self.assertIn('event: error\ndata: {"error":{"code":"unavailable"', text)
        for double in self.service_doubles:
            self.deployment.request(double.addresses["http"], "POST", "/control/test", {"hang": False})
        self.entries[0] = self.deployment.start_entry("entry-new", "dc-a", *LEASE_FLAGS)
        self.deployment.wait_until_serving(self.entries, 1, 3)
        for caller in callers[:2]:
            body = caller.answers[0][0]
            path = f"/v1/programs/{caller.programs[0]}/calls"
            self.deployment.wait_until(
                lambda path=path, body=body: self.call(0, path, body)[0] in (200, 502), "the turn has no outcome", 30
            )
            status, answer = self.call(0, path, body)
            self.assertTrue(status == 200 or answer["error"]["code"] == "outcome_unknown", answer)
            self.assertLessEqual(self.executions(body["body"]["ref"]), 1)


if __name__ == "__main__":
    unittest.main(verbosity=2)
