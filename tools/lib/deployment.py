"""Starts a small deployment on the loopback interface: test doubles, sidecars and entries.

Processes listen on ephemeral ports and are stopped when the deployment is closed.
"""
import dataclasses
import json
import os
import pathlib
import re
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
ADMIN_TOKEN = "demo-admin-token"
SHARED_KEY = "demo-shared-key"
START_TIMEOUT_S = 10


@dataclasses.dataclass
class Process:
    """A process of the deployment and the addresses it listens on."""

    name: str
    popen: subprocess.Popen
    addresses: dict

    def stop(self, signal_number=signal.SIGTERM, timeout_s=20):
        """Sends a signal and waits; kills the process after the timeout. Returns the exit code."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal_number)
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()


class Deployment:
    """Context manager that stops the processes it started."""

    def __init__(self, build="build", log_directory=None):
        self.build = ROOT / build
        self.logs = pathlib.Path(log_directory or tempfile.mkdtemp(prefix="vanillalever-"))
        self.processes = []
        self.platform = None

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in reversed(self.processes):
            process.popen.poll() is None and process.popen.kill()
            process.popen.wait()
            process.popen.stdout.close()

    def start(self, name, binary, *arguments):
        """Starts a process and reads its addresses from the "listening" line that it prints."""
        with open(self.logs / f"{name}.log", "w", encoding="utf-8") as log:
            popen = subprocess.Popen(
                [self.build / binary, *arguments], stdout=subprocess.PIPE, stderr=log, stdin=subprocess.DEVNULL, text=True
            )
        process = Process(name, popen, {})
        self.processes.append(process)
        line = popen.stdout.readline()
        if not line.startswith("listening"):
            raise RuntimeError(f"{name} did not start: see {self.logs / (name + '.log')}")
        process.addresses = dict(re.findall(r"(\w+)=(\S+)", line)) or {"http": line.split()[-1]}
        return process

    def start_platform(self, *arguments):
        self.platform = self.start("platform", "tests/fakes/fake_platform", *arguments).addresses["http"]

    def start_engine(self, name, *arguments):
        return self.start(name, "tests/fakes/fake_engine", *arguments)

    def start_service(self, name, *arguments):
        return self.start(name, "tests/fakes/fake_service", *arguments)

    def start_sidecar(self, name, server, kind, service, data_centre, *arguments):
        """Starts the sidecar of a backend server and lists it in the platform's instance list."""
        sidecar = self.start(
            name,
            "apps/vanillaleverd/vanillaleverd",
            "--role=sidecar",
            f"--shared_key={SHARED_KEY}",
            f"--kind={kind}",
            f"--service={service}",
            f"--data_centre={data_centre}",
            f"--server_address={server.addresses['http']}",
            *arguments,
        )
        self.list_instance(sidecar, service, data_centre, "live")
        return sidecar

    def list_instance(self, sidecar, service, data_centre, state):
        record = {"address": sidecar.addresses["rpc"], "service": service, "data_centre": data_centre, "state": state}
        self.request(self.platform, "POST", "/instances", record)

    def start_entry(self, name, data_centre, *arguments):
        return self.start(
            name,
            "apps/vanillaleverd/vanillaleverd",
            "--role=entry",
            f"--shared_key={SHARED_KEY}",
            f"--data_centre={data_centre}",
            f"--platform={self.platform}",
            f"--admin_token={ADMIN_TOKEN}",
            *arguments,
        )

    def ctl(self, entry, *arguments):
        """Runs vanillaleverctl against an entry."""
        environment = dict(os.environ, VANILLALEVER_TOKEN=ADMIN_TOKEN, VANILLALEVER_ENTRY=entry.addresses["admin"])
        command = [self.build / "apps/vanillaleverctl/vanillaleverctl", *arguments]
        return subprocess.run(command, env=environment, capture_output=True, text=True, check=False)

    @staticmethod
    def request(address, method, path, body=None, token=None, timeout=10):
        """Sends an HTTP request; returns status and body."""
        data = json.dumps(body).encode() if body is not None else None
        request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
        if token:
            request.add_header("Authorization", f"Bearer {token}")
        try:
            with urllib.request.urlopen(request, timeout=timeout) as response:
                return response.status, response.read().decode()
        except urllib.error.HTTPError as error:
            with error:
                return error.code, error.read().decode()

    def wait_until(self, condition, description, timeout_s=START_TIMEOUT_S):
        """Polls until the condition holds; raises RuntimeError after the timeout."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                raise RuntimeError(f"timed out: {description}; logs are in {self.logs}")
            time.sleep(0.05)

    def wait_until_serving(self, entries, version, sidecars):
        """Waits until the entries are ready, own all shards and see the sidecars with the configuration version."""

        def serving():
            owned = 0
            for entry in entries:
                status, text = self.request(entry.addresses["admin"], "GET", "/admin/v1/status", token=ADMIN_TOKEN)
                state = json.loads(text)
                if status != 200 or state["version"] < version:
                    return False
                if sum(row["config_version"] >= version for row in state["servers"]) < sidecars:
                    return False
                owned += sum(row["shards"] for row in state["entries"])
                if self.request(entry.addresses["http"], "GET", "/readyz")[0] != 200:
                    return False
            return owned == 64

        self.wait_until(serving, "the deployment does not serve", 30)
