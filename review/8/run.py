"""Turns that continue one long conversation take more memory than the machine has; see claim.txt."""
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness_2 as harness  # noqa: E402

MEMORY_MB = 96
# Of each turn; the configuration allows 4194304 bytes.
INPUT_BYTES = 300_000
TURNS = 10
# Turns that name the last one at the same time.
CROWD = 40
ORDINARY = 12
KEPT = "payment on a kept channel"
ROUTES = [{"prefix": "/chat/", "kind": "streaming", "service": "models", "stateful": True, "sticky": True,
           "retentionS": 60.0},
          {"prefix": "/pay/", "kind": "non_idempotent", "service": "tools"}]


class Answers:
    def __init__(self):
        self.lock = threading.Lock()
        self.by_request = {}

    def add(self, identity, kind, status):
        with self.lock:
            self.by_request[identity] = (kind, status)


def turn(gateway, text, previous, answers, kind):
    identity = harness.request_id()
    headers = {"Program-Id": "3fa81c", "Session-Id": "77d20b", "Token-Budget": "1000000", "Token-Count": "100,60",
               "Model": "m", "Prompt-Prefix": "5c1e07a2:100", "Finish-Ms": "60000"}
    if previous:
        headers["Previous-Turn"] = previous
    caller = harness.Caller(gateway)
    status, _, _ = caller.send("POST", "/chat/1", text, identity, **headers)
    caller.close()
    answers.add(identity, kind, status)
    return status, identity


def case(record):
    with harness.Deployment(1, memory_mb=MEMORY_MB) as deployment:
        platform, gateway = deployment.platform, deployment.gateways[0]
        platform.configure(ROUTES, maxBodyBytes=4194304, idleTimeoutMs=15000)
        for number in range(8):
            platform.add(harness.standin.Engine, f"engine-{number}", "models")
        platform.add(harness.standin.Backend, "tool-1", "tools", default="slow0.25")
        platform.add(harness.standin.Backend, "tool-2", "tools", default="slow0.25")
        deployment.start()
        stop, answers = threading.Event(), Answers()
        peak = [0, False]

        def watch():
            """The platform: a process that exceeds memoryMb is killed."""
            while not stop.is_set() and not peak[1]:
                size = gateway.memory_kb()
                peak[0] = max(peak[0], size)
                if size > MEMORY_MB * 1024:
                    record(f"the gateway takes {size / 1024:.1f} MB of {MEMORY_MB} MB: the platform kills it")
                    gateway.kill()
                    peak[1] = True
                time.sleep(0.005)

        def pay(number):
            time.sleep(0.02 * number)
            caller = harness.Caller(gateway)
            while not stop.is_set() and not peak[1]:
                identity = harness.request_id()
                status, _, _ = caller.send("POST", "/pay/1", b"x" * 600, identity)
                answers.add(identity, KEPT, status)
            caller.close()

        threads = [threading.Thread(target=watch, daemon=True)]
        threads += [threading.Thread(target=pay, args=(number,), daemon=True) for number in range(ORDINARY)]
        for thread in threads:
            thread.start()
        previous = None
        for _ in range(TURNS):
            status, previous = turn(gateway, b"x" * INPUT_BYTES, previous, answers, "turn of the conversation")
            if status != 200:
                stop.set()
                raise harness.CannotRun(f"the conversation is not served: {status}")
        record(f"a conversation of {TURNS} turns with inputs of {INPUT_BYTES} bytes; peak {peak[0] / 1024:.1f} MB")
        for server in platform.servers.values():
            if isinstance(server, harness.standin.Engine):
                server.gap_s = 0.25
        if harness.disruption():
            arguments = (gateway, b"y" * 1000, previous, answers, "turn of the crowd")
            crowd = [threading.Thread(target=turn, args=arguments, daemon=True) for _ in range(CROWD)]
            for thread in crowd:
                thread.start()
            for thread in crowd:
                thread.join()
        else:
            turn(gateway, b"y" * 1000, previous, answers, "one more turn")
            time.sleep(2)
        stop.set()
        for thread in threads:
            thread.join()
        ran = {run[0] for server in platform.servers.values() for run in server.executed}
        counts, lost = {}, 0
        for identity, (kind, status) in answers.by_request.items():
            outcome = f"{kind}: status {status or 'none, the channel closed'}"
            outcome += ", passed on to a server" if identity in ran else ""
            counts[outcome] = counts.get(outcome, 0) + 1
            lost += status == 0 and identity in ran and kind == KEPT
        for outcome, count in sorted(counts.items()):
            record(f"{count} x {outcome}")
        record(f"peak of resident memory: {peak[0] / 1024:.1f} MB of {MEMORY_MB} MB")
        record(f"requests of kept channels passed on to a sound server whose channel closed without an answer: {lost}")
        return harness.BROKEN if peak[1] and lost > 3 else harness.HELD


harness.run_case(FOLDER / "record.txt", case)
