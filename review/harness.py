"""Shared parts of the review's scripts: gateway processes, consumers and the record of a run.

The platform's store, the plain servers and the model engines are the project's own stand-ins (tests/gateway/standin.py).
"""
import asyncio
import atexit
import http.client
import itertools
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "gateway"))
import standin  # noqa: E402

HOST = "desk.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    pass


class Record:
    """Writes what was sent, answered and run, with the time since the start, to record.txt of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self(f"trouble={int(TROUBLE)}")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def free_port():
    """A port free for datagrams and connections, below the usual range of outgoing connections."""
    while True:
        port = random.randrange(12000, 32000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
            return port
        except OSError:
            continue


def deploy_command():
    return re.search(r'^run = "(.*)"', (ROOT / "deploy" / "system.toml").read_text(), re.M).group(1).split()


class Gateway:
    """A gateway process of the deploy file, on a machine of its own: own settings file and ports."""

    def __init__(self, name, store_port, memory_mb=130, grace_s=8):
        self.name, self.store_port, self.memory_mb, self.grace_s = name, store_port, memory_mb, grace_s
        self.folder = tempfile.TemporaryDirectory()
        self.settings = pathlib.Path(self.folder.name) / "settings.yaml"
        self.log_path = pathlib.Path(self.folder.name) / "log"
        self.process = None
        self.choose_ports()
        self.start()

    def choose_ports(self):
        self.front, self.ready, self.peer = free_port(), free_port(), free_port()
        name, memory_mb, grace_s, store_port = self.name, self.memory_mb, self.grace_s, self.store_port
        self.settings.write_text(f"""
node: "{name}"
role: "gateway"
machineClass: "edge"
serves: ["edge"]
ip: "127.0.0.1"
zone: "zone-a"
region: "region-a"
zones: {{"zone-a": "region-a"}}
listen: {{front: "127.0.0.1:{self.front}", ready: "127.0.0.1:{self.ready}"}}
portRange: [{self.peer}, {self.peer}]
seeds: []
bootstrap: true
limits: {{cpuShare: 0.5, cores: 1, memoryMb: {memory_mb}, maxFds: 8200, linkMbps: 1000.0, diskMb: 0}}
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"]
bounds: {{seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: {grace_s},
  lossSlackMs: 200, configApplyMs: 2000, backMs: 250, skewMaxMs: 5000, recoveryS: 12, passMs: 120, againS: 0,
  deadlineS: 10, settleMs: 1000}}
provider: {{address: "127.0.0.1:{store_port}", form: "table", writesPerS: 800, readsPerS: 2000, txMs: 5.0,
  partWritesS: 200, rowBytes: 65536, across: false, historyS: 20, blobBytes: 8388608, blobMs: 25.0, blobMbS: 80.0}}
