"""A stand-in of the users' store: a log with keyed topics and groups."""

import asyncio
import base64
import json
import struct
import time

from aiohttp import web


class StoreStandin:
    """A log with keyed topics and groups."""

    def __init__(self):
        self.records_by_topic = {}
        self.groups = {}
        self.down = False
        self.misses_changes = False
        self.calls = []
        self._changed = asyncio.Event()
        self.lost_before = {}
        self.era = 1

    def copy(self):
        """Return a copy that :meth:`restore` brings back."""
        return {topic: list(each) for topic, each in self.records_by_topic.items()}

    def restore(self, copy):
        """Bring a copy back: offsets since are given out again, in the next era."""
        self.records_by_topic = copy
        self.era += 1

    def put(self, topic, key, value):
        data = b"" if value is None else value
        if isinstance(data, dict):
            data = json.dumps(data).encode()
        self.records_by_topic.setdefault(topic, []).append((key, data))
        self._changed.set()
        self._changed = asyncio.Event()

    def forget_history(self, topic):
        self.lost_before[topic] = len(self.records_by_topic.get(topic, []))

    async def handle(self, request):
        answer = await self._answer(request)
        answer.headers["Store-Era"] = str(self.era)
        return answer

    async def _answer(self, request):
        self.calls.append(request.path)
        if self.down:
            return web.Response(status=503)
        match request.path:
            case "/-/log-newest":
                return self._newest(request.query["topic"])
            case "/-/log-read":
                return await self._read(request.query)
            case "/-/log-append":
                return self._append(request.query["topic"], await request.read())
            case "/-/log-join":
                return self._join(await request.json())
            case "/-/log-leave":
                return self._leave(await request.json())
            case "/-/log-owners":
                return self._owners(request.query["group"])
        return web.Response(status=400)

    def _newest(self, topic):
        records = self.records_by_topic.get(topic, [])
        newest = {key: (offset, data) for offset, (key, data) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(data).decode(), "offset": offset}
            for key, (offset, data) in newest.items()
            if data
        ]
        return web.json_response(
            {"items": items, "truncated": False, "end": len(records)}
        )

    def _append(self, topic, body):
        offset = len(self.records_by_topic.get(topic, []))
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            name, value = content[1 : 1 + content[0]], content[1 + content[0] :]
            self.put(topic, name.decode(), value)
        end = len(self.records_by_topic[topic])
        return web.json_response({"offset": offset, "end": end})

    async def _read(self, query):
        topic, start = query["topic"], int(query["from"])
        if start < self.lost_before.get(topic, 0):
            first = self.lost_before[topic]
            return web.json_response({"first": first}, status=410)
        if start > len(self.records_by_topic.get(topic, [])):
            return web.json_response({"first": 0}, status=410)
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        missed = self.misses_changes and "waitMs" in query
        while missed or len(self.records_by_topic.get(topic, [])) <= start:
            left = until - time.monotonic()
            if left <= 0 or self.down:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), min(left, 0.1))
            except TimeoutError:
                continue
        records = self.records_by_topic.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for key, data in records[start:]:
            content = bytes([len(key)]) + key.encode() + data
            body += struct.pack(">I", len(content)) + content
        return web.Response(body=body)

    def _members(self, group):
        now = time.monotonic()
        state = self.groups.setdefault(group, {"members": {}, "generation": 0})
        alive = {name: t for name, t in state["members"].items() if t > now}
        if set(alive) != set(state["members"]):
            state["generation"] += 1
        state["members"] = alive
        return state

    def _join(self, body):
        state = self._members(body["group"])
        if body["member"] not in state["members"]:
            state["generation"] += 1
        state["members"][body["member"]] = time.monotonic() + body["ttlMs"] / 1000
        names = sorted(state["members"])
        mine = [
            [topic, part, 0]
            for topic in body["topics"]
            for part in range(8)
            if names[part % len(names)] == body["member"]
        ]
        return web.json_response(
            {"generation": state["generation"], "ttlMs": body["ttlMs"], "parts": mine}
        )

    def _leave(self, body):
        state = self._members(body["group"])
        if state["members"].pop(body["member"], None) is not None:
            state["generation"] += 1
        return web.json_response({})

    def _owners(self, group):
        names = sorted(self._members(group)["members"])
        rows = [["entry-duty", part, names[part % len(names)], 0] for part in range(8)]
        return web.json_response(rows if names else [])
