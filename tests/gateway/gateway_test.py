"""Tests the gateway binary against stand-ins for the users' platform.

Usage: gateway_test.py GATEWAY_BINARY [unittest option...]
"""
import concurrent.futures
import contextlib
import http.client
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

import standin

GATEWAY = ""
HOST = "desk.example"
ROUTES = [
    {"prefix": "/read/", "kind": "idempotent", "service": "tools", "maxAttempts": 3},
    {"prefix": "/pay/", "kind": "non_idempotent", "service": "tools"},
    {"prefix": "/turn/", "kind": "streaming", "service": "models", "resumable": True, "sticky": True},
    {"prefix": "/once/", "kind": "streaming", "service": "models"},
]


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def free_ports(count):
    """Free ports, all of them different."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]


def free_peer_port():
    """A port that is free for datagrams and for connections, outside the range of outgoing connections."""
    while True:
        port = random.randrange(20000, 30000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
            return port
        except OSError:
            continue


def wait_until(condition, timeout_s=5.0):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.01)
    return False


class Gateway:
    """A gateway process."""

    def __init__(self, platform, grace_s=8, name="edge-1", peer_port=0, store_port=0,
                 memory_mb=512, max_fds=8200, bounds="", writes_per_s=0):
        self.front, self.ready_port = free_ports(2)
        self.peer_port = peer_port = peer_port or free_peer_port()
        self.directory = tempfile.TemporaryDirectory()
        settings = pathlib.Path(self.directory.name) / "settings.yaml"
        settings.write_text(f"""
node: "{name}"
ip: "127.0.0.1"
zone: "zone-a"
listen:
  front: "127.0.0.1:{self.front}"
  ready: "127.0.0.1:{self.ready_port}"
portRange: [{peer_port}, {peer_port}]
limits:
  memoryMb: {memory_mb}
  maxFds: {max_fds}
bounds:
  graceS: {grace_s}
  {bounds}
provider:
  address: "127.0.0.1:{store_port or platform.store.port}"
  writesPerS: {writes_per_s}
""")
        self.log_path = pathlib.Path(self.directory.name) / "log"
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen([GATEWAY], stdout=log, stderr=log,
                                            env=dict(os.environ, VANILLALEVER_NODE_FILE=str(settings)))

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self.ready_port, timeout=2)
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def metric(self, name):
        connection = http.client.HTTPConnection("127.0.0.1", self.ready_port, timeout=2)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        return int(re.search(rf"^{name} (-?\d+)$", text, re.M).group(1))

    def resident_bytes(self):
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+) kB", status).group(1)) << 10

    def log(self):
        return self.log_path.read_text(errors="replace")

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.directory.cleanup()


class Caller:
    """A caller's connection."""

    count = 0

    def __init__(self, gateway):
        self.connection = http.client.HTTPConnection("127.0.0.1", gateway.front, timeout=10)

    def headers(self, extra):
        Caller.count += 1
        headers = {"Host": HOST, "Request-Id": f"{Caller.count:016x}", "Deadline-Ms": "3000"}
        headers.update(extra)
        return headers

    def send(self, method, path, body=None, **extra):
        extra = {name.replace("_", "-"): value for name, value in extra.items()}
        self.connection.request(method, path, body, self.headers(extra))
        response = self.connection.getresponse()
        response.text = response.read().decode()
        return response

    def close(self):
        self.connection.close()


def turn(program, budget=1000, max_tokens=100, **extra):
    headers = {"Program_Id": program, "Session_Id": "s-" + program, "Token_Budget": str(budget),
               "Token_Count": f"500,{max_tokens}", "Prompt_Prefix": "aa:400,bb:100", "Model": "m"}
    headers.update(extra)
    return headers


