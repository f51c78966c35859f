"""FAULT: one spoilt response of a server ends the gateway's process."""
import concurrent.futures
import pathlib
import random
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from harness import BROKEN, HELD, TROUBLE, CouldNotRun, World, run_case, send, standin  # noqa: E402

SERVERS = 6
FAULTY = 2            # a third of the service's servers
SPOILT_SHARE = 0.02   # of their answers
RESTART_S = 1.0
SPELLS, SPELL_S, PAUSE_S = 5, 5.5, 4.0
ENDS = 3              # the rule: three times
MACHINES = 2          # on two machines at least


class Server(standin.Backend):
    """A faulty one spoils some answers: a length that isn't the body's, three bytes, and the end of the channel."""

    faulty = False
    random = random.Random(28)
    spoilt = []

    async def run(self, request, reader, writer, behaviour):
        if not self.faulty or self.random.random() >= SPOILT_SHARE:
            return await super().run(request, reader, writer, behaviour)
        Server.spoilt.append((time.monotonic(), request.headers["request-id"], self.identity))
        fields = {**self.headers(request), "Content-Length": "1000000000000000000"}
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items())
                      + "\r\nabc").encode())
        await writer.drain()
        return False


def main():
    world = World(FOLDER)
    record = world.record
    for i in range(SERVERS):
        world.platform.add(Server, f"t-{i}", "tools", work_s=0.02)
    world.configure([{"prefix": "/pay/", "kind": "non_idempotent", "service": "tools", "maxAttempts": 1},
                     {"prefix": "/read/", "kind": "idempotent", "service": "tools", "maxAttempts": 2}])
    gateways = [world.gateway(f"edge-{i}", memory_mb=120) for i in (1, 2)]
    world.wait_ready()
    time.sleep(2)
    stop = threading.Event()
    ends = {gateway.name: 0 for gateway in gateways}
    answers = []

    def platform(gateway):
        """The platform starts a process that has ended again after a short delay."""
        while not stop.wait(0.01):
            if gateway.alive():
                continue
            ends[gateway.name] += 1
            last = gateway.log_path.read_text(errors="replace").rstrip().rsplit("\n", 1)[-1]
            record(f"platform: {gateway.name} ended by itself, exit status {gateway.process.returncode}, "
                   f"last line: {last}")
            time.sleep(RESTART_S)
            gateway.start()

    def consumer(number):
        gateway, kind = gateways[number % 2], ("pay", "read")[number // 2 % 2]
        while not stop.wait(0.1):
            if not gateway.alive() or not gateway.is_ready():
                continue
            answer = send(gateway.front, "POST", f"/{kind}/{number}", b"{}")
            answers.append(answer)
            if answer.status != 200:
                record(f"request={answer.request_id} path=/{kind}/{number} gateway={gateway.name} "
                       f"status={answer.status} error={answer.error or '-'}")

    def spoil(faulty):
        for i in range(FAULTY):
            world.platform.servers[f"t-{i}"].faulty = faulty and TROUBLE
        if TROUBLE:
            record(f"{FAULTY} of {SERVERS} servers spoil {SPOILT_SHARE:.0%} of their answers" if faulty
                   else "all servers are well")

    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        for gateway in gateways:
            pool.submit(platform, gateway)
        for number in range(12):
            pool.submit(consumer, number)
        for _ in range(SPELLS):
            spoil(True)
            time.sleep(SPELL_S)
            spoil(False)
            time.sleep(PAUSE_S)
        stop.set()
    for at, identity, server in Server.spoilt:
        record(f"at {at - record.started:.3f} server {server} spoilt the answer to request={identity}")
    ran = world.executed()
    lost = [answer for answer in answers if answer.status == 0 and answer.request_id in ran
            and answer.request_id not in {identity for _, identity, _ in Server.spoilt}]
    if not TROUBLE and len(answers) < 100:
        raise CouldNotRun("too few requests were sent")
    for name in ends:
        record(f"result gateway={name} ended_by_itself={ends[name]}")
    record(f"result requests={len(answers)} spoilt={len(Server.spoilt)} others_run_and_never_answered={len(lost)}")
    hit = [name for name, count in ends.items() if count >= ENDS]
    print(f"FAULT: processes that ended by themselves: {ends} (bound: {ENDS} on {MACHINES} machines); "
          f"{len(Server.spoilt)} of {len(answers)} answers were spoilt, {len(lost)} other requests were run and never "
          f"answered")
    return BROKEN if len(hit) >= MACHINES else HELD


run_case(main)
