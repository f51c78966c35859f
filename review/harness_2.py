"""What the scripts of this review share: a small deployment of gateways on loopback addresses, callers, and the record.

The programs are started with the command of deploy/system.toml, each on a loopback address of its own; store and servers
are the project's stand-ins in tests/gateway/standin.py.
"""
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(REPOSITORY / "tests" / "gateway"))
import standin  # noqa: E402

GATEWAY = REPOSITORY / "target/apps/vanillalever_gateway/vanillalever_gateway"
HOST = "desk.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up."""


def disruption():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        line = f"{self.now():8.3f} {text}"
        print(line, flush=True)
        print(line, file=self.file, flush=True)


def free_port(address, kind):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def common_peer_port(addresses):
    """A port that is free for datagrams and connections on all addresses, outside the range of outgoing connections."""
    for _ in range(1000):
        port = random.randrange(20000, 30000)
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((address, port))
            return port
        except OSError:
            continue
    raise CannotRun("no free port")


class Gateway:
    """A gateway process and its settings, which stay the same when it is started again."""

    def __init__(self, name, address, peer_port, store_port, directory, memory_mb=512, bounds=None, settings=""):
        self.name, self.address, self.memory_mb = name, address, memory_mb
        self.front, self.ready_port = free_port(address, socket.SOCK_STREAM), free_port(address, socket.SOCK_STREAM)
        limits = {"contactMs": 4000, "drainMs": 3000, "graceS": 8, "configApplyMs": 3000}
        limits.update(bounds or {})
        self.settings = pathlib.Path(directory) / f"{name}.yaml"
        self.settings.write_text(f"""
node: "{name}"
role: "gateway"
machineClass: "edge"
ip: "{address}"
zone: "zone-a"
region: "region-a"
listen:
  front: "{address}:{self.front}"
  ready: "{address}:{self.ready_port}"
portRange: [{peer_port}, {peer_port + 15}]
bootstrap: true
limits:
  cpuShare: 0.5
  cores: 1
  memoryMb: {memory_mb}
  maxFds: 8200
dataDir: null
heartbeatMs: 1200
bounds: {json.dumps(limits)}
provider:
  address: "127.0.0.1:{store_port}"
  form: "table"
  writesPerS: 1200
  readsPerS: 6000
  txMs: 5.0
  partWritesS: 200
  rowBytes: 65536
  historyS: 20
{settings}
""")
        self.log_path = pathlib.Path(directory) / f"{name}.log"
        self.process = None

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([str(GATEWAY)], stdout=log, stderr=log, cwd=REPOSITORY,
                                            env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp",
                                                 "VANILLALEVER_NODE_FILE": str(self.settings)})

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.address, self.ready_port, timeout=1)
            connection.request("GET", "/readiness")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_ready(self, timeout_s=10):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if self.is_ready():
                return
            time.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def memory_kb(self, field="VmRSS"):
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1])
        return 0

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self, wait_s=10):
        """SIGTERM, and SIGKILL after `wait_s`."""
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(wait_s)
        except subprocess.TimeoutExpired:
            self.kill()

    def kill(self):
        self.process.kill()
        self.process.wait()

    def log(self):
        return self.log_path.read_text(errors="replace")


class Deployment:
    """A store, servers and gateways; ends all of them on leaving."""

    def __init__(self, count, **options):
        if not GATEWAY.exists():
            raise CannotRun("the gateway is not built")
        self.directory = tempfile.TemporaryDirectory()
        self.platform = standin.Platform()
        addresses = [f"127.0.0.{11 + n}" for n in range(count)]
        self.peer_port = common_peer_port(addresses)
        self.gateways = [Gateway(f"edge-{n + 1}", address, self.peer_port, self.platform.store.port, self.directory.name,
                                 **options) for n, address in enumerate(addresses)]

    def start(self):
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            gateway.wait_ready()

    def __enter__(self):
        return self

    def __exit__(self, *error):
        for gateway in self.gateways:
            if gateway.process and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.kill()
        self.platform.close()
        self.directory.cleanup()


def request_id():
    return f"{random.getrandbits(64):016x}"


class Caller:
    """A caller with one kept connection to a gateway."""

    def __init__(self, gateway, timeout_s=8):
        self.gateway = gateway
        self.connection = http.client.HTTPConnection(gateway.address, gateway.front, timeout=timeout_s)

    def send(self, method, path, body=None, identity=None, **headers):
        """Returns status, body and headers; status 0 where there is no complete answer."""
        fields = {"Host": HOST, "Request-Id": identity or request_id(), "Deadline-Ms": "4000"}
        fields.update({name.replace("_", "-"): value for name, value in headers.items()})
        try:
            self.connection.request(method, path, body, fields)
            answer = self.connection.getresponse()
            return answer.status, answer.read(), dict(answer.getheaders())
        except (OSError, http.client.HTTPException) as error:
            self.connection.close()
            return 0, repr(error).encode(), {}

    def close(self):
        self.connection.close()


def run_case(path, case):
    """Runs `case(record)`, which returns HELD or BROKEN, with its record at `path`."""
    record = Record(path)
    try:
        result = case(record)
    except CannotRun as error:
        record(f"the case could not run: {error}")
        result = NOT_RUN
    except Exception as error:  # pylint: disable=broad-except
        record(f"the case could not run: {error!r}")
        result = NOT_RUN
    record({HELD: "RESULT: the rule held", BROKEN: "RESULT: the rule is broken",
            NOT_RUN: "RESULT: the case could not run"}[result])
    sys.exit(result)
