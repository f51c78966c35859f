"""A conversation whose turns came through two gateways cannot be continued at a third; see claim.txt."""
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness_2 as harness  # noqa: E402

RETENTION_S = 20.0
# Between two turns of the line: well within the retention.
PAUSE_S = 4.0
# Turns of the line after the second one, all through the first gateway.
LATER_TURNS = 19
TRIES = 6
AIM_S = 110
ROUTES = [{"prefix": "/chat/", "kind": "streaming", "service": "models", "stateful": True, "sticky": True,
           "retentionS": RETENTION_S}]


class Line:
    """One line of turns of a program, as its caller sends them."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.began = time.monotonic()
        self.last = None
        self.last_ended = 0.0
        self.expected = b""

    def turn(self, gateway, text):
        identity = harness.request_id()
        headers = {"Program-Id": self.name, "Session-Id": self.name + "0", "Token-Budget": "100000",
                   "Token-Count": "40,40", "Model": "m", "Prompt-Prefix": "5c1e07a2:40",
                   "Finish-Ms": str(int(1000 * (AIM_S - (time.monotonic() - self.began))))}
        if self.last:
            headers["Previous-Turn"] = self.last
        caller = harness.Caller(gateway)
        status, body, _ = caller.send("POST", "/chat/1", text, identity, **headers)
        caller.close()
        age = f", {time.monotonic() - self.last_ended:.1f} s after the end of that turn" if self.last else ""
        self.record(f"{self.name}: turn {identity} after {self.last} sent to {gateway.name}{age}: {status}, "
                    f"{body.count(b'id:')} events")
        if status == 200:
            self.last, self.last_ended = identity, time.monotonic()
            self.expected += text + b"".join(line[6:] + b"\n" for line in body.split(b"\n")
                                             if line.startswith(b"data: "))
        return status, identity


def reached(deployment, identity):
    """The body with which a server ran the turn; None if none ran it."""
    for server in deployment.platform.servers.values():
        for run in list(server.executed):
            if run[0] == identity:
                return run[3]
    return None


def case(record):
    with harness.Deployment(3) as deployment:
        platform = deployment.platform
        platform.configure(ROUTES)
        for number in (1, 2):
            platform.add(harness.standin.Engine, f"engine-{number}", "models")
        deployment.start()
        first, second, third = deployment.gateways
        other_zone = second if harness.disruption() else first
        line = Line(record, "3fa81c")
        if line.turn(first, b"input 1;")[0] != 200:
            raise harness.CannotRun("the first turn is not served")
        time.sleep(PAUSE_S)
        if line.turn(other_zone, b"input 2;")[0] != 200:
            raise harness.CannotRun("the second turn is not served")
        for number in range(LATER_TURNS):
            time.sleep(PAUSE_S)
            if line.turn(first, f"input {number + 3};".encode())[0] != 200:
                raise harness.CannotRun("a turn through the first gateway is not served")
        time.sleep(PAUSE_S)
        record(f"records of turns in the store: {sum(row[0] == 'turns' for row in list(platform.store.rows))}, turns answered whole: "
               f"{LATER_TURNS + 2}")
        # The line comes through another zone. No process was disturbed.
        expected = line.expected + b"the next input;"
        ran, first_turns = False, 0
        for attempt in range(TRIES):
            gateway = (third, other_zone)[attempt % 2] if harness.disruption() else first
            status, identity = line.turn(gateway, b"the next input;")
            body = reached(deployment, identity)
            record(f"try {attempt + 1}: a server {'ran' if body is not None else 'did not run'} it")
            control = Line(record, f"c{attempt}")
            first_turns += control.turn(gateway, b"hello;")[0] == 200
            if body is not None:
                if body != expected:
                    record(f"the server received another text: {body!r}")
                    return harness.BROKEN
                ran = True
                break
            if status in (404, 410):
                return harness.BROKEN
            time.sleep(0.4)
        since = time.monotonic() - line.last_ended
        record(f"first turns served meanwhile: {first_turns}; the turn named was answered whole {since:.1f} s ago")
        if not ran and since >= RETENTION_S:
            raise harness.CannotRun("the retention is over")
        # The rule holds only while nine tenths of first turns reach a server.
        if not ran and 10 * first_turns < 9 * TRIES:
            raise harness.CannotRun("first turns are not served either")
        return harness.HELD if ran else harness.BROKEN


harness.run_case(FOLDER / "record.txt", case)
