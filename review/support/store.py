"""Stand-in of the platform's store: keyed topics, long polls, and one group."""

import asyncio
import base64
import json
import struct
import sys
import time
from urllib.parse import parse_qsl

from wire import encode_answer, serve

PARTS = 8


class Store:
    """Records by topic, and groups.

    It serves each machine at an address of its own; ``turned_away`` holds those at
    which it gives no answers. While it is ``busy`` it answers all calls with 503.
    """

    def __init__(self):
        self.records = {}
        self.groups = {}
        self.turned_away = set()
        self.busy = False
        self._changed = asyncio.Event()

    def put(self, topic, key, value):
        """Append a record; an empty value drops the key."""
        self.records.setdefault(topic, []).append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request, reader, writer):
        """Answer one call, or end the connection of a machine that is turned away."""
        address = "{}:{}".format(*writer.get_extra_info("sockname"))
        if address in self.turned_away:
            return False
        path, _, text = request.target.partition("?")
        query = dict(parse_qsl(text))
        if path.startswith("/stand-in/"):
            answer = self._set(path, query)
        else:
            answer = encode_answer(503)
            if not self.busy:
                answer = await self._answer(path, query, request.body)
            if self.busy:
                answer = encode_answer(503)
        if address in self.turned_away:
            return False
        writer.write(answer)
        await writer.drain()
        return True

    def _set(self, path, query):
        if path == "/stand-in/busy":
            self.busy = query.get("on") == "1"
        else:
            self.turned_away = set(filter(None, query.get("at", "").split(",")))
        return encode_answer(200)

    async def _answer(self, path, query, body):
        match path:
            case "/-/log-newest":
                return self._newest(query)
            case "/-/log-read":
                return await self._read(query)
            case "/-/log-append":
                return self._append(query["topic"], body)
            case "/-/log-join":
                return self._join(json.loads(body))
            case "/-/log-leave":
                return self._leave(json.loads(body))
        return encode_answer(400)

    def _newest(self, query):
        records = self.records.get(query["topic"], [])
        newest = {key: (at, value) for at, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": at}
            for key, (at, value) in newest.items()
            if value
        ]
        return _json({"items": items, "truncated": False, "end": len(records)})

    async def _read(self, query):
        topic, begin = query["topic"], int(query["from"])
        until_s = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while len(self.records.get(topic, [])) <= begin:
            left_s = until_s - time.monotonic()
            if left_s <= 0 or self.busy:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        records = self.records.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[begin:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return encode_answer(200, body)

    def _append(self, topic, body):
        offset, position = len(self.records.get(topic, [])), 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            end = 1 + content[0]
            self.put(topic, content[1:end].decode(), content[end:])
        return _json({"offset": offset, "end": len(self.records[topic])})

    def _members(self, group):
        state = self.groups.setdefault(group, {"until_s": {}, "generation": 0})
        now_s, until_s = time.monotonic(), state["until_s"]
        for name in [each for each, end_s in until_s.items() if end_s <= now_s]:
            del until_s[name]
            state["generation"] += 1
        return state

    def _join(self, body):
        state = self._members(body["group"])
        if body["member"] not in state["until_s"]:
            state["generation"] += 1
        state["until_s"][body["member"]] = time.monotonic() + body["ttlMs"] / 1000
        names = sorted(state["until_s"])
        parts = [
            [topic, part, 0]
            for topic in body["topics"]
            for part in range(PARTS)
            if names[part % len(names)] == body["member"]
        ]
        return _json(
            {"generation": state["generation"], "ttlMs": body["ttlMs"], "parts": parts}
        )

    def _leave(self, body):
        state = self._members(body["group"])
        if state["until_s"].pop(body["member"], None) is not None:
            state["generation"] += 1
        return _json({})


def _json(fields):
    headers = [("Content-Type", "application/json")]
    return encode_answer(200, json.dumps(fields).encode(), headers)


async def main():
    """Serve at the addresses that the command line gives."""
    store = Store()
    servers = [await serve(address, store.handle) for address in sys.argv[1:]]
    await asyncio.gather(*(each.serve_forever() for each in servers))


if __name__ == "__main__":
    asyncio.run(main())
