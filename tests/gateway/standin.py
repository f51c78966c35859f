"""Stand-ins for the users' platform: its store, plain servers and model engines, written from the published protocol.

Everything runs on one asyncio event loop in a separate thread; tests use Platform.call() to run coroutines on it.
"""
import asyncio
import base64
import json
import socket
import struct
import threading
import time
import urllib.parse


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = {k: v[0] for k, v in urllib.parse.parse_qs(query, keep_blank_values=True).items()}


async def read_head(reader):
    """Reads the head of the next request of a connection; returns the request without its body, or None at the end of the
    connection."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            return None
        head += line
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Request(method, target, headers, b"")


async def read_body(reader, request):
    request.body = await reader.readexactly(int(request.headers.get("content-length", 0)))


async def read_request(reader):
    """Reads the next request of a connection; returns None at its end."""
    request = await read_head(reader)
    if request is not None:
        await read_body(reader, request)
    return request


def response(status, headers=None, body=b""):
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    for name, value in (headers or {}).items():
        text += f"{name}: {value}\r\n"
    return text.encode() + b"\r\n" + body


class Listener:
    """Accepts connections and passes each request to `handle`, a coroutine that writes the response."""

    def __init__(self):
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await self.read(reader)) is not None:
                if not await self.handle(request, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def read(self, reader):
        return await read_request(reader)

    def headers(self, request):
        return {}

    async def send_without_end(self, request, writer, behaviour):
        """Sends bytes that are no response, or one without end, until the caller closes the connection."""
        chunked = {**self.headers(request), "Transfer-Encoding": "chunked", "Content-Type": "text/event-stream"}
        head = "HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in chunked.items()) + "\r\n"
        filler = b"x" * 8192
        events = b"data: " + filler + b"\n\n"
        start, piece = {
            "endless-head": (b"HTTP/1.1 200 OK\r\nX-Filler: ", filler),
            "endless-interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
            "endless-chunk-header": (head.encode() + b"1;x=", filler),
            "endless-trailer": (head.encode() + b"0\r\nX-Filler: ", filler),
            "endless-events": (head.encode(), (f"{len(events):x}\r\n".encode() + events + b"\r\n")),
            "endless-body": (head.encode(), f"{len(filler):x}\r\n".encode() + filler + b"\r\n"),
        }[behaviour]
        writer.write(start)
        while not writer.transport.is_closing():
            writer.write(piece)
            await writer.drain()
        return False



class Store(Listener):
    """Tables with conditional writes and a change feed. `mode` is ok, busy (503), silent (no response), lost (writes
    are applied without a response), late (writes are applied after 1 s without a response) or one of
    send_without_end()."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 0
        self.history = []
        self.oldest = 0
        self.changed = asyncio.Event()
        self.mode = "ok"
        # Write calls a second beyond which it responds with 429, and the number of these; zero for no limit.
        self.writes_per_s = 0
        self.refused_writes = 0
        self.recent_writes = []
        # Seconds that reads of a table take, by its name.
        self.read_delays = {}
        self.calls = []

    def put(self, table, key, value, part=""):
        self.version += 1
        name = (table, part, key)
        row = {"table": table, "part": part, "key": key, "ver": self.version}
        if value is None:
            self.rows.pop(name, None)
            row["deleted"] = True
        else:
            data = value if isinstance(value, bytes) else json.dumps(value).encode()
            row["value"] = base64.b64encode(data).decode()
            self.rows[name] = row
        self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        """Discards the history."""
        self.history = []
        self.oldest = self.version

    def table(self, name):
        return {key: base64.b64decode(row["value"]).decode() for (table, _, key), row in self.rows.items()
                if table == name}

    def json_response(self, status, body):
        body.update({"ver": self.version, "nowMs": int(time.monotonic() * 1000)})
        return response(status, {"Content-Type": "application/json"}, json.dumps(body).encode())

    def transact(self, body):
        if sum(len(body[entries]) for entries in ("precondition", "puts", "deletes")) > 100:
            return response(400)
        current = []
        failed = False
        for row in body["precondition"]:
            current_row = self.rows.get((row["table"], row["part"], row["key"]))
            current += [current_row] if current_row else []
            failed |= (current_row["ver"] if current_row else 0) != row["ver"]
        if failed:
            return self.json_response(412, {"rows": current})
        for row in body["puts"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]), row["part"])
        for row in body["deletes"]:
            self.put(row["table"], row["key"], None, row["part"])
        return self.json_response(200, {})

    def takes_write(self):
        now = time.monotonic()
        self.recent_writes = [moment for moment in self.recent_writes if now - moment < 1]
        if self.writes_per_s and len(self.recent_writes) >= self.writes_per_s:
            self.refused_writes += 1
            return False
        self.recent_writes.append(now)
        return True

    async def handle(self, request, reader, writer):
        self.calls.append((time.monotonic(), request.path, self.mode))
        if request.path == "/rows-tx" and not self.takes_write():
            writer.write(response(429))
            return True
        if self.mode == "busy":
            writer.write(response(503))
            return True
        if self.mode == "silent":
            await asyncio.sleep(30)
            return False
        if self.mode.startswith("endless"):
            return await self.send_without_end(request, writer, self.mode)
        if request.path == "/rows-tx":
            if self.mode == "late":
                await asyncio.sleep(1)
            response_bytes = self.transact(json.loads(request.body))
            if self.mode in ("lost", "late"):
                await asyncio.sleep(30)
                return False
            writer.write(response_bytes)
        elif request.path == "/rows-get":
            query = request.query
            await asyncio.sleep(self.read_delays.get(query["table"], 0))
            rows = [row for (table, part, key), row in sorted(self.rows.items())
                    if table == query["table"] and part == query["part"] and key >= query.get("from", "")
                    and ("to" not in query or key < query["to"])]
            limit = int(query.get("limit", 500))
            writer.write(self.json_response(200, {"rows": rows[:limit], "morePages": len(rows) > limit}))
        elif request.path == "/rows-feed":
            writer.write(await self.feed(request.query))
        return True

    async def feed(self, query):
        after, deadline = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if after < self.oldest:
                return response(410)
            rows = [row for row in self.history if row["ver"] > after and row["table"] == query["table"]]
            if rows or time.monotonic() >= deadline:
                return self.json_response(200, {"rows": rows})
            try:
                await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                pass


