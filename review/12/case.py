"""Conversations lose their oldest turn although their newest is to be kept: the gateways that would have renewed it were
stopped and started in turn, and the one that wrote it deletes it."""
import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness_3 as harness  # noqa: E402
from harness_3 import standin  # noqa: E402

SHORT_S, LONG_S, GAP_S = 16.0, 60.0, 12.5
ROUTE = {"kind": "streaming", "service": "models", "stateful": True, "sticky": True, "timeoutMs": 4000}


class Conversation:
    """A line of turns; `turns` holds the id, the time of the answer and the retention time of each."""

    def __init__(self, program, engines, record):
        self.program, self.engines, self.record = program, engines, record
        self.turns = []

    def turn(self, gateway, path, text, first=False):
        """One try of the next turn, or of a first one. Returns whether it reached a server, and the answer."""
        fields = {"Program_Id": self.program, "Session_Id": f"line-{self.program}", "Finish_Ms": "60000",
                  "Token_Count": "500,100", "Prompt_Prefix": "aa:400,bb:100", "Model": "m", "Token_Budget": "100000"}
        if self.turns and not first:
            fields["Previous_Turn"] = self.turns[-1][0]
        answer = harness.send(gateway, self.record, "POST", path, text, **fields)
        runs = [body for engine in self.engines for identity, _, _, body in engine.executed
                if identity == answer.identity]
        self.record.add(f"run {answer.identity} ({self.program}): {len(runs)} times, bodies {runs}")
        return bool(runs), answer

    def go_on(self, gateway, path, text, retention_s):
        reached, answer = self.turn(gateway, path, text)
        if not reached or answer.status != 200 or not answer.whole:
            raise harness.CaseError(f"a turn of {self.program} was not served")
        self.turns.append((answer.identity, time.monotonic(), retention_s))

    def judge(self, gateways, path):
        """Tries the next turn at all gateways. Returns whether the rule was broken, and what was seen."""
        _, answered, retention_s = self.turns[-1]
        statuses, fresh, served = [], 0, False
        for number in range(6):
            gateway = gateways[number % len(gateways)]
            served, answer = self.turn(gateway, path, b"last ")
            age = time.monotonic() - answered
            if age >= retention_s:
                raise harness.CaseError("the tries came too late")
            statuses.append(answer.status)
            if served:
                break
            fresh += self.turn(gateway, path, b"new ", first=True)[0]
            time.sleep(0.1)
        broken = 404 in statuses or 410 in statuses or (not served and fresh >= 0.9 * len(statuses))
        return broken, f"{self.program}: tries of a turn that names one answered {age:.1f} s ago, kept {retention_s:.0f} s: " \
                       f"{statuses}, served {served}, first turns served meanwhile {fresh}"


def main():
    with harness.deployment(HERE) as (platform, record, gateways):
        platform.configure([dict(ROUTE, prefix="/quick/", retentionS=SHORT_S),
                            dict(ROUTE, prefix="/tutor/", retentionS=LONG_S)])
        engines = [platform.add(standin.Engine, f"engine-{i}", "models", gap_s=0.01, events=3) for i in range(2)]
        for name in ("edge-1", "edge-2", "edge-3", "edge-4"):
            gateways.append(harness.Gateway(name, f"127.0.0.1:{platform.store.port}", record))
        for gateway in gateways:
            gateway.wait_ready()
        time.sleep(2.0)
        restarts = []

        def restart(gateway):
            if not harness.TROUBLE:
                return
            record.add(f"{gateway.name} gets SIGTERM")
            gateway.process.send_signal(signal.SIGTERM)

            def finish():
                gateway.process.wait(10)
                gateway.start()
                gateway.wait_ready()
                record.add(f"{gateway.name} has ended and was started again")

            restarts.append(threading.Thread(target=finish))
            restarts[-1].start()

        began = time.monotonic()

        def wait_until(offset_s):
            time.sleep(max(0.0, began + offset_s - time.monotonic()))

        # The same retention time for all turns, and two of them.
        same, mixed = Conversation("same", engines, record), Conversation("mixed", engines, record)
        same.go_on(gateways[0], "/quick/a", b"one ", SHORT_S)
        mixed.go_on(gateways[0], "/quick/a", b"one ", SHORT_S)
        for number in (1, 2, 3):
            wait_until(number * GAP_S)
            same.go_on(gateways[number], "/quick/a", b"more ", SHORT_S)
            if number == 1:
                mixed.go_on(gateways[number], "/tutor/a", b"more ", LONG_S)
            time.sleep(0.5)
            restart(gateways[number])
        for thread in restarts:
            thread.join(15)
        wait_until(3 * SHORT_S + 1.5)
        rows = platform.run(lambda: sorted(key for table, _, key in platform.store.rows if table == "turns"))
        record.add(f"turns in the store: {rows}; of same: {[turn[0] for turn in same.turns]}; of mixed: "
                   f"{[turn[0] for turn in mixed.turns]}")
        broken = False
        for conversation, path in ((same, "/quick/a"), (mixed, "/tutor/a")):
            lost, seen = conversation.judge(gateways, path)
            broken |= lost
            result = f"LOST: {seen}: {'BROKEN' if lost else 'held'}"
            record.add(result)
            print(result)
        return harness.BROKEN if broken else harness.HELD


harness.run_case(main)
