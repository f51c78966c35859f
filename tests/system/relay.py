"""A server in front of another one that sends bytes of its own ahead of responses, or in their place."""
import socket
import struct
import threading
import time


def read_head(connection):
    """Returns the head of a request and what came with it; empty at the end of the connection."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65536)
        if not piece:
            return b""
        data += piece
    return data


def read_body(connection, data):
    """Returns a whole request of which `data` has come. Its body, if it has one, has a length."""
    head = data.partition(b"\r\n\r\n")[0]
    lengths = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    length = int(lengths[0].split(b":")[1]) if lengths else 0
    while len(data) < len(head) + 4 + length:
        data += connection.recv(65536)
    return data


def reset(connection):
    """Ends a connection with a reset instead of an end of data."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class Relay:
    """Passes requests on to `target`, each on a connection of its own. With `ahead`, these bytes precede the response to
    every `every`th request whose target contains `only`; with `instead`, they are sent in its place, after the request
    was passed on, and the connection stays open. With `early`, these bytes respond to the head of a request whose target
    contains `only`; its body is not read, and the connection is reset `reset_after_s` later."""

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.ahead = self.instead = b""
        self.only, self.every = b"", 1
        self.early, self.reset_after_s = b"", 0.0
        self.matched = self.sent = 0
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.connections = []
        threading.Thread(target=self.accept, daemon=True).start()

    def close(self):
        self.listener.close()
        for connection in self.connections:
            connection.close()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def concerns(self, request):
        return self.only in request.partition(b"\r\n")[0]

    def applies(self, request):
        with self.lock:
            if not (self.ahead or self.instead) or not self.concerns(request):
                return False
            self.matched += 1
            applies = self.matched % self.every == 0
            self.sent += applies
            return applies

    def serve(self, connection):
        try:
            request = read_head(connection)
            if not request:
                return connection.close()
            if self.early and self.concerns(request):
                connection.sendall(self.early)
                time.sleep(self.reset_after_s)
                return reset(connection)
            request = read_body(connection, request)
            applies = self.applies(request)
            instead = self.instead if applies else b""
            if applies and not instead:
                connection.sendall(self.ahead)
            with socket.create_connection(self.target) as target:
                target.sendall(request.replace(b"\r\n", b"\r\nConnection: close\r\n", 1))
                while piece := target.recv(65536):
                    if not instead:
                        connection.sendall(piece)
            if instead:
                connection.sendall(instead)
                # Until the client ends it.
                connection.recv(1)
        except OSError:
            pass
        connection.close()
