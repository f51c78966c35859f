"""FAULT: a server that sends without end makes the gateways exceed their memory limit."""
import asyncio
import concurrent.futures
import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from harness import BROKEN, HELD, TROUBLE, CouldNotRun, World, new_id, run_case, send, standin, turn_headers  # noqa: E402

MEMORY_MB = 130       # limits.memoryMb of the site's edge machines
BYTES_PER_S = 60e6    # of the faulty server; a machine's link carries 1,000 Mbit/s
RESTART_S = 1.0
TROUBLE_S = 20
ENDS = 3              # the rule: three times
MACHINES = 2          # on two machines at least


class Engine(standin.Engine):
    """A faulty one sends bytes that are no answer without end: events without ids, far beyond the turn's most tokens."""

    faulty = False

    async def run(self, request, reader, writer, behaviour):
        if not self.faulty:
            return await super().run(request, reader, writer, behaviour)
        fields = {**self.headers(request), "Transfer-Encoding": "chunked", "Content-Type": "text/event-stream"}
        writer.write("".join(["HTTP/1.1 200 OK\r\n", *(f"{n}: {v}\r\n" for n, v in fields.items()), "\r\n"]).encode())
        piece = (b"data: " + b"x" * 1000 + b"\n\n") * 64
        piece = f"{len(piece):x}\r\n".encode() + piece + b"\r\n"
        began, sent = time.monotonic(), 0
        while not writer.transport.is_closing():
            writer.write(piece)
            sent += len(piece)
            await writer.drain()
            await asyncio.sleep(max(0, sent / BYTES_PER_S - (time.monotonic() - began)))
        return False


def read_turn(gateway, headers):
    """One attempt of a turn by a consumer that reads at once. Returns status, bytes and whether it is complete."""
    request_id = new_id()
    fields = {"Host": "desk.example", "Request-Id": request_id, "Deadline-Ms": "4000", "Content-Length": "3", **headers}
    status, size, tail, scratch = 0, 0, b"", bytearray(1 << 20)
    try:
        with socket.create_connection(("127.0.0.1", gateway.front), timeout=1) as channel:
            channel.settimeout(5)
            channel.sendall(("POST /chat/1 HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items())
                             + "\r\n").encode() + b"abc")
            while got := channel.recv_into(scratch):
                if not size:
                    status = int(scratch[9:12])
                size += got
                tail = (tail + bytes(scratch[max(0, got - 8):got]))[-8:]
                if (status == 200 and tail.endswith(b"\r\n0\r\n\r\n")) or status >= 400:
                    return request_id, status, size, True
    except OSError:
        pass
    return request_id, status, size, False


def main():
    world = World(FOLDER)
    record = world.record
    for i in range(3):
        world.platform.add(Engine, f"m-{i}", "models", events=6, gap_s=0.005)
    for i in range(3):
        world.platform.add(standin.Backend, f"t-{i}", "tools", work_s=0.1)
    world.configure([{"prefix": "/chat/", "kind": "streaming", "service": "models", "sticky": True, "stateful": True,
                      "maxAttempts": 1},
                     {"prefix": "/pay/", "kind": "non_idempotent", "service": "tools", "maxAttempts": 1}])
    gateways = [world.gateway(f"edge-{i}", memory_mb=MEMORY_MB) for i in (1, 2)]
    world.wait_ready()
    time.sleep(2)
    stop = threading.Event()
    ends = {gateway.name: 0 for gateway in gateways}
    peak = dict.fromkeys(ends, 0.0)
    others = []

    def platform(gateway):
        """The platform: kills a process that exceeds its memory limit, and starts it again after a short delay."""
        while not stop.wait(0.01):
            resident = gateway.resident_mb()
            peak[gateway.name] = max(peak[gateway.name], resident)
            if resident <= MEMORY_MB and gateway.alive():
                continue
            ends[gateway.name] += 1
            record(f"platform: {gateway.name} ended, resident {resident:.0f} MB, limit {MEMORY_MB} MB")
            if gateway.alive():
                gateway.process.kill()
            gateway.process.wait()
            time.sleep(RESTART_S)
            gateway.start()

    def pay(gateway):
        while not stop.wait(0.1):
            others.append(send(gateway.front, "POST", "/pay/1", b"{}"))

    def program(number):
        gateway, count = gateways[number % 2], 0
        while not stop.wait(0.2):
            if not gateway.is_ready():
                continue
            count += 1
            request_id, status, size, whole = read_turn(gateway, turn_headers(f"p{number}-{count}", 100000, 30))
            record(f"turn program=p{number}-{count} request={request_id} gateway={gateway.name} status={status} "
                   f"bytes={size} complete={whole}")

    if TROUBLE:
        world.platform.servers["m-0"].faulty = True
        record("server m-0 sends bytes without end")
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        for gateway in gateways:
            pool.submit(platform, gateway)
            pool.submit(pay, gateway)
        for number in range(4):
            pool.submit(program, number)
        time.sleep(TROUBLE_S)
        stop.set()
    lost = [answer for answer in others if answer.status == 0]
    record(f"requests of others: {len(others)}, ended without an answer: {len(lost)}")
    hit = [name for name, count in ends.items() if count >= ENDS]
    for name in ends:
        record(f"result gateway={name} ended={ends[name]} peak_mb={peak[name]:.0f} limit_mb={MEMORY_MB}")
    print(f"FAULT: processes over their memory limit of {MEMORY_MB} MB: {ends} (bound: {ENDS} on {MACHINES} machines)")
    return BROKEN if len(hit) >= MACHINES else HELD


run_case(main)
