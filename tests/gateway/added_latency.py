"""Measures the latency that a gateway adds to a request, with no other load.

Usage: added_latency.py GATEWAY_BINARY [requests]

Alternately sends the same request directly to a stand-in server and through a gateway in front of it, each on one
persistent connection, and prints the percentiles of both latencies and of their pairwise differences.
"""
import pathlib
import socket
import statistics
import sys
import time

import gateway_test
import standin


class Exchange:
    """A persistent connection with one request at a time."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, request, ending):
        """Sends a request and returns the milliseconds until the end of its response."""
        started = time.perf_counter()
        self.socket.sendall(request)
        response = b""
        while not response.endswith(ending):
            data = self.socket.recv(65536)
            if not data:
                raise ConnectionError(f"connection closed after {response!r}")
            response += data
        if not response.startswith(b"HTTP/1.1 200"):
            raise ValueError(f"unexpected response {response[:200]!r}")
        return (time.perf_counter() - started) * 1000


def request_bytes(number, identity):
    return (f"GET /read/x HTTP/1.1\r\nHost: {gateway_test.HOST}\r\nRequest-Id: {number:016x}\r\n"
            f"Deadline-Ms: 3000\r\nExpect-Instance: {identity}\r\n\r\n").encode()


def percentiles(values):
    cuts = statistics.quantiles(values, n=100)
    return f"p50={cuts[49]:.3f} p90={cuts[89]:.3f} p99={cuts[98]:.3f}"


def main():
    gateway_test.GATEWAY = str(pathlib.Path(sys.argv[1]).resolve())
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 3000
    platform = standin.Platform()
    gateway = None
    try:
        platform.configure(gateway_test.ROUTES)
        server = platform.add(standin.Backend, "t-0", "tools")
        server.work_s = 0
        gateway = gateway_test.Gateway(platform)
        if not gateway_test.wait_until(gateway.is_ready):
            raise RuntimeError(gateway.log())
        direct, proxied = Exchange(server.port), Exchange(gateway.front)
        request, ending = request_bytes(1, "t-0"), b"ran /read/x"
        for _ in range(100):
            direct.send(request, ending), proxied.send(request, ending)
        pairs = [(direct.send(request, ending), proxied.send(request, ending)) for _ in range(count)]
        print(f"requests={count} unit=ms")
        print("straight", percentiles([pair[0] for pair in pairs]))
        print("through ", percentiles([pair[1] for pair in pairs]))
        print("added   ", percentiles([proxied_ms - direct_ms for direct_ms, proxied_ms in pairs]))
    finally:
        if gateway:
            gateway.stop()
        platform.close()


if __name__ == "__main__":
    main()
