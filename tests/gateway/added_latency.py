"""Measures the latency that a gateway adds to a request, with no other load.

Usage: added_latency.py GATEWAY_BINARY [requests] [OTHER_GATEWAY_BINARY]

Alternately sends the same request directly to a stand-in server and through a gateway in front of it, each on one
persistent connection, and prints the percentiles of both latencies and of their pairwise differences. With another
binary, requests go through both gateways by turns.
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
    binaries = [sys.argv[1], *sys.argv[3:4]]
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 3000
    platform = standin.Platform()
    gateways = []
    try:
        platform.configure(gateway_test.ROUTES)
        server = platform.add(standin.Backend, "t-0", "tools")
        server.work_s = 0
        for number, binary in enumerate(binaries):
            gateway_test.GATEWAY = str(pathlib.Path(binary).resolve())
            gateways.append(gateway_test.Gateway(platform, name=f"edge-{number}"))
            if not gateway_test.wait_until(gateways[-1].is_ready):
                raise RuntimeError(gateways[-1].log())
        paths = [Exchange(port) for port in [server.port, *(gateway.front for gateway in gateways)]]
        request, ending = request_bytes(1, "t-0"), b"ran /read/x"
        rounds = []
        for number in range(100 + count):
            # Back and forth, so that no path always follows the same one.
            order = paths if number % 2 else paths[::-1]
            times = [path.send(request, ending) for path in order]
            rounds.append(times if number % 2 else times[::-1])
        del rounds[:100]
        print(f"requests={count} unit=ms")
        print("straight", percentiles([times[0] for times in rounds]))
        for column, binary in enumerate(binaries, 1):
            print(binary)
            print("through ", percentiles([times[column] for times in rounds]))
            print("added   ", percentiles([times[column] - times[0] for times in rounds]))
    finally:
        for gateway in gateways:
            gateway.stop()
        platform.close()


if __name__ == "__main__":
    main()
