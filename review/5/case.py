"""BUDGET: a request that crashes the servers that run it is sent to servers again and again."""
import asyncio
import concurrent.futures
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from harness import BROKEN, HELD, TROUBLE, World, run_case, send, standin  # noqa: E402

SERVERS = 6
BACK_S = 3.0          # a crashed server is back after some seconds
CONTACT_S = 3.0       # contactMs
RETRIES = 3           # the rule: not in more than three retries
CALLS = 16            # how often the request comes
GAP_S = 1.0
PATH = "/read/lot-4711"
BODY = b'{"lot": 4711}'


class Server(standin.Backend):
    """Crashes when it begins to run the bad request, and is back after some seconds under a new id."""

    world = None
    crashes = []      # times
    reached = []      # (time, request id, server)
    lost = []         # requests of others that were at work on a server that crashed
    lives = 0

    def __init__(self, identity, service):
        super().__init__(identity, service)
        self.open = set()
        self.work_s = 0.08

    async def handle(self, request, reader, writer):
        identity = request.headers.get("request-id", "")
        bad = request.path == PATH and request.headers.get("expect-instance") == self.identity
        if bad:
            Server.reached.append((time.monotonic(), identity, self.identity))
            if TROUBLE:
                Server.crashes.append(time.monotonic())
                Server.lost += [other for other in self.open]
                await self.stop()
                asyncio.get_running_loop().create_task(self.come_back())
                return False
        self.open.add(identity)
        try:
            return await super().handle(request, reader, writer)
        finally:
            self.open.discard(identity)

    async def come_back(self):
        """The entry lapses after three missed pings or is replaced by that of the new lifetime."""
        world = Server.world
        await asyncio.sleep(BACK_S)
        Server.lives += 1
        server = Server(f"t-{Server.lives + SERVERS}", self.service)
        await server.start()
        world.platform.servers[server.identity] = server
        world.store.put("servers", self.identity, None)
        world.store.put("servers", server.identity, server.entry())


def main():
    world = Server.world = World(FOLDER)
    record = world.record
    for i in range(SERVERS):
        world.platform.add(Server, f"t-{i}", "tools")
    world.configure([
        {"prefix": "/read/", "kind": "idempotent", "service": "tools", "timeoutMs": 2000, "maxAttempts": 2},
        {"prefix": "/pay/", "kind": "non_idempotent", "service": "tools", "maxAttempts": 1}])
    gateways = [world.gateway(f"edge-{i}") for i in range(1, 4)]
    world.wait_ready()
    time.sleep(4)

    stop = threading.Event()
    others = []

    def pay(number):
        """Another consumer's requests, which may run once at most."""
        while not stop.wait(0.05):
            answer = send(gateways[number % 3].front, "POST", f"/pay/{number}", b"{}")
            others.append(answer)

    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        for i in range(6):
            pool.submit(pay, i)
        began = time.monotonic()
        for number in range(CALLS):
            gateway = gateways[number % 3]
            answer = send(gateway.front, "POST", PATH, BODY, {"Affinity-Key": "lot-4711"}, deadline_ms=2000)
            record(f"request={answer.request_id} path={PATH} gateway={gateway.name} status={answer.status} "
                   f"whole={answer.whole}")
            time.sleep(max(0, began + (number + 1) * GAP_S - time.monotonic()))
        stop.set()
    for at, identity, server in Server.reached:
        record(f"at {at - record.started:.3f} request={identity} reached server={server}"
               f"{' which crashed' if TROUBLE else ''}")
    failed = [answer for answer in others if answer.status != 200]
    for answer in failed[:40]:
        record(f"other request={answer.request_id} status={answer.status} "
               f"was_at_work_in_a_crash={answer.request_id in Server.lost}")
    late = []
    if len(Server.crashes) >= 3:
        bound = Server.crashes[2] + CONTACT_S
        late = sorted({identity for at, identity, _ in Server.reached if at > bound})
    record(f"result crashes={len(Server.crashes)} retries_that_reached_servers_later={len(late)} bound={RETRIES} "
           f"requests_of_others={len(others)} failed={len(failed)} lost_at_work={len(Server.lost)}")
    print(f"BUDGET: the request reached servers in {len(late)} retries later than contactMs after its third crash "
          f"(bound {RETRIES}); {len(Server.crashes)} crashes, {len(Server.lost)} requests of others lost at work")
    return BROKEN if len(late) > RETRIES else HELD


run_case(main)
