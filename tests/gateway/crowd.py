"""Callers that keep no limits, for tests: many connections, each sends and reads at a pace of its own."""
import pathlib
import re
import socket
import struct
import time

TICK_S = 0.05


class Member:
    """One connection. Sends the pieces of the iterator `input` and reads `read_rate` bytes a second (None: all)."""

    def __init__(self, port, input, read_rate=None, pause_s=0.0, end=None):
        self.socket = socket.socket()
        # A small window, so that unread output stays with its sender.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.settimeout(2)
        self.socket.connect(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.input, self.read_rate, self.pause_s, self.end = iter(input), read_rate, pause_s, end
        self.pending, self.allowance, self.next_send = b"", 0.0, 0.0
        self.received, self.open = b"", True

    def close(self, reset=False):
        if reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()
        self.open = False

    def send(self, now):
        """Returns whether there is more to send at once."""
        if not self.open or now < self.next_send:
            return False
        if not self.pending:
            self.pending = next(self.input, b"")
            if not self.pending:
                self.finish_input()
                return False
        try:
            self.pending = self.pending[self.socket.send(self.pending):]
        except BlockingIOError:
            return False
        except OSError:
            self.close()
            return False
        if not self.pending and self.pause_s:
            self.next_send = now + self.pause_s
        return not self.pause_s

    def finish_input(self):
        end, self.end, self.next_send = self.end, None, float("inf")
        if end == "half-close":
            self.socket.shutdown(socket.SHUT_WR)
        elif end:
            self.close(reset=end == "reset")

    def read(self, elapsed):
        if not self.open or self.read_rate == 0:
            return
        self.allowance = 1 << 18 if self.read_rate is None else self.allowance + self.read_rate * elapsed
        if self.allowance < 1:
            return
        try:
            data = self.socket.recv(int(self.allowance))
        except BlockingIOError:
            return
        except OSError:
            return self.close()
        self.allowance -= len(data)
        self.received = (self.received + data)[:64]
        if not data:
            self.close()


class Crowd:
    def __init__(self, gateway):
        self.gateway, self.members, self.peak_descriptors = gateway, [], 0

    def join(self, count, make_input, port=None, **options):
        for number in range(count):
            self.members.append(Member(port or self.gateway.front, make_input(number), **options))
        return self

    def play(self, seconds):
        """Sends and reads for `seconds`; the connections stay as they are then."""
        end, last = time.monotonic() + seconds, time.monotonic()
        while (now := time.monotonic()) < end:
            busy = False
            for member in self.members:
                # Some turns each, so that all of them proceed together.
                busy |= any([member.send(now) for _ in range(2)])
                member.read(now - last)
            last = now
            self.peak_descriptors = max(self.peak_descriptors, descriptors(self.gateway))
            if not busy:
                time.sleep(TICK_S)
        return self

    def leave(self):
        for member in self.members:
            if member.open:
                member.close()


def descriptors(gateway):
    return len(list(pathlib.Path(f"/proc/{gateway.process.pid}/fd").iterdir()))


def peak_bytes(gateway):
    status = pathlib.Path(f"/proc/{gateway.process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) << 10