""")

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                deploy_command(), cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "VANILLALEVER_NODE_FILE": str(self.settings)})

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self.ready, timeout=1)
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def signal(self, number):
        self.process.send_signal(number)

    def alive(self):
        return self.process.poll() is None

    def resident_mb(self):
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            return int(re.search(r"VmRSS:\s+(\d+) kB", status).group(1)) / 1024
        except (OSError, AttributeError):
            return 0.0

    def log_lines(self, event):
        return [line for line in self.log_path.read_text(errors="replace").splitlines() if f"event={event}" in line]

    def end(self):
        if self.alive():
            self.process.kill()
        self.process.wait()
        self.folder.cleanup()


class World:
    """Store, servers and gateways of one run."""

    def __init__(self, folder, store=standin.Store):
        self.record = Record(folder)
        original, standin.Store = standin.Store, store
        self.platform = standin.Platform()
        standin.Store = original
        self.gateways = []
        self.children = []  # servers that are processes of their own
        atexit.register(self.end)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.abandon)

    @property
    def store(self):
        return self.platform.store

    def gateway(self, name, **options):
        gateway = Gateway(name, self.store.port, **options)
        self.gateways.append(gateway)
        return gateway

    def configure(self, routes, **limits):
        base = {"host": HOST, "timeoutMs": 4000, "goalMs": 250, "priority": 1, "maxAttempts": 2, "stateful": False,
                "retentionS": 60.0, "sticky": False, "resumable": False}
        platform = self.platform
        platform.version += 3

        def put():
            services = [{"name": "tools", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": False},
                        {"name": "models", "healthPath": "/health", "maxConns": 160, "protocol": "h1", "tls": False,
                         "engine": {"slots": 12, "kvCapacity": 105761, "eventTokens": 5}}]
            config = {"version": platform.version, "services": services,
                      "routes": [dict(base, name=r["prefix"].strip("/"), **r) for r in routes],
                      "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 2000,
                                 "idleTimeoutMs": 10000, **limits}}
            platform.store.put("op", "config", config)
        platform.run(put)

    def wait_ready(self, timeout_s=15):
        deadline = time.monotonic() + timeout_s
        while not all(gateway.is_ready() for gateway in self.gateways):
            if time.monotonic() > deadline:
                raise CouldNotRun("the gateways are not ready")
            for gateway in self.gateways:
                if not gateway.alive():
                    # Another program has taken one of its ports meanwhile.
                    gateway.choose_ports()
                    gateway.start()
            time.sleep(0.05)

    def beat(self):
        """Servers write their entries again; only `seq` changes."""
        for identity, server in list(self.platform.servers.items()):
            self.platform.run(self.store.put, "servers", identity, server.entry())

    def executed(self):
        """Request id -> servers that ran it."""
        runs = {}
        for identity, server in self.platform.servers.items():
            for run in list(server.executed):
                runs.setdefault(run[0], []).append(identity)
        return runs

    def abandon(self, *_):
        self.end()
        os._exit(NOT_RUN)

    def end(self):
        gateways, self.gateways = self.gateways, []
        for process in [*gateways, *self.children]:
            process.end()


_ids = itertools.count(1)
_run = random.randrange(1 << 24)


def new_id():
    return f"{_run:06x}{next(_ids):010x}"


class Answer:
    def __init__(self, request_id, status, headers, body, whole, error=""):
        self.request_id, self.status, self.headers = request_id, status, headers
        self.body, self.whole, self.error = body, whole, error

    def events(self):
        return len(re.findall(rb"^id: ", self.body, re.M))


def send(port, method, path, body=b"", headers=None, deadline_ms=4000, connection=None):
    """One consumer attempt. `status` is 0 if the channel ended before a response."""
    request_id = new_id()
    own = connection is None
    connection = connection or http.client.HTTPConnection("127.0.0.1", port, timeout=deadline_ms / 1000 + 1)
    fields = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": str(deadline_ms), **(headers or {})}
    status, got, data = 0, {}, b""
    try:
        connection.request(method, path, body, fields)
        response = connection.getresponse()
        status, got = response.status, dict(response.getheaders())
        while piece := response.read1(65536):
            data += piece
        return Answer(request_id, status, got, data, True)
    except (OSError, http.client.HTTPException) as error:
        return Answer(request_id, status, got, data, False, type(error).__name__)
    finally:
        if own:
            connection.close()


def turn_headers(program, budget, most, session="", previous="", prompt=1800, finish_ms=300000):
    headers = {"Program-Id": program, "Session-Id": session or f"s-{program}", "Finish-Ms": str(finish_ms),
               "Token-Budget": str(budget), "Token-Count": f"{prompt},{most}", "Model": "m",
               "Prompt-Prefix": f"5c1e07a2:800,{abs(hash(program)) % (1 << 32):08x}:{prompt - 800}"}
    if previous:
        headers["Previous-Turn"] = previous
    return headers


def run_case(main):
    try:
        code = main()
    except CouldNotRun as error:
        print(f"the case could not run: {error}")
        code = NOT_RUN
    sys.stdout.flush()
    sys.exit(code)
