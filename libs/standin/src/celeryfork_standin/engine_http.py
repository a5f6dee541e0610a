"""An engine's HTTP interface, as in docs/ENGINE.md."""

import asyncio
import random

import cattrs
import orjson
from aiohttp import web
from attrs import define

from celeryfork_standin.engine_core import Engine, FleetContext
from celeryfork_standin.event_stream import EventStream
from celeryfork_standin.orders import OrderDesk
from celeryfork_standin.reading import make_strict_converter
from celeryfork_standin.sequence import (
    GenerateBody,
    Sequence,
    Stage,
    make_stages,
)
from celeryfork_standin.token_record import TokenRecord

RETRY_AFTER_S = "1"
REACH_POLL_S = 0.02
BYTES_PER_KV_TOKEN = 64


@define(eq=False)
class EngineSite:
    """Answers the requests to one engine."""

    engine: Engine
    context: FleetContext
    orders: OrderDesk
    record: TokenRecord
    chance: random.Random

    async def handle(
        self, request: web.BaseRequest, client_domain: str | None
    ) -> web.StreamResponse:
        """Answer one request, later if the engine is stalled or out of reach."""
        await self._wait_until_reachable(client_domain)
        parts = request.path.strip("/").split("/")
        if request.method == "POST":
            return await self._post(request, parts, client_domain)
        if request.method == "DELETE" and parts[:2] == ["v1", "streams"]:
            return self._cancel("/".join(parts[2:]))
        if request.method == "GET":
            return self._get(request, parts)
        return _fault(404, "no such path")

    async def _wait_until_reachable(self, client_domain: str | None) -> None:
        engine = self.engine
        while engine.stalled or engine.is_cut_off(client_domain):
            await asyncio.sleep(REACH_POLL_S)

    async def _post(
        self, request: web.BaseRequest, parts: list[str], client_domain: str | None
    ) -> web.StreamResponse:
        match parts:
            case ["v1", "generate"]:
                return await self._generate(request, client_domain)
            case ["v1", "orders"]:
                return await self.orders.handle(self.engine, await request.read())
        return _fault(404, "no such path")

    def _get(self, request: web.BaseRequest, parts: list[str]) -> web.Response:
        match parts:
            case ["v1", "load"]:
                return self._load()
            case ["v1", "engine"]:
                return self._describe()
            case ["v1", "cache-events"]:
                return self._cache_events(request)
            case ["v1", "streams", stream_id, "kv"]:
                return self._export_kv(request, stream_id)
        return _fault(404, "no such path")

    async def _generate(
        self, request: web.BaseRequest, client_domain: str | None
    ) -> web.StreamResponse:
        try:
            body = read_generate(await request.read())
        except ValueError as error:
            return _fault(400, str(error))
        refusal = self._refusal(body)
        if refusal is not None:
            return refusal
        stages = make_stages(body, self.context.engines_by_id)
        response = web.StreamResponse()
        response.content_type = "application/x-ndjson"
        response.enable_chunked_encoding()
        try:
            await response.prepare(request)
        except ConnectionResetError:
            return response
        if request.transport is None:
            return response
        layers = [(stage.first, stage.last) for stage in body.chain]
        muted = self.engine.stalled or self.engine.is_cut_off(client_domain)
        events = EventStream(
            request.transport, body.attempt, layers, self.chance, muted=muted
        )
        if isinstance(stages, str):
            events.failed("stage_lost", stages)
        else:
            await self._run(self._make_sequence(body, stages, events, client_domain))
        await self._wait_until_reachable(client_domain)
        events.mute(False)
        return response

    def _make_sequence(
        self,
        body: GenerateBody,
        stages: list[Stage],
        events: EventStream,
        client_domain: str | None,
    ) -> Sequence:
        context = self.context
        return Sequence(
            body,
            stages,
            context.links,
            context.step_timer,
            self.record,
            events,
            client_domain,
        )

    async def _run(self, sequence: Sequence) -> None:
        for stage in sequence.stages:
            stage.engine.sequences.add(sequence)
        try:
            for stage in sequence.stages[1:]:
                engine = stage.engine
                if not engine.alive:
                    sequence.fail("stage_lost", engine.spec.id)
                elif engine.refuses:
                    sequence.fail("leaving", engine.spec.id)
                elif engine.waiting >= engine.spec.most_waiting:
                    sequence.fail("overloaded")
            if not sequence.over:
                sequence.start()
            await sequence.ended
        finally:
            # Also when the client closed the connection, which cancels this task.
            sequence.end()

    def _refusal(self, body: GenerateBody) -> web.Response | None:
        engine = self.engine
        first = body.chain[0]
        if first.engine != engine.spec.id:
            return _fault(400, "the chain does not begin here")
        missing = self._missing(body)
        if missing is not None:
            return _fault(404, f"{missing} not held here")
        if engine.refuses:
            return _fault(409, "leaving")
        if engine.waiting >= engine.spec.most_waiting:
            return _fault(429, "overloaded")
        return None

    def _missing(self, body: GenerateBody) -> str | None:
        """Return what the request asks for that the engine doesn't hold."""
        engine = self.engine
        first = body.chain[0]
        if not engine.holds(body.model, first.first, first.last):
            return "model or layers"
        if body.version not in (None, engine.version):
            return f"version {body.version}"
        if body.adapter is not None and body.adapter not in engine.adapters:
            return f"adapter {body.adapter}"
        return None

    def _load(self) -> web.Response:
        engine = self.engine
        sample = engine.load()
        return web.json_response(
            {
                "measured_ms": sample.at_ms,
                "running": sample.running,
                "waiting": sample.waiting,
                "max_batch": engine.spec.max_batch,
                "tokens_per_second": engine.spec.tokens_per_second,
                "kv_used": engine.kv.used_share(),
            }
        )

    def _describe(self) -> web.Response:
        engine = self.engine
        spec = engine.spec
        return web.json_response(
            {
                "engine": spec.id,
                "model": spec.model,
                "first_layer": spec.first_layer,
                "last_layer": spec.last_layer,
                "accelerator": spec.accelerator,
                "version": engine.version,
                "adapters": engine.adapters,
                "role": "standby" if engine.standby else "serve",
                "max_batch": spec.max_batch,
                "tokens_per_second": spec.tokens_per_second,
                "prefill_tokens_per_second": spec.prefill_tokens_per_second,
                "highest_fencing": engine.highest_fencing,
                "state": engine.state,
            }
        )

    def _cache_events(self, request: web.BaseRequest) -> web.Response:
        try:
            after = int(request.query.get("after", "0"))
        except ValueError:
            return _fault(400, "after is no number")
        events = self.engine.prefixes.events_after(after)
        shown = [{"seq": e.seq, "kind": e.kind, "prefix": e.prefix} for e in events]
        following = events[-1].seq if events else after
        return web.json_response({"events": shown, "next": following})

    def _export_kv(self, request: web.BaseRequest, stream_id: str) -> web.Response:
        spec = self.engine.spec
        try:
            first = int(request.query.get("first", spec.first_layer))
            last = int(request.query.get("last", spec.last_layer))
        except ValueError:
            return _fault(400, "first or last is no number")
        entry = self.engine.kv.find(stream_id, first, last)
        if entry is None:
            return _fault(404, "not kept")
        body = bytes(entry.tokens() * BYTES_PER_KV_TOKEN * (last - first))
        return web.Response(body=body, content_type="application/octet-stream")

    def _cancel(self, stream_id: str) -> web.Response:
        for sequence in self.engine.cancel(stream_id):
            sequence.events.transport.close()
            sequence.end()
        self.engine.kv.drop(stream_id)
        return web.Response(status=204)


_read = make_strict_converter()


def read_generate(raw: bytes) -> GenerateBody:
    """Read and check the body of ``POST /v1/generate``.

    Raises
    ------
    ValueError
        It is malformed; the message says how.
    """
    try:
        body = _read.structure(orjson.loads(raw), GenerateBody)
    except orjson.JSONDecodeError as error:
        raise ValueError("the body is no JSON") from error
    except cattrs.BaseValidationError as error:
        raise ValueError("; ".join(cattrs.transform_error(error))) from error
    if body.position != len(body.emitted):
        raise ValueError("position differs from the length of emitted")
    if not body.chain or body.max_tokens < 0:
        raise ValueError("the chain is empty or max_tokens is negative")
    for stage, following in zip(body.chain, body.chain[1:], strict=False):
        if stage.last != following.first:
            raise ValueError("the chain has a gap or an overlap")
    return body


def _fault(status: int, error: str) -> web.Response:
    headers = {"Retry-After": RETRY_AFTER_S} if status == 429 else None
    return web.json_response({"error": error}, status=status, headers=headers)
