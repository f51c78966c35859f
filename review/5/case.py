"""LOST: a machine that is stopped by plan takes requests that it then cuts."""
import concurrent.futures
import http.client
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from harness import BROKEN, HELD, TROUBLE, CouldNotRun, World, run_case, send, standin  # noqa: E402

CONSUMERS = 60
WORK_S = 4.2         # of a request; its time limit and the route's timeout are 6 s
LIMIT_MS = 6000
GRACE_S = 8.0        # graceS
EXCUSED_S = 3.0      # the rule: "sent no later than 3 s after the SIGTERM"


def main():
    world = World(FOLDER)
    record = world.record
    for i in range(12):
        world.platform.add(standin.Backend, f"t-{i}", "tools", work_s=WORK_S)
    world.configure([{"prefix": "/pay/", "kind": "non_idempotent", "service": "tools", "maxAttempts": 1,
                      "timeoutMs": LIMIT_MS, "goalMs": 1200}])
    gateways = [world.gateway(f"edge-{i}", grace_s=int(GRACE_S)) for i in (1, 2)]
    world.wait_ready()
    time.sleep(2)
    answers = []

    def consumer(number, gateway, other, began, at):
        """Sends one request on a channel that it has kept open; opens another one if that is closed unread."""
        channel = http.client.HTTPConnection("127.0.0.1", gateway.front, timeout=LIMIT_MS / 1000 + 2)
        channel.connect()
        time.sleep(max(0, began + at - time.monotonic()))
        sent = time.monotonic() - began
        answer = send(gateway.front, "POST", f"/pay/{number}", b"{}", deadline_ms=LIMIT_MS, connection=channel)
        ended = time.monotonic() - began
        answers.append((gateway.name, sent, ended, answer))
        if answer.status == 0 and answer.request_id not in world.executed():
            sent = time.monotonic() - began
            answer = send(other.front, "POST", f"/pay/{number}", b"{}", deadline_ms=LIMIT_MS)
            answers.append((other.name, sent, time.monotonic() - began, answer))

    lost = []
    for turn, gateway in enumerate(gateways):
        other = gateways[1 - turn]
        began = time.monotonic() + 1
        first = len(answers)
        with concurrent.futures.ThreadPoolExecutor(CONSUMERS) as pool:
            jobs = [pool.submit(consumer, number, gateway, other, began, random.uniform(0, 6))
                    for number in range(CONSUMERS)]
            time.sleep(max(0, began - time.monotonic()))
            if TROUBLE:
                record(f"platform: SIGTERM to {gateway.name}")
                gateway.signal(signal.SIGTERM)
            for job in jobs:
                job.result()
        if TROUBLE:
            gateway.process.wait(GRACE_S)
            record(f"platform: {gateway.name} ended with exit status {gateway.process.returncode}, is started again")
            gateway.start()
        world.wait_ready()
        time.sleep(2)
        ran = world.executed()
        for name, sent, ended, answer in answers[first:]:
            run = answer.request_id in ran
            within = TROUBLE and name == gateway.name and EXCUSED_S < sent and ended < GRACE_S + 1
            cut = run and within and not answer.whole and (ended - sent) * 1000 < LIMIT_MS
            record(f"request={answer.request_id} gateway={name} sent_s={sent:.2f} ended_s={ended:.2f} run={run} "
                   f"status={answer.status} complete={answer.whole} {'BROKEN' if cut else 'held'}")
            if cut:
                lost.append(answer)
    served = sum(answer.status == 200 for _, _, _, answer in answers)
    record(f"result attempts={len(answers)} served={served} run_and_cut_by_the_stop={len(lost)}")
    if served < 0.5 * 2 * CONSUMERS:
        raise CouldNotRun("too few requests were served")
    print(f"LOST: {len(lost)} requests were passed on to a server, sent later than {EXCUSED_S:.0f} s after the SIGTERM, "
          f"and cut by the stop; {served} served")
    return BROKEN if lost else HELD


run_case(main)