class StoreProxy(Listener):
    """Another address of a store. `mode` is ok, busy (503), reset (closes the connection) or silent (no response)."""

    def __init__(self, store):
        super().__init__()
        self.store = store
        self.mode = "ok"

    async def handle(self, request, reader, writer):
        if self.mode == "busy":
            writer.write(response(503))
            return True
        if self.mode == "reset":
            return False
        if self.mode == "silent":
            await asyncio.sleep(30)
            return False
        return await self.store.handle(request, reader, writer)


class Backend(Listener):
    """A plain server. `plan` maps a path to the behaviour for its requests; see handle()."""

    def __init__(self, identity, service):
        super().__init__()
        self.identity, self.service = identity, service
        # Version of the server's software.
        self.version = "v1"
        self.executed = []
        self.aborted = []
        self.plan = {}
        # Behaviour for paths that are not in `plan`.
        self.default = "ok"
        self.work_s = 0.005
        # Requests a second that the server states to take; None if it states no limit.
        self.limit = None
        # The server says in its responses that it leaves.
        self.leaving = False
        # Times at which requests arrived.
        self.arrivals = []
        # (time, request id, path) of the requests under which the server ended; see "fatal" in handle().
        self.crashes = []
        # Starts the server again; see Platform.bring_back().
        self.on_crash = None

    def entry(self, state="ready", **extra):
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "zone-a", "version": self.version,
                 "slots": 6, "state": state, "coldLeftMs": 0, "seq": 1, "born": 1}
        entry.update(extra)
        return entry

    def headers(self, request):
        headers = {"Request-Id": request.headers["request-id"], "Server-Seal": f"seal-{self.identity}",
                   "Server-Load": "1,0,6,100", "Instance-Id": self.identity}
        if self.limit is not None:
            headers["Server-Limit"] = str(self.limit)
        if self.leaving:
            headers["Server-Leaving"] = "1"
        return headers

    async def handle(self, request, reader, writer):
        self.arrivals.append(time.monotonic())
        behaviour = self.plan.get(request.path, self.default)
        if request.headers.get("expect-instance") != self.identity:
            writer.write(response(421, {"Instance-Id": self.identity,
                                        "Request-Id": request.headers["request-id"]}))
            return True
        if behaviour in ("shed", "shed-twice"):
            refusal = response(503, {"Not-Executed": "1", **self.headers(request)})
            writer.write(refusal)
            if behaviour == "shed-twice":
                # The copy arrives while the connection may be in use again.
                self.plan[request.path] = "slow0.3"
                asyncio.get_running_loop().call_later(0.1, writer.write, refusal)
            return True
        self.executed.append((request.headers["request-id"], request.path, request.headers, request.body))
        if behaviour == "fatal":
            self.crashes.append((time.monotonic(), request.headers["request-id"], request.path))
            await self.stop()
            if self.on_crash:
                self.on_crash(self)
            return False
        if behaviour == "hang":
            return await self.wait_for_caller(request, reader)
        if behaviour.startswith("head-cut"):
            return await self.cut_head(request, writer, behaviour)
        if behaviour == "drop":
            return False
        if behaviour.startswith("slow"):
            await asyncio.sleep(float(behaviour[4:]))
        return await self.run(request, reader, writer, behaviour)

    async def wait_for_caller(self, request, reader):
        await reader.read(1)
        self.aborted.append(request.headers["request-id"])
        return False

    async def run(self, request, reader, writer, behaviour):
        await asyncio.sleep(self.work_s)
        if behaviour.startswith("endless"):
            return await self.send_without_end(request, writer, behaviour)
        body = f"{self.identity} ran {request.path}".encode()
        response_bytes = response(200, self.headers(request), body)
        if behaviour.startswith("unframed"):
            # Neither a length nor chunks: the response ends with its connection.
            writer.write(response_bytes.replace(b"Content-Length: %d\r\n" % len(body), b""))
            await writer.drain()
            if behaviour == "unframed-reset":
                self.reset(writer)
            return False
        if behaviour == "late-body":
            head, _, body = response_bytes.partition(b"\r\n\r\n")
            writer.write(head + b"\r\n\r\n")
            await asyncio.sleep(0.05)
            writer.write(body)
            return True
        if behaviour == "unproven":
            writer.write(response_bytes.replace(b"Server-Seal", b"Other-Field"))
            return True
        if behaviour == "half":
            writer.write(response_bytes[:-4])
            await writer.drain()
            return False
        if behaviour == "stray":
            other = dict(self.headers(request), **{"Request-Id": "another"})
            writer.write(response(200, other, b"stray") + response_bytes)
            return True
        if behaviour == "twice":
            # A second copy of the response, after the caller may have sent another request.
            writer.write(response_bytes)
            await writer.drain()
            self.plan[request.path] = "ok"
            await asyncio.sleep(0.05)
            writer.write(response_bytes)
            return True
        if behaviour == "garbage":
            writer.write(b"\x00\x01 not http\r\n\r\n")
            await writer.drain()
            return False
        writer.write(response_bytes)
        return True


    async def cut_head(self, request, writer, behaviour):
        """Ends the connection within the head: "head-cut:BYTES:close" or "head-cut:BYTES:reset"."""
        _, size, end = behaviour.split(":")
        head = response(200, {**self.headers(request), "Content-Type": "text/event-stream"}, b"body")
        writer.write(head[:min(int(size), head.index(b"\r\n\r\n") + 3)])
        await writer.drain()
        if end == "reset":
            self.reset(writer)
        return False

    @staticmethod
    def reset(writer):
        """Ends the connection with a reset instead of an end of data."""
        if not writer.transport.is_closing():
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


