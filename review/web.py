"""A small HTTP/1.1 server and client on asyncio, with JSON bodies."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from urllib.parse import parse_qsl, urlsplit

from attrs import frozen


@frozen(kw_only=True)
class Request:
    """A request with its decoded query."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def decode(self) -> dict:
        """Return the JSON object in the body."""
        return json.loads(self.body) if self.body else {}


@frozen(kw_only=True)
class Reply:
    """A response; `content` None stands for a connection that is never answered."""

    status: int
    content: dict | None


NO_ANSWER = Reply(status=0, content=None)
Handler = Callable[[Request], Awaitable[Reply]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict, bytes]:
    """Return the first line, the headers and the body of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    length = int(headers.get("content-length", 0))
    return first, headers, await reader.readexactly(length)


async def serve_connection(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handler: Handler
) -> None:
    """Answer the requests of one connection, one after another."""
    try:
        while True:
            first, headers, body = await read_message(reader)
            method, target, _ = first.split(" ", 2)
            parts = urlsplit(target)
            request = Request(
                method=method,
                path=parts.path,
                query=dict(parse_qsl(parts.query, keep_blank_values=True)),
                headers=headers,
                body=body,
            )
            reply = await handler(request)
            if reply.content is None:
                # A connection on which an answer is lost delivers nothing further.
                await reader.read()
                return
            content = json.dumps(reply.content).encode()
            head = (
                f"HTTP/1.1 {reply.status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(content)}\r\n\r\n"
            )
            writer.write(head.encode() + content)
            await writer.drain()
    except (OSError, EOFError, asyncio.CancelledError):
        return
    finally:
        writer.close()


async def start_server(handler: Handler, **address) -> asyncio.Server:
    """Serve on an address (`host` and `port`) or a listening socket (`sock`)."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await serve_connection(reader, writer, handler)

    return await asyncio.start_server(serve, **address)


async def send_request(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    content: dict | None,
    timeout_s: float,
) -> tuple[int, dict]:
    """Send one request on a connection of its own; return status and content.

    The status is 0 if there was no complete answer in time.
    """
    writer = None
    body = b"" if content is None else json.dumps(content).encode()
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    message = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(message)
            first, _, answer = await read_message(reader)
        return int(first.split(" ")[1]), json.loads(answer) if answer else {}
    except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError):
        return 0, {}
    finally:
        if writer is not None:
            with suppress(OSError):
                writer.close()
