"""A small HTTP/1.1 server and client for stand-ins, on the standard library only."""

import asyncio

MAX_HEAD_BYTES = 65_536


class Request:
    """A request as received, with header names in lower case."""

    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body

    @property
    def path(self):
        """Return the target without its query."""
        return self.target.partition("?")[0]


async def read_head(reader):
    """Return the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader):
    """Return the next request, None at the end of the connection."""
    try:
        first, headers = await read_head(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, target, _ = first.split(" ", 2)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def encode_reply(status, headers=(), body=b""):
    """Return the bytes of a whole reply with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Reply:
    """An answer as the client received it.

    ``whole`` is False if the connection ended before the end of the answer that its
    length or its chunks announce; ``status`` is None without an answer.
    """

    def __init__(self, status=None, headers=None, body=b"", whole=False):
        self.status, self.headers = status, headers or {}
        self.body, self.whole = body, whole


async def read_reply(reader):
    """Read one answer, also a cut one."""
    try:
        first, headers = await read_head(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Reply()
    reply = Reply(int(first.split(" ")[1]), headers)
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                reply.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            length = int(headers.get("content-length", "0"))
            reply.body = await reader.readexactly(length)
        reply.whole = True
    except asyncio.IncompleteReadError as error:
        reply.body += error.partial
    except ConnectionError:
        pass
    return reply


async def exchange(address, method, target, headers, body=b"", timeout_s=10.0):
    """Send one request over a new connection and return the answer to it."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=MAX_HEAD_BYTES
            )
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            return await read_reply(reader)
    except (OSError, TimeoutError):
        return Reply()
    finally:
        if writer is not None:
            writer.close()