class Engine(Backend):
    """A model engine: streams `events` events with increasing ids, starting after Last-Event-Id."""

    def __init__(self, identity, service):
        super().__init__(identity, service)
        self.events = 6
        self.gap_s = 0.01
        # First word of the data of each event.
        self.word = "token"

    # Responses to a request that takes up a stream, by behaviour.
    ERRORS = {
        "error-500": (500, "text/plain", b"error: out of memory"),
        "error-500-event": (500, "text/event-stream", b"data: error\n\n"),
        "error-200-text": (200, "text/plain", b"error: no such stream\n\n"),
        "error-200-html": (200, "text/html", b"<h1>error</h1>"),
        "error-200-none": (200, "", b"error\n\nerror"),
    }

    async def answer_error(self, request, writer, behaviour):
        status, kind, body = self.ERRORS[behaviour]
        fields = dict(self.headers(request), **({"Content-Type": kind} if kind else {}))
        writer.write(response(status, fields, body))
        return True

    async def run_unframed(self, request, writer, behaviour):
        """A stream that ends with its connection; "unframed-cut" ends inside its third event, "unframed-reset" by a
        reset after it, "unframed-none" before its first event, "unframed-resumed-none" by the reset, and before the
        first event where it is taken up again."""
        fields = dict(self.headers(request), **{"Content-Type": "text/event-stream"})
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items()) + "\r\n").encode())
        first = int(request.headers.get("last-event-id") or 0) + 1
        resumed_none = behaviour == "unframed-resumed-none"
        if behaviour == "unframed-none" or (resumed_none and first > 1):
            await writer.drain()
            return False
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {number}\ndata: {self.word} {number}\n\n".encode()
            broken = behaviour != "unframed" and number == first + 2
            writer.write(event[:-5] if broken and behaviour == "unframed-cut" else event)
            await writer.drain()
            if broken and (behaviour == "unframed-reset" or resumed_none):
                await asyncio.sleep(self.gap_s)
                self.reset(writer)
            if broken:
                return False
        return False

    async def run(self, request, reader, writer, behaviour):
        if behaviour.startswith("endless"):
            return await self.send_without_end(request, writer, behaviour)
        if behaviour.startswith("resumed-endless"):
            if request.headers.get("last-event-id"):
                return await self.send_without_end(request, writer, behaviour[8:])
            behaviour = "break"
        if behaviour in self.ERRORS and request.headers.get("last-event-id"):
            return await self.answer_error(request, writer, behaviour)
        if behaviour.startswith("unframed"):
            return await self.run_unframed(request, writer, behaviour)
        text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        for name, value in self.headers(request).items():
            text += f"{name}: {value}\r\n"
        writer.write(text.encode() + b"\r\n")
        first = int(request.headers.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {number}\ndata: {self.word} {number}\n\n".encode()
            if behaviour == "crash" and number == first + 2:
                await self.stop()
                return False
            if behaviour in ("break", *self.ERRORS) and number == first + 2:
                # A truncated event, then the end of the connection.
                writer.write(b"8\r\nid: 9\nda\r\n")
                await writer.drain()
                if behaviour == "break":
                    self.plan[request.path] = "ok"
                return False
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


class Platform:
    """Store, servers and operator configuration of one test."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.store = self.call(self.make(Store))
        self.servers = {}
        self.version = 0
        # Services without engines.
        self.plain_services = ["tools"]

    async def make(self, kind, *arguments):
        return await kind(*arguments).start()

    def call(self, coroutine):
        return self.call_with_timeout(coroutine, 10)

    def call_with_timeout(self, coroutine, timeout_s):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(timeout_s)

    def run(self, function, *arguments, **named):
        async def invoke():
            return function(*arguments, **named)
        return self.call(invoke())

    def add(self, kind, identity, service, **attributes):
        server = self.call(self.make(kind, identity, service))
        for name, value in attributes.items():
            setattr(server, name, value)
        self.servers[identity] = server
        self.run(self.store.put, "servers", identity, server.entry())
        return server

    def bring_back(self, after_s):
        """Makes servers that end come back `after_s` later, under new ids. Their entries stay until then."""
        for server in self.servers.values():
            server.on_crash = lambda ended: self.loop.create_task(self.replace(ended, after_s))

    async def replace(self, ended, after_s):
        await asyncio.sleep(after_s)
        server = await self.make(type(ended), f"{ended.identity}x", ended.service)
        for name in ("version", "plan", "default", "work_s", "on_crash"):
            setattr(server, name, getattr(ended, name))
        self.servers[server.identity] = server
        self.store.put("servers", ended.identity, None)
        self.store.put("servers", server.identity, server.entry())

    def configure(self, routes, organisations=None, **limits):
        """`organisations`: keys of each by name, or None for a configuration without organisations. `limits` replace those
        of the configuration."""
        self.version += 3
        self.run(self.put_config, routes, organisations, limits)
        return self.version

    def put_config(self, routes, organisations=None, limits=None):
        base = {"host": "desk.example", "timeoutMs": 3000, "goalMs": 200, "priority": 1, "maxAttempts": 1,
                "stateful": False, "retentionS": 60.0, "sticky": False, "resumable": False}
        config = {"version": self.version, "routes": [dict(base, name=r["prefix"], **r) for r in routes],
                  "services": [*({"name": name, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": False}
                                 for name in self.plain_services),
                               {"name": "models", "healthPath": "/health", "maxConns": 96, "protocol": "h1",
                                "tls": False, "engine": {"slots": 12, "kvCapacity": 90000, "eventTokens": 5}}],
                  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 1000,
                             "idleTimeoutMs": 5000, **(limits or {})}}
        if organisations is not None:
            config["tenants"] = [{"name": name, "apiKeys": keys, "ratePerS": 0} for name, keys in organisations.items()]
        self.store.put("op", "config", config)

    def close(self):
        for server in [self.store, *self.servers.values()]:
            self.call(server.stop())
        self.call(self.cancel_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)

    async def cancel_tasks(self):
        tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
