"""Callers of a deployment: they send, read, and send again as told."""

import asyncio
import random
import time
from collections.abc import Callable, Mapping

from aiohttp import (
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)
from aiohttp.client_exceptions import ClientConnectorError
from attrs import frozen
from celeryfork_base.identity import make_uuid7
from celeryfork_base.outcomes import OUTCOME_HEADER, Outcome
from orjson import JSONDecodeError, dumps, loads

from celeryfork_bench.history import Ask, Ending, Exchange, History, ModelAsk, PlainAsk

MOST_SENDS = 6
LONGEST_PAUSE_S = 2.0
SHORTEST_PAUSE_S = 0.05
DATA = b"data: "
DONE = b"data: [DONE]"

PickInstance = Callable[[], tuple[str, str] | None]


@frozen
class CallerOptions:
    """How callers behave.

    Parameters
    ----------
    deadline_s
        How long each send waits, in seconds.
    most_sends
        Sends of one ask: again after ``not_run`` and, with the same key, ``unknown``.
    """

    deadline_s: float = 30.0
    most_sends: int = MOST_SENDS


class Callers:
    """Sends asks for organisations; belongs to one event loop.

    Parameters
    ----------
    pick_instance
        The balancer: returns an instance's name and address.
    keys_by_organisation
        Bearer keys.
    history
        Where exchanges are kept.
    seed
        Seed of the pauses.
    """

    def __init__(
        self,
        session: ClientSession,
        pick_instance: PickInstance,
        keys_by_organisation: Mapping[str, str],
        history: History,
        options: CallerOptions,
        seed: int,
    ) -> None:
        self._session = session
        self._pick_instance = pick_instance
        self._keys_by_organisation = keys_by_organisation
        self._history = history
        self._options = options
        self._random = random.Random(seed)

    async def ask(self, organisation: str, ask: Ask) -> Exchange:
        """Send an ask, again where that can help, and return the last exchange."""
        for send in range(self._options.most_sends):
            exchange = await self.send(organisation, ask)
            last = send == self._options.most_sends - 1
            if last or not _worth_sending_again(exchange):
                return exchange
            await asyncio.sleep(self._pause_s(exchange))
        raise AssertionError("most_sends is at least 1")

    async def send(self, organisation: str, ask: Ask) -> Exchange:
        """Send an ask once."""
        picked = self._pick_instance()
        while picked is None:
            await asyncio.sleep(SHORTEST_PAUSE_S)
            picked = self._pick_instance()
        name, address = picked
        exchange = Exchange(
            request_id=str(make_uuid7(time.time_ns() // 1_000_000)),
            organisation=organisation,
            ask=ask,
            instance=name,
            sent_s=time.monotonic(),
        )
        try:
            await self._exchange(exchange, address)
        except ClientConnectorError:
            exchange.ending = Ending.CONNECTION_REFUSED
        except (ClientError, TimeoutError, OSError, JSONDecodeError):
            exchange.ending = Ending.BROKEN_OFF
        except asyncio.CancelledError:
            exchange.ending = Ending.CALLER_LEFT
            raise
        finally:
            exchange.ended_s = time.monotonic()
            self._history.add(exchange)
        return exchange

    async def _exchange(self, exchange: Exchange, address: str) -> None:
        headers = {
            "Authorization": "Bearer "
            + self._keys_by_organisation[exchange.organisation],
            "X-Request-Id": exchange.request_id,
            "X-Deadline-Ms": str(round(self._options.deadline_s * 1000)),
        }
        match exchange.ask:
            case ModelAsk() as ask:
                path, body = "/v1/completions", _model_body(ask)
            case PlainAsk() as ask:
                path, body = f"/v1/services/{ask.service}/{ask.kind}", ask.body
                if ask.key is not None:
                    headers["Idempotency-Key"] = ask.key
        async with self._session.post(
            f"http://{address}{path}", data=body, headers=headers
        ) as response:
            await _read(exchange, response)

    def _pause_s(self, exchange: Exchange) -> float:
        wanted_s = exchange.retry_after_s or SHORTEST_PAUSE_S
        return min(LONGEST_PAUSE_S, wanted_s) * self._random.uniform(0.5, 1.0)


def make_session() -> ClientSession:
    """Return a client session of the running event loop."""
    return ClientSession(
        connector=TCPConnector(limit=0),
        timeout=ClientTimeout(total=120, sock_connect=2),
    )


def _worth_sending_again(exchange: Exchange) -> bool:
    """Tell what a careful caller sends again: a key makes it safe when in doubt."""
    keyed = isinstance(exchange.ask, PlainAsk) and exchange.ask.key is not None
    match exchange.ending, exchange.outcome:
        case Ending.ANSWERED, Outcome.NOT_RUN:
            return exchange.code not in {"key_expired", "key_malformed"}
        case Ending.ANSWERED, Outcome.UNKNOWN:
            return keyed
        case Ending.CONNECTION_REFUSED, _:
            return True
        case Ending.BROKEN_OFF, _:
            return keyed
    return False


def _model_body(ask: ModelAsk) -> bytes:
    return dumps(
        {
            "model": ask.model,
            "prompt": ask.prompt,
            "max_tokens": ask.max_tokens,
            "seed": ask.seed,
            "stream": ask.stream,
        }
    )


async def _read(exchange: Exchange, response: ClientResponse) -> None:
    exchange.status = response.status
    retry_after = response.headers.get("Retry-After")
    exchange.retry_after_s = float(retry_after) if retry_after else None
    if response.content_type == "text/event-stream":
        await _read_events(exchange, response)
        return
    exchange.body = await response.read()
    exchange.outcome = Outcome(response.headers.get(OUTCOME_HEADER, "unknown"))
    exchange.ending = Ending.ANSWERED
    if not isinstance(exchange.ask, ModelAsk) and response.status == 200:
        return
    answer = loads(exchange.body) if exchange.body.startswith(b"{") else {}
    if "error" in answer:
        exchange.code = answer["error"].get("code")
    elif isinstance(exchange.ask, ModelAsk):
        exchange.text = answer["choices"][0]["text"]
        exchange.tokens = answer["usage"]["completion_tokens"]


async def _read_events(exchange: Exchange, response: ClientResponse) -> None:
    last_s = exchange.sent_s
    async for line in response.content:
        if not line.startswith(DATA):
            continue
        if line.startswith(DONE):
            exchange.ending = Ending.ANSWERED
            return
        event = loads(line[len(DATA) :])
        if "celeryfork" in event:
            exchange.outcome = Outcome(event["celeryfork"]["outcome"])
        if "error" in event:
            exchange.code = event["error"].get("code")
            exchange.outcome = Outcome(event["error"]["outcome"])
            continue
        text = event["choices"][0]["text"]
        if not text:
            continue
        now_s = time.monotonic()
        exchange.text += text
        exchange.tokens += 1
        exchange.token_times_s.append(now_s)
        if exchange.first_token_s is None:
            exchange.first_token_s = now_s - exchange.sent_s
        else:
            exchange.token_gaps_s.append(now_s - last_s)
        last_s = now_s
