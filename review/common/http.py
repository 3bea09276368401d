"""A minimal HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json
import socket
import struct
from urllib.parse import parse_qsl, unquote, urlsplit

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


def free_port(address):
    """Returns a TCP port that is free on the address now."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Request:
    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = unquote(parts.path)
        self.query = dict(parse_qsl(parts.query))
        self.headers = headers
        self.raw = body

    def json(self):
        return json.loads(self.raw)


async def read_message(reader):
    """Reads one message. Returns its first line, headers (names in lower case) and body, or None at the end."""
    first = await reader.readline()
    if not first.endswith(b"\n"):
        return None
    headers = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first.decode().split(), headers, body


class Server:
    """Serves one address. `handle(request)` is a coroutine that returns (status, object), or None for no answer: the
    connection then stays open without one."""

    def __init__(self, address, port, handle):
        self.address = address
        self.port = port
        self.handle = handle
        self.listener = None
        self.writers = set()
        self.tasks = set()
        self.life = 0
        self.is_dark = False

    async def start(self):
        self.life += 1
        self.is_dark = False
        if self.listener is not None:
            return
        self.listener = await asyncio.start_server(
            self.serve, self.address, self.port, backlog=512, reuse_address=True, start_serving=False)
        await self.listener.start_serving()

    async def serve(self, reader, writer):
        if self.listener is None:
            # The connection was accepted just before the crash.
            writer.transport.abort()
            return
        self.writers.add(writer)
        life = self.life
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                (method, target, _), headers, body = message
                answer = None
                if not self.is_dark and life == self.life:
                    answer = await self.handle(Request(method, target, headers, body))
                if answer is None or self.is_dark or life != self.life:
                    await asyncio.sleep(3600)
                status, content = answer
                payload = b"" if content is None else json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                             f"Content-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n".encode()
                             + payload)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    def go_dark(self):
        """Sends nothing any more. Connections of this life stay silent; after the next `start`, new ones work."""
        self.is_dark = True

    def crash(self):
        """Closes the listening socket and resets all connections, as when the process dies."""
        if self.listener:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


async def call(address, port, method, path, headers=None, body=None, timeout=3.0):
    """Sends one request on a connection of its own. Returns (status, body bytes), or None without a whole answer."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(address, port)
        payload = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1"]
        for name, value in (headers or {}).items():
            lines.append(f"{name}: {value}")
        if payload:
            lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(payload)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + payload)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            return None
        first, _, content = message
        return int(first[1]), content

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
