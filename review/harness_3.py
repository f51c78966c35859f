"""What the cases 11 to 15 share: gateways started by the command of the deploy file, callers, and a record.

The platform's store and the servers are the project's own stand-ins (tests/gateway/standin.py); a case changes what they
do only as the pages allow.
"""
import contextlib
import http.client
import os
import pathlib
import random
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
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CaseError(Exception):
    """The case could not be run."""


def command():
    """The command of the gateway in the deploy file."""
    for line in (ROOT / "deploy" / "system.toml").read_text().splitlines():
        name, _, value = line.partition("=")
        if name.strip() == "run":
            words = value.strip().strip('"').split()
            return [str(ROOT / words[0]), *words[1:]]
    raise CaseError("the deploy file has no command")


def free_port(kinds=(socket.SOCK_STREAM,)):
    """A free port outside the usual range of outgoing connections."""
    for _ in range(200):
        port = random.randrange(20000, 30000)
        with contextlib.ExitStack() as stack:
            try:
                for kind in kinds:
                    stack.enter_context(socket.socket(socket.AF_INET, kind)).bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise CaseError("no free port")


class Record:
    """What was sent, answered and run, in record.txt of the case."""

    def __init__(self, directory):
        self.file = open(pathlib.Path(directory) / "record.txt", "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def add(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f}  {text}\n")
            self.file.flush()


SETTINGS = """node: "{name}"
role: "gateway"
machineClass: "edge"
serves:
  - "edge"
ip: "127.0.0.1"
zone: "zone-a"
region: "region-a"
zones:
  zone-a: "region-a"
listen:
  front: "127.0.0.1:{front}"
  ready: "127.0.0.1:{ready}"
portRange:
  - {peer}
  - {peer}
seeds: []
bootstrap: true
lossCounts: false
limits:
  cpuShare: 0.5
  cores: 1
  memoryMb: 120
  maxFds: 4096
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"]
tolerate:
  machines: 1
  zones: 0
  regions: 0
bounds:
  seedLagS: 3
  reuseAfterS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  backMs: 250
  skewMaxMs: 5000
  recoveryS: 12
  passMs: 120
  againS: 0
  deadlineS: 10
  settleMs: 1000
provider:
  address: "{store}"
  form: "table"
  writesPerS: 800
  readsPerS: 2000
  txMs: 5.0
  partWritesS: 200
  rowBytes: 65536
  across: false
  historyS: 20
  blobBytes: 8388608
  blobMs: 25.0
  blobMbS: 80.0
"""


class Gateway:
    """A gateway process."""

    def __init__(self, name, store, log):
        self.name, self.log = name, log
        self.front, self.ready = free_port(), free_port()
        self.peer = free_port((socket.SOCK_STREAM, socket.SOCK_DGRAM))
        self.store = store
        self.directory = tempfile.TemporaryDirectory()
        self.settings = pathlib.Path(self.directory.name) / "settings.yaml"
        self.settings.write_text(SETTINGS.format(name=name, front=self.front, ready=self.ready, peer=self.peer,
                                                 store=store))
        self.process = None
        self.start()

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["VANILLALEVER_NODE_FILE"] = str(self.settings)
        with open(pathlib.Path(self.directory.name) / "log", "ab") as output:
            self.process = subprocess.Popen(command(), cwd=ROOT, stdout=output, stderr=output, env=environment)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self.ready, timeout=1)
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def wait_ready(self, timeout_s=10):
        until = time.monotonic() + timeout_s
        while not self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise CaseError(f"{self.name} is not ready")
            time.sleep(0.05)

    def output(self):
        return (pathlib.Path(self.directory.name) / "log").read_text(errors="replace")

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.directory.cleanup()


class Answer:
    """What a caller got: status 0 if the connection ended before a head, `whole` if the body was complete."""

    def __init__(self, status=0, headers=None, body=b"", whole=False):
        self.status, self.headers, self.body, self.whole = status, headers or {}, body, whole


_ids = iter(range(1, 1 << 40))


def send(gateway, record, method, path, body=b"", deadline_ms=4000, **extra):
    """One attempt of a caller on a new connection."""
    identity = f"{next(_ids):016x}"
    headers = {"Host": HOST, "Request-Id": identity, "Deadline-Ms": str(deadline_ms)}
    headers.update({name.replace("_", "-"): value for name, value in extra.items()})
    record.add(f"sent {identity} {method} {path} to {gateway.name}")
    connection = http.client.HTTPConnection("127.0.0.1", gateway.front, timeout=deadline_ms / 1000 + 1)
    answer = Answer()
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        answer.status, answer.headers = response.status, dict(response.getheaders())
        try:
            answer.body = response.read()
            answer.whole = True
        except http.client.IncompleteRead as error:
            answer.body = error.partial
    except OSError:
        pass
    except http.client.HTTPException:
        pass
    finally:
        connection.close()
    record.add(f"answered {identity} {answer.status} whole={answer.whole} bytes={len(answer.body)}")
    answer.identity = identity
    return answer


@contextlib.contextmanager
def deployment(directory, gateways=2):
    """A platform, its record and the gateways; all ends with the case."""
    record = Record(directory)
    platform = standin.Platform()
    started = []
    try:
        yield platform, record, started
    finally:
        for gateway in started:
            gateway.end()
        platform.close()
        record.add("ended")
        record.file.close()


def run_case(case):
    """Runs `case` and exits with its result."""
    try:
        result = case()
    except Exception as error:  # A fault of the case itself is no broken rule.
        print(f"the case could not be run: {type(error).__name__}: {error}")
        result = NOT_RUN
    sys.exit(result)
