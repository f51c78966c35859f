"""A budget is granted twice: the store does a write, resets its channel and refuses the copy that the gateway sends."""
import asyncio
import json
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness_3 as harness  # noqa: E402
from harness_3 import standin  # noqa: E402

EVENT_TOKENS, MAX_TOKENS, BUDGET = 5, 100, 800
OUTAGE_S = 3.0


class Store(standin.Store):
    """After arm(), an outage of OUTAGE_S begins with the next write of a program's budget: the store does it and resets
    the channel, and answers 503 to all further calls until the outage ends."""

    def __init__(self):
        super().__init__()
        self.armed = False
        self.down_until = 0.0
        self.note = lambda text: None

    async def handle(self, request, reader, writer):
        now = time.monotonic()
        if now < self.down_until:
            if request.path == "/rows-tx":
                self.note("the store refused a write (503)")
            writer.write(standin.response(503))
            return True
        if self.armed and request.path == "/rows-tx":
            body = json.loads(request.body)
            if any(row["table"] == "budgets" for row in body["puts"]):
                self.armed = False
                self.down_until = now + OUTAGE_S
                answer = self.transact(body)
                self.note(f"the store did a write of a budget ({answer.split()[1].decode()}) and reset its channel; "
                          f"down for {OUTAGE_S} s")
                standin.Backend.reset(writer)
                return False
        return await super().handle(request, reader, writer)


def main():
    with harness.deployment(HERE) as (platform, record, gateways):
        platform.call(platform.store.stop())
        platform.store = store = platform.call(platform.make(Store))
        store.note = record.add
        platform.configure([{"prefix": "/turn/", "kind": "streaming", "service": "models", "resumable": True,
                             "sticky": True, "timeoutMs": 4000}])
        engines = [platform.add(standin.Engine, f"engine-{i}", "models", gap_s=0.01) for i in range(2)]
        for name in ("edge-1", "edge-2"):
            gateways.append(harness.Gateway(name, f"127.0.0.1:{store.port}", record))
        for gateway in gateways:
            gateway.wait_ready()
        # The gateways have heard of each other.
        time.sleep(2.0)
        handed_out = []
        lock = threading.Lock()

        def turn(gateway, line):
            answer = harness.send(gateway, record, "POST", "/turn/a", b"prompt", Program_Id="program-1",
                                  Session_Id=f"line-{line}", Token_Budget=str(BUDGET), Finish_Ms="60000",
                                  Token_Count=f"500,{MAX_TOKENS}", Prompt_Prefix=f"aa:400,b{line}:100", Model="m")
            tokens = answer.body.count(b"data:") * EVENT_TOKENS
            with lock:
                handed_out.append(tokens)
            record.add(f"tokens {answer.identity} {tokens}, of the program so far {sum(handed_out)}")
            return answer.status

        def events(count):
            for engine in engines:
                engine.events = count

        # Six lines of turns at once, of which each ends after ten tokens.
        events(2)
        lines = [threading.Thread(target=turn, args=(gateways[0], number)) for number in range(6)]
        for line in lines:
            line.start()
        for line in lines:
            line.join()
        if harness.TROUBLE:
            store.armed = True
        until = time.monotonic() + 3.0
        while harness.TROUBLE and store.armed and time.monotonic() < until:
            time.sleep(0.01)
        if harness.TROUBLE and store.armed:
            raise harness.CaseError("no write of the budget came")
        time.sleep(0.3)
        # The program goes on; its turns now generate all that they may.
        events(MAX_TOKENS // EVENT_TOKENS)
        last = []
        for number in range(60):
            status = turn(gateways[number % 2 if time.monotonic() > store.down_until + 1 else 0], number % 6)
            last = (last + [status])[-6:]
            if last == [402] * 6:
                break
            time.sleep(0.1 if status == 200 else 0.3)
        total = sum(handed_out)
        bound = BUDGET + MAX_TOKENS
        broken = total > bound
        result = f"BUDGET: {total} tokens handed out; budget {BUDGET}, most of one turn {MAX_TOKENS}, bound {bound}: " \
                 f"{'BROKEN' if broken else 'held'}"
        record.add(result)
        print(result)
        if "-v" in sys.argv:
            for gateway in gateways:
                print("\n".join(line for line in gateway.output().splitlines() if "budget" in line or "store" in line))
        return harness.BROKEN if broken else harness.HELD


harness.run_case(main)
