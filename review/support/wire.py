"""HTTP/1.1 for the stand-ins, on asyncio streams of the standard library."""

import asyncio
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 65_536
REASONS = {200: "OK", 202: "Accepted", 500: "Internal Server Error", 503: "Unavailable"}


@dataclass
class Request:
    """A request as a stand-in has received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Answer:
    """What a client has seen of the answer to one request.

    ``ended`` is ``complete``, ``cut`` (the connection ended first), ``left`` (the
    client gave up) or ``no answer``.
    """

    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    ended: str = "no answer"
    seconds: float = 0.0


async def read_head(reader):
    """Return the first line and the headers, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader):
    """Return the next request of a connection, None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def encode_answer(status, body=b"", headers=(), *, framed=True):
    """Return an answer as bytes; one that isn't framed ends with its connection."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def serve(address, handle):
    """Serve requests; ``handle`` returns True while the connection is kept."""

    async def serve_connection(reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                if not await handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(
        serve_connection, host, int(port), limit=1 << 23, backlog=512
    )


async def send(address, method, target, headers=(), body=b"", wait_s=10.0):
    """Send one request on a new connection, and return its answer."""
    answer, loop = Answer(), asyncio.get_running_loop()
    begun_s = loop.time()
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=1 << 23
            )
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if not any(name == "Host" for name, _ in headers):
                lines.append(f"Host: {address}")
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            await _read_answer(reader, answer)
    except TimeoutError:
        answer.ended = "left"
    except (OSError, asyncio.IncompleteReadError, ValueError):
        answer.ended = "no answer" if answer.status is None else "cut"
    finally:
        if writer is not None:
            writer.transport.abort()
    answer.seconds = loop.time() - begun_s
    return answer


async def _read_answer(reader, answer):
    head = await read_head(reader)
    if head is None:
        return
    first, answer.headers = head
    answer.status = int(first.split(" ")[1])
    if answer.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    else:
        answer.body = await reader.read()
    answer.ended = "complete"
