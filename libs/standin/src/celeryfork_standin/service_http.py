"""A plain service's HTTP interface, as in docs/ENGINE.md."""

import asyncio
from collections.abc import Callable, Mapping

from aiohttp import web
from attrs import define, field

from celeryfork_standin.background import reset
from celeryfork_standin.links import LinkTable
from celeryfork_standin.service_data import (
    CallRecord,
    Chance,
    CrashPoint,
    ServiceTarget,
)

REACH_POLL_S = 0.02


@define(eq=False)
class ServiceSite:
    """Answers the calls to one target."""

    target: ServiceTarget
    record: CallRecord
    chance: Chance
    links: LinkTable | None
    die: Callable[[], None]
    headers_by_reason: Mapping[str, dict[str, str]] = field(
        factory=lambda: {
            "draining": {"X-Draining": "true", "Retry-After": "1"},
            "rejected": {"Retry-After": "1"},
        }
    )

    async def handle(
        self, request: web.BaseRequest, client_domain: str | None
    ) -> web.StreamResponse:
        """Answer one request, later if a partition stands in between."""
        await self._wait_until_reachable(client_domain)
        answer = await self._answer(request)
        await self._wait_until_reachable(client_domain)
        return answer

    async def _wait_until_reachable(self, client_domain: str | None) -> None:
        while self._is_cut_off(client_domain):
            await asyncio.sleep(REACH_POLL_S)

    def _is_cut_off(self, client_domain: str | None) -> bool:
        if self.links is None:
            return False
        return self.links.is_cut(client_domain, self.target.spec.domain)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        target = self.target
        target.calls += 1
        parts = request.path.strip("/").split("/")
        if request.method == "GET" and len(parts) == 2 and parts[0] == "status":
            return self._status(parts[1])
        if request.method != "POST" or len(parts) != 1:
            return web.json_response({"error": "no such path"}, status=404)
        if target.draining:
            return self._refuse("draining")
        if self.chance.strikes(target.reject_share):
            return self._refuse("rejected")
        while target.stalled:
            await asyncio.sleep(REACH_POLL_S)
        return await self._call(request, parts[0], body)

    async def _call(
        self, request: web.BaseRequest, kind: str, body: bytes
    ) -> web.StreamResponse:
        target, chance = self.target, self.chance
        crashes = chance.strikes(target.crash_share) and target.crash_point
        poisoned = target.poison_marker is not None and target.poison_marker in body
        if poisoned or crashes == CrashPoint.BEFORE_RUNNING:
            self.die()
            return web.Response()
        # A call that was begun runs to its end, whether or not its caller waits.
        result = await asyncio.shield(self._run(request, kind))
        if crashes == CrashPoint.AFTER_RUNNING:
            self.die()
            return web.Response()
        if chance.strikes(target.lose_answer_share):
            reset(request.transport)
            return web.Response()
        if chance.strikes(target.fail_share):
            return web.json_response({"error": "failed"}, status=500)
        return web.Response(body=result, content_type="application/json")

    async def _run(self, request: web.BaseRequest, kind: str) -> bytes:
        target = self.target
        incarnation = target.incarnation
        await asyncio.sleep(target.delay_s)
        if not target.alive or target.incarnation != incarnation:
            return b""  # it was killed meanwhile, and its connections with it
        return self.record.run(target, kind, request.headers)

    def _status(self, key: str) -> web.Response:
        result = self.record.result_of(key)
        if result is None:
            return web.json_response({"error": "never ran"}, status=404)
        return web.Response(body=result, content_type="application/json")

    def _refuse(self, reason: str) -> web.Response:
        headers = self.headers_by_reason[reason]
        return web.json_response({"error": reason}, status=503, headers=headers)