class GatewayCase(unittest.TestCase):
    def setUp(self):
        self.platform = standin.Platform()
        self.addCleanup(self.platform.close)
        self.platform.configure(ROUTES)
        self.tools = [self.platform.add(standin.Backend, f"t-{i}", "tools") for i in range(2)]
        self.models = [self.platform.add(standin.Engine, f"m-{i}", "models") for i in range(2)]

    def start(self, **options):
        gateway = Gateway(self.platform, **options)
        self.addCleanup(gateway.stop)
        self.assertTrue(wait_until(gateway.is_ready), gateway.log())
        return gateway

    def plan(self, path, behaviour):
        for server in self.platform.servers.values():
            server.plan[path] = behaviour

    def runs(self, path):
        return [run for server in self.platform.servers.values() for run in server.executed if run[1] == path]


class ForwardingTest(GatewayCase):
    def test_request_and_response_are_forwarded_unchanged(self):
        caller = Caller(self.start())
        response = caller.send("POST", "/pay/7?x=1", b"amount=5", Hold="h", Kv_From="x", Request_Urgency="0",
                             Pin_Ms="5", X_Extra="kept")
        self.assertEqual(response.status, 200)
        self.assertRegex(response.getheader("Server-Seal"), "^seal-t-")
        (identity, path, headers, body), = self.runs("/pay/7?x=1") or self.runs("/pay/7")
        self.assertEqual(body, b"amount=5")
        self.assertEqual(headers["x-extra"], "kept")
        self.assertLessEqual(int(headers["deadline-ms"]), 3000)
        self.assertGreater(int(headers["deadline-ms"]), 2000)
        for reserved in ("hold", "kv-from", "pin-ms"):
            self.assertNotIn(reserved, headers)

    def test_unknown_route_returns_404(self):
        caller = Caller(self.start())
        self.assertEqual(caller.send("GET", "/none/1").status, 404)
        self.assertEqual(caller.send("GET", "/read/1").status, 200)

    def test_smuggled_request_is_refused_and_never_reaches_a_server(self):
        gateway = self.start()
        with socket.create_connection(("127.0.0.1", gateway.front)) as raw:
            raw.sendall(b"POST /pay/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: 1\r\nContent-Length: 4\r\n"
                        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/9 HTTP/1.1\r\nHost: desk.example\r\n\r\n")
            raw.settimeout(3)
            self.assertIn(b" 400 ", raw.recv(4096))
        self.assertEqual(self.runs("/read/9"), [])

    def test_oversized_header_returns_431_and_oversized_body_413(self):
        gateway = self.start()
        self.assertEqual(Caller(gateway).send("GET", "/read/1", X_Long="x" * 20000).status, 431)
        self.assertEqual(Caller(gateway).send("POST", "/pay/1", b"x" * 70000).status, 413)

    def test_slow_header_returns_408(self):
        gateway = self.start()
        with socket.create_connection(("127.0.0.1", gateway.front)) as raw:
            raw.settimeout(4)
            raw.sendall(b"GET /read/1 HTTP/1.1\r\nHost: desk")
            self.assertIn(b" 408 ", raw.recv(4096))

    def test_refused_request_is_sent_to_another_server(self):
        self.tools[0].plan["/pay/2"] = "shed"
        caller = Caller(self.start())
        for _ in range(6):
            self.assertEqual(caller.send("POST", "/pay/2", b"x").status, 200)

    def test_request_that_all_servers_refuse_is_refused_with_retry_after(self):
        self.plan("/pay/3", "shed")
        caller = Caller(self.start())
        started = time.monotonic()
        response = caller.send("POST", "/pay/3", b"x")
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.getheader("Retry-After")), 0)
        self.assertLess(time.monotonic() - started, 1.5)
        self.assertIsNone(response.getheader("Server-Seal"))

    def test_non_idempotent_request_without_response_is_not_repeated_and_returns_502(self):
        self.plan("/pay/4", "drop")
        caller = Caller(self.start())
        self.assertEqual(caller.send("POST", "/pay/4", b"x").status, 502)
        self.assertEqual(len(self.runs("/pay/4")), 1)

    def test_idempotent_request_without_response_is_repeated(self):
        self.tools[0].plan["/read/4"] = "drop"
        self.tools[1].plan["/read/4"] = "drop"
        gateway = self.start()
        self.assertEqual(Caller(gateway).send("GET", "/read/4").status, 502)
        # The route allows three runs.
        self.assertEqual(len(self.runs("/read/4")), 3)
        self.tools[1].plan["/read/4"] = "ok"
        self.assertEqual(Caller(gateway).send("GET", "/read/4").status, 200)

    def test_truncated_response_is_never_forwarded(self):
        self.plan("/pay/5", "half")
        self.assertEqual(Caller(self.start()).send("POST", "/pay/5", b"x").status, 502)

    def test_response_to_another_request_is_skipped(self):
        self.plan("/pay/6", "stray")
        response = Caller(self.start()).send("POST", "/pay/6", b"x")
        self.assertEqual((response.status, "ran /pay/6" in response.text), (200, True))

    def test_late_second_copy_of_a_response_reaches_nobody(self):
        caller = Caller(self.start())
        self.plan("/pay/t0", "twice")
        for number in range(6):
            path = f"/pay/t{number}"
            for server in self.tools:
                server.plan[path] = "twice"
            response = caller.send("POST", path, b"x")
            self.assertEqual((response.status, response.text.endswith(f"ran {path}")), (200, True))
            # The copy arrives on the idle connection, or after the next request.
            time.sleep(0.02 * (number % 4))

    def test_success_without_proof_of_origin_is_never_forwarded(self):
        caller = Caller(self.start())
        self.plan("/pay/p", "unproven")
        self.assertEqual(caller.send("POST", "/pay/p", b"x").status, 502)
        self.assertEqual(len(self.runs("/pay/p")), 1)
        self.tools[0].plan["/read/p"] = "unproven"
        for _ in range(10):
            self.assertEqual(caller.send("GET", "/read/p").text, "t-1 ran /read/p")

    def test_malformed_response_returns_502(self):
        self.plan("/pay/7", "garbage")
        self.assertEqual(Caller(self.start()).send("POST", "/pay/7", b"x").status, 502)

    def test_request_to_the_server_is_aborted_when_the_caller_disconnects(self):
        self.plan("/read/8", "hang")
        caller = Caller(self.start())
        caller.connection.request("GET", "/read/8", headers=caller.headers({}))
        self.assertTrue(wait_until(lambda: self.runs("/read/8")))
        left = time.monotonic()
        caller.close()
        self.assertTrue(wait_until(lambda: any(server.aborted for server in self.tools), 2))
        self.assertLess(time.monotonic() - left, 0.5)

    def test_bytes_without_end_are_cut_off_and_do_not_use_up_memory(self):
        """Guards against a failing server that sends bytes that are no response until the caller closes."""
        gateway = self.start(memory_mb=88)
        before = gateway.resident_bytes()
        for behaviour in ("endless-head", "endless-interim", "endless-chunk-header", "endless-body"):
            for path in ("/pay/", "/once/"):
                with self.subTest(behaviour=behaviour, path=path):
                    self.plan(path + behaviour, behaviour)
                    caller = Caller(gateway)
                    started = time.monotonic()
                    self.assertEqual(caller.send("POST", path + behaviour, b"x", **turn("p-" + behaviour)).status, 502)
                    self.assertLess(time.monotonic() - started, 1.5)
                    caller.close()
        self.assertLess(gateway.resident_bytes() - before, 8 << 20)

    def test_route_timeout_ends_the_wait(self):
        self.plan("/read/9", "hang")
        caller = Caller(self.start())
        started = time.monotonic()
        self.assertEqual(caller.send("GET", "/read/9", Deadline_Ms="20000").status, 504)
        self.assertLess(time.monotonic() - started, 3.4)

    def test_every_send_is_removed_from_the_load_once(self):
        for behaviour in ("ok", "drop", "half", "garbage", "shed", "hang"):
            self.plan("/pay/" + behaviour, behaviour)
            self.plan("/turn/" + behaviour, behaviour)
        self.plan("/turn/break", "break")
        gateway = self.start()
        for behaviour in ("ok", "drop", "half", "garbage", "shed", "hang"):
            Caller(gateway).send("POST", "/pay/" + behaviour, b"x", Deadline_Ms="400")
            self.assertEqual(gateway.metric("vl_gateway_open_sends"), 0, behaviour)
        Caller(gateway).send("POST", "/turn/break", b"p", **turn("load"))
        self.assertEqual(gateway.metric("vl_gateway_open_sends"), 0)

    def test_failed_server_causes_no_error(self):
        gateway = self.start()
        self.platform.call(self.tools[0].stop())
        statuses = [Caller(gateway).send("POST", "/pay/10", b"x").status for _ in range(10)]
        self.assertEqual(statuses, [200] * 10)


