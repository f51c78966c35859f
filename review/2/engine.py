"""A model server as a process of its own. Its responses have no length and end with their channel.

Usage: engine.py ID PORT
Each event is written in two parts, as a server does whose buffer is flushed in between.
"""
import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tests" / "gateway"))
import standin  # noqa: E402

EVENTS = 12


class Engine(standin.Engine):
    async def run(self, request, reader, writer, behaviour):
        fields = {**self.headers(request), "Content-Type": "text/event-stream", "Connection": "close"}
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items()) + "\r\n").encode())
        gap_s = random.uniform(0.03, 0.07)
        first = int(request.headers.get("last-event-id") or 0) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(gap_s)
            writer.write(f"id: {number}\ndata: tok".encode())
            await writer.drain()
            await asyncio.sleep(gap_s)
            writer.write(f"en {number}\n\n".encode())
            await writer.drain()
        return False

    async def serve(self, reader, writer):
        """Ends channels by a close, not by a reset."""
        try:
            while (request := await standin.read_request(reader)) is not None:
                if not await self.handle(request, reader, writer):
                    break
                await writer.drain()
            writer.close()
            await writer.wait_closed()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            writer.transport.abort()


async def main():
    await Engine(sys.argv[1], "models").start(int(sys.argv[2]))
    print("listening", flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
