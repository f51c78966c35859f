"""Two gateways grant the same tokens of a program: one is cut off from the others, then the store is down for all; see
claim.txt."""
import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness_2 as harness  # noqa: E402

GATEWAYS = 6
BUDGET = 300
TURN_TOKENS = 20
EVENT_TOKENS = 5
CUT_S = 5.3
DOWN_S = 4.5
ROUTES = [{"prefix": "/turn/", "kind": "streaming", "service": "models", "sticky": True}]


class Network:
    """The links between gateways. Gateway i knows gateway j by an address of the link from i to j, which passes on
    datagrams and connections unless one of both is cut off."""

    def __init__(self, addresses, port):
        self.addresses, self.port = addresses, port
        self.cut = set()
        self.sockets = {}
        self.passed = self.dropped = 0

    def link(self, i, j):
        return f"127.0.2.{10 * (i + 1) + j + 1}"

    def passes(self, i, j):
        return not {i, j} & self.cut

    async def start(self):
        loop = asyncio.get_running_loop()
        for i in range(len(self.addresses)):
            for j in range(len(self.addresses)):
                if i != j:
                    transport, _ = await loop.create_datagram_endpoint(
                        lambda i=i, j=j: LinkProtocol(self, i, j), local_addr=(self.link(i, j), self.port))
                    self.sockets[i, j] = transport
                    await asyncio.start_server(lambda r, w, i=i, j=j: self.connect(i, j, r, w), self.link(i, j),
                                               self.port)

    def on_datagram(self, i, j, data):
        if not self.passes(i, j):
            self.dropped += 1
            return
        self.passed += 1
        self.sockets[j, i].sendto(data, (self.addresses[j], self.port))

    async def connect(self, i, j, reader, writer):
        if not self.passes(i, j):
            await asyncio.sleep(30)
            writer.transport.abort()
            return
        try:
            other_reader, other_writer = await asyncio.open_connection(self.addresses[j], self.port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.copy(i, j, reader, other_writer), self.copy(i, j, other_reader, writer))

    async def copy(self, i, j, reader, writer):
        try:
            while data := await reader.read(65536):
                if self.passes(i, j):
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        writer.transport.abort()


class LinkProtocol(asyncio.DatagramProtocol):
    def __init__(self, network, i, j):
        self.network, self.i, self.j = network, i, j

    def datagram_received(self, data, address):
        self.network.on_datagram(self.i, self.j, data)


class StoreView(harness.standin.Listener):
    """The store's address for one gateway: the addresses of the others in table `gateways` are those of the links."""

    class Buffer:
        def __init__(self):
            self.data = b""

        def write(self, data):
            self.data += data

    def __init__(self, store, network, index):
        super().__init__()
        self.store, self.network, self.index = store, network, index

    async def handle(self, request, reader, writer):
        if request.query.get("table") != "gateways":
            return await self.store.handle(request, reader, writer)
        buffer = self.Buffer()
        kept = await self.store.handle(request, reader, buffer)
        head, _, body = buffer.data.partition(b"\r\n\r\n")
        if head.startswith(b"HTTP/1.1 200"):
            content = json.loads(body)
            for number, row in enumerate(content["rows"]):
                address, _, port = row["key"].rpartition(":")
                if address in self.network.addresses:
                    other = self.network.addresses.index(address)
                    if other != self.index:
                        content["rows"][number] = dict(row, key=f"{self.network.link(self.index, other)}:{port}")
            writer.write(harness.standin.response(200, {"Content-Type": "application/json"},
                                                  json.dumps(content).encode()))
        elif buffer.data:
            writer.write(buffer.data)
        return kept


def case(record):
    with harness.Deployment(GATEWAYS) as deployment:
        platform = deployment.platform
        network = Network([gateway.address for gateway in deployment.gateways], deployment.peer_port)
        platform.call(network.start())
        for index, gateway in enumerate(deployment.gateways):
            view = platform.call(StoreView(platform.store, network, index).start())
            text = gateway.settings.read_text()
            gateway.settings.write_text(text.replace(f"127.0.0.1:{platform.store.port}", f"127.0.0.1:{view.port}"))
        platform.configure(ROUTES, idleTimeoutMs=15000)
        for number in (1, 2):
            platform.add(harness.standin.Engine, f"engine-{number}", "models", events=TURN_TOKENS // EVENT_TOKENS)
        deployment.start()
        first, second = deployment.gateways[:2]
        time.sleep(4)
        record(f"datagrams between gateways: {network.passed} passed on, {network.dropped} dropped")
        handed = {}

        def turn(gateway):
            headers = {"Program-Id": "3fa81c", "Session-Id": "77d20b", "Finish-Ms": "20000", "Model": "m",
                       "Token-Budget": str(BUDGET), "Token-Count": f"100,{TURN_TOKENS}", "Prompt-Prefix": "5c1e07a2:100"}
            caller = harness.Caller(gateway)
            status, body, _ = caller.send("POST", "/turn/1", b"x", **headers)
            caller.close()
            tokens = EVENT_TOKENS * body.count(b"id:") if status == 200 else 0
            handed[gateway.name] = handed.get(gateway.name, 0) + tokens
            record(f"turn sent to {gateway.name}: {status}, {tokens} tokens; in all {sum(handed.values())} of {BUDGET}")
            return status

        cut_at = time.monotonic()
        if harness.disruption():
            record(f"{first.name} is cut off from the other gateways, not from the store")
            network.cut = {0}
        time.sleep(2.6)
        # A program that loops until it is stopped.
        for _ in range(2 * BUDGET // TURN_TOKENS):
            if turn(first) != 200:
                break
        if harness.disruption():
            record("the store is down for all")
            platform.store.mode = "busy"
        down_at = time.monotonic()
        time.sleep(0.4)

        def end(moment, text, action):
            if moment <= time.monotonic():
                record(text)
                action()
                return True
            return False

        def heal():
            network.cut = set()

        def bring_back():
            platform.store.mode = "ok"

        # The program comes back, through another gateway.
        cut_over = down_over = not harness.disruption()
        stop = down_at + DOWN_S + 3
        while time.monotonic() < stop:
            # A turn may take half a second: both end early rather than late.
            cut_over = cut_over or end(cut_at + CUT_S - 0.5, f"the cut ends after {time.monotonic() - cut_at:.1f} s", heal)
            down_over = down_over or end(down_at + DOWN_S - 1.6, f"the store is back after {time.monotonic() - down_at:.1f} s",
                                         bring_back)
            turn(second)
            time.sleep(0.1)
        total = sum(handed.values())
        record(f"tokens handed to the program: {handed}, in all {total}; its budget and the most of one turn: "
               f"{BUDGET + TURN_TOKENS}")
        return harness.BROKEN if total > BUDGET + TURN_TOKENS else harness.HELD


harness.run_case(FOLDER / "record.txt", case)