class StreamTest(GatewayCase):
    def test_events_arrive_complete_and_in_order(self):
        response = Caller(self.start()).send("POST", "/turn/1", b"p", **turn("p1"))
        self.assertEqual(re.findall(r"id: (\d+)", response.text), [str(i) for i in range(1, 7)])

    def test_broken_stream_is_resumed_in_the_same_response(self):
        self.plan("/turn/2", "break")
        response = Caller(self.start()).send("POST", "/turn/2", b"p", **turn("p2"))
        self.assertEqual(re.findall(r"id: (\d+)", response.text), [str(i) for i in range(1, 7)])
        self.assertEqual(len({run[2]["expect-instance"] for run in self.runs("/turn/2")}), 1)

    def test_stream_that_must_not_run_twice_is_aborted(self):
        self.plan("/once/1", "break")
        gateway = self.start()
        with self.assertRaises(http.client.IncompleteRead):
            Caller(gateway).send("POST", "/once/1", b"p", **turn("p3"))
        self.assertEqual(len(self.runs("/once/1")), 1)


class BudgetTest(GatewayCase):
    """An event counts as 5 tokens, and a turn generates 6 events."""

    def spend(self, gateways, program, budget, turns, max_tokens=40):
        statuses = []
        for number in range(turns):
            caller = Caller(gateways[number % len(gateways)])
            statuses.append(caller.send("POST", "/turn/b", b"p", **turn(program, budget, max_tokens)).status)
            caller.close()
        return statuses

    def test_budget_holds_across_gateways(self):
        gateways = [self.start(name=f"edge-{i}") for i in range(3)]
        statuses = self.spend(gateways, "p4", 200, 20)
        used = 30 * statuses.count(200)
        self.assertLessEqual(used, 200 + 40)
        self.assertEqual(set(statuses), {200, 402})
        self.assertEqual(len(self.runs("/turn/b")), statuses.count(200))

    def test_budget_holds_across_killed_gateways(self):
        used = 0
        for number in range(8):
            gateway = self.start(name=f"edge-{number}")
            used += 30 * self.spend([gateway], "p5", 200, 2).count(200)
            gateway.process.kill()
            gateway.process.wait()
        self.assertGreater(used, 0)
        self.assertLessEqual(used, 200 + 40)

    def test_turns_are_served_while_the_store_is_unavailable(self):
        for mode in ("busy", "silent", "lost"):
            with self.subTest(mode=mode):
                gateway = self.start(name="edge-" + mode)
                self.platform.store.mode = mode
                started = time.monotonic()
                statuses = self.spend([gateway], "p6-" + mode, 1000, 3)
                self.assertEqual(statuses, [200] * 3, gateway.log())
                self.assertLess(time.monotonic() - started, 1.5)
                self.platform.store.mode = "ok"
                self.assertTrue(wait_until(lambda: "p6-" + mode in self.platform.store.table("budgets")))
                reserved = int(self.platform.store.table("budgets")["p6-" + mode].split()[0])
                self.assertGreaterEqual(reserved, 90)
                gateway.stop()

    def test_provisional_grants_are_bounded_across_gateways(self):
        gateways = [self.start(name=f"edge-{i}") for i in range(3)]
        time.sleep(0.7)
        self.platform.store.mode = "silent"
        statuses = self.spend(gateways, "p7", 600, 30)
        self.assertIn(200, statuses)
        # One turn and a sixth of the budget, plus one turn in progress.
        self.assertLessEqual(30 * statuses.count(200), 600 // 6 + 2 * 40)

    def test_budget_holds_when_all_gateways_are_killed_while_the_store_is_unavailable(self):
        for engine in self.models:
            engine.events = 9
        gateways = [self.start(name=f"edge-{i}") for i in range(2)]
        time.sleep(0.7)
        self.platform.store.mode = "silent"
        statuses = self.spend(gateways, "p9", 270, 6, max_tokens=45)
        for gateway in gateways:
            gateway.process.kill()
            gateway.process.wait()
        self.platform.store.mode = "ok"
        gateway = self.start(peer_port=gateways[0].peer_port)
        statuses += self.spend([gateway], "p9", 270, 12, max_tokens=45)
        self.assertLessEqual(45 * statuses.count(200), 270 + 45)
        self.assertGreaterEqual(45 * statuses.count(200), 270 * 5 // 6)

    def test_log_names_the_limit_that_a_refused_turn_reached(self):
        gateway = self.start()
        self.platform.store.mode = "silent"
        self.assertIn(503, self.spend([gateway], "p10", 600, 10))
        self.assertRegex(gateway.log(), r'event=budget_unavailable program=p10 .*reason="the provisional grant limit is reached"')

    def test_unused_tokens_are_released_when_the_budget_is_short(self):
        gateways = [self.start(name=f"edge-{i}") for i in range(2)]
        self.assertEqual(self.spend(gateways[:1], "p8", 100, 1), [200])
        time.sleep(1.2)
        self.assertEqual(self.spend(gateways[1:], "p8", 100, 1), [200])

    def test_unused_tokens_of_other_gateways_are_reclaimed_before_a_turn_is_refused(self):
        for engine in self.models:
            engine.events = 1
        gateways = [self.start(name=f"edge-{i}") for i in range(3)]
        # Until the gateways have received each other's messages.
        time.sleep(0.7)
        # Each turn reserves 90 tokens at another gateway and uses 5 of them.
        statuses = self.spend(gateways, "p11", 200, 24, max_tokens=90)
        self.assertEqual(statuses[:22], [200] * 22)
        self.assertLessEqual(5 * statuses.count(200), 200 + 90)

    def test_budget_holds_while_the_store_refuses_one_gateway(self):
        for engine in self.models:
            engine.events = 9
        proxy = self.platform.call(self.platform.make(standin.StoreProxy, self.platform.store))
        self.addCleanup(lambda: self.platform.call(proxy.stop()))
        gateways = [self.start(name="edge-0", store_port=proxy.port)]
        gateways += [self.start(name=f"edge-{i}") for i in (1, 2)]
        time.sleep(0.7)
        proxy.mode = "busy"
        # Until the gateway has detected the outage.
        self.spend(gateways[:1], "p14", 1000, 1)
        time.sleep(0.5)
        for number in range(8):
            program = f"p15-{number}"
            # All of the budget but one turn is used before the gateway without a store learns of the program.
            statuses = self.spend(gateways[1:2], program, 270, 5, max_tokens=45)
            statuses += self.spend(gateways[:1], program, 270, 3, max_tokens=45)
            statuses += self.spend(gateways[1:], program, 270, 6, max_tokens=45)
            self.assertLessEqual(45 * statuses.count(200), 270 + 45, statuses)
            # The other gateways reach the store, so the outage costs no budget.
            self.assertGreaterEqual(45 * statuses.count(200), 270 - 45, statuses)

    def test_stopping_gateway_releases_unused_tokens(self):
        gateway = self.start()
        self.assertEqual(self.spend([gateway], "p13", 600, 2), [200, 200])
        self.assertGreater(int(self.platform.store.table("budgets")["p13"].split()[0]), 60)
        gateway.process.send_signal(signal.SIGTERM)
        self.assertEqual(gateway.process.wait(10), 0)
        self.assertEqual(int(self.platform.store.table("budgets")["p13"].split()[0]), 60)

    def test_budget_holds_while_tokens_are_reclaimed(self):
        gateways = [self.start(name=f"edge-{i}") for i in range(3)]
        time.sleep(0.7)
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            parts = [pool.submit(self.spend, gateways[i % 3:] + gateways[:i % 3], "p12", 600, 12) for i in range(6)]
            statuses = sum((part.result() for part in parts), [])
        self.assertLessEqual(30 * statuses.count(200), 600 + 40)
        self.assertGreaterEqual(30 * statuses.count(200), 600 - 6 * 40)
        self.assertEqual(len(self.runs("/turn/b")), statuses.count(200))


class StoreTest(GatewayCase):
    def test_only_newer_configurations_are_applied(self):
        caller = Caller(self.start())
        self.assertEqual(caller.send("GET", "/new/1").status, 404)
        self.platform.configure(ROUTES + [{"prefix": "/new/", "kind": "idempotent", "service": "tools"}])
        self.assertTrue(wait_until(lambda: caller.send("GET", "/new/1").status == 200, 2))
        self.platform.version -= 6
        self.platform.configure(ROUTES)
        time.sleep(0.5)
        self.assertEqual(caller.send("GET", "/new/1").status, 200)

    def test_draining_and_removed_servers_get_no_new_request(self):
        caller = Caller(self.start())
        self.platform.run(self.platform.store.put, "servers", "t-0", self.tools[0].entry("draining"))
        time.sleep(0.3)
        for number in range(20):
            self.assertEqual(caller.send("GET", f"/read/d{number}").status, 200)
        self.assertEqual([run for run in self.tools[0].executed if "/read/d" in run[1]], [])
        self.platform.run(self.platform.store.put, "servers", "t-0", None)
        time.sleep(0.3)
        self.assertEqual(caller.send("GET", "/read/e").status, 200)

    def test_malformed_server_rows_are_ignored(self):
        for key, value in (("x-0", b"\xff\x00{"), ("x-1", b"[]"), ("x-2", {"service": "tools"}),
                           ("x-3", self.tools[0].entry(slots="six")), ("x-4", self.tools[0].entry(state="odd")),
                           ("x-5", self.tools[0].entry(born="soon"))):
            self.platform.run(self.platform.store.put, "servers", key, value)
        gateway = self.start()
        caller = Caller(gateway)
        for _ in range(10):
            self.assertEqual(caller.send("GET", "/read/m").status, 200)
        self.assertEqual(gateway.log().count("server_entry_malformed"), 6)

    def test_log_states_why_the_store_was_lost(self):
        for mode, reason in (("busy", 'reason="status 503"'), ("silent", "no answer in time")):
            with self.subTest(mode=mode):
                gateway = self.start()
                self.platform.store.mode = mode
                self.assertTrue(wait_until(lambda: "event=store_lost" in gateway.log(), 8))
                line = next(line for line in gateway.log().splitlines() if "event=store_lost" in line)
                self.assertIn(reason, line)
                self.platform.store.mode = "ok"
                gateway.stop()

    def test_rows_are_read_again_after_the_history_is_lost(self):
        gateway = self.start()
        self.platform.store.mode = "busy"
        # Longer than a pending long poll for changes can last.
        time.sleep(1.8)
        self.platform.run(self.platform.store.put, "servers", "t-0", self.tools[0].entry("draining"))
        self.platform.run(self.platform.store.compact)
        self.platform.store.mode = "ok"
        self.assertTrue(wait_until(lambda: "server=t-0" in gateway.log() and "state=draining" in gateway.log()))

    def test_row_that_expired_while_the_store_was_unavailable_is_kept_for_the_grace_period(self):
        gateway = self.start()
        caller = Caller(gateway)
        self.platform.store.mode = "busy"
        # Longer than a pending long poll for changes can last.
        time.sleep(1.8)
        for server in self.tools:
            self.platform.run(self.platform.store.put, "servers", server.identity, None)
        self.platform.store.mode = "ok"
        self.assertTrue(wait_until(lambda: "may_return=true" in gateway.log()))
        self.assertEqual(caller.send("GET", "/read/l").status, 200)
        self.platform.run(self.platform.store.put, "servers", "t-1", self.tools[1].entry())
        self.assertTrue(wait_until(lambda: "event=server_lapsed server=t-0" in gateway.log(), 3))
        self.assertNotIn("event=server_lapsed server=t-1", gateway.log())

    def test_gateway_without_configuration_is_not_ready_and_refuses(self):
        self.platform.store.mode = "silent"
        gateway = Gateway(self.platform)
        self.addCleanup(gateway.stop)
        self.assertTrue(wait_until(lambda: "started" in gateway.log()))
        time.sleep(0.2)
        self.assertFalse(gateway.is_ready())
        self.assertEqual(Caller(gateway).send("GET", "/read/1").status, 503)


class IsolationTest(GatewayCase):
    def test_gateway_without_store_and_peers_is_not_ready_and_closes_connections(self):
        gateways = [self.start(name=f"edge-{i}") for i in range(3)]
        time.sleep(0.7)
        for other in gateways[1:]:
            other.process.send_signal(signal.SIGSTOP)
            self.addCleanup(other.process.send_signal, signal.SIGCONT)
        self.platform.store.mode = "silent"
        self.assertTrue(wait_until(lambda: not gateways[0].is_ready(), 4))
        started = time.monotonic()
        response = Caller(gateways[0]).send("POST", "/turn/cut", b"p", **turn("p10"))
        self.assertEqual((response.status, response.getheader("Connection")), (503, "close"))
        self.assertLess(time.monotonic() - started, 0.3)
        self.assertEqual(self.runs("/turn/cut"), [])
        self.platform.store.mode = "ok"
        self.assertTrue(wait_until(gateways[0].is_ready, 4))


class DrainTest(GatewayCase):
    def test_requests_are_completed_and_late_connections_refused(self):
        self.platform.configure([dict(route, timeoutMs=7000) for route in ROUTES])
        gateway = self.start()
        self.plan("/pay/slow", "slow5.5")
        idle = socket.create_connection(("127.0.0.1", gateway.front))
        self.addCleanup(idle.close)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            slow = pool.submit(lambda: Caller(gateway).send("POST", "/pay/slow", b"x", Deadline_Ms="6000"))
            self.assertTrue(wait_until(lambda: self.runs("/pay/slow")))
            gateway.process.send_signal(signal.SIGTERM)
            self.assertTrue(wait_until(lambda: not gateway.is_ready(), 0.5))
            early = Caller(gateway).send("POST", "/pay/early", b"x")
            self.assertEqual((early.status, early.getheader("Connection")), (200, "close"))
            # The load balancer has removed the gateway by now. A later request could be interrupted by the end of
            # the grace period, so idle connections are closed and no new ones accepted.
            time.sleep(4.2)
            self.assertIsNone(gateway.process.poll())
            idle.settimeout(0.5)
            self.assertEqual(idle.recv(1), b"")
            with self.assertRaises(OSError):
                Caller(gateway).send("GET", "/read/late")
            self.assertEqual(slow.result().status, 200)
        self.assertEqual(gateway.process.wait(3), 0)

    def test_idle_gateway_exits_promptly(self):
        gateway = self.start()
        started = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        self.assertEqual(gateway.process.wait(8), 0)
        self.assertLess(time.monotonic() - started, 5)

    def test_sighup_does_not_stop_the_gateway(self):
        gateway = self.start()
        gateway.process.send_signal(signal.SIGHUP)
        self.assertTrue(wait_until(lambda: "settings_reloaded" in gateway.log()))
        self.assertEqual(Caller(gateway).send("GET", "/read/1").status, 200)


if __name__ == "__main__":
    GATEWAY = sys.argv.pop(1)
    unittest.main(verbosity=2)
