"""Text form of tickets: their fields and an HMAC signature, in base64."""

import base64
import binascii
import hashlib
import hmac

import orjson
from attrs import frozen

TICKET_PREFIX = "tk1."
SIGNATURE_BYTES = 32
MAX_TICKET_CHARACTERS = 1024


class TicketFaultError(ValueError):
    """The ticket is malformed, or not signed with this fleet's secret."""


@frozen
class Ticket:
    """The right to run one call, valid only at the incarnation that minted it.

    Parameters
    ----------
    owner
        Incarnation that minted it, as ``instance@started_ms``.
    domain
        The owner's failure domain.
    expires_ms
        Wall-clock time until which it may be begun, in milliseconds.
    serial
        Random text, unique among the owner's tickets.
    """

    owner: str
    domain: str
    organisation: str
    service: str
    kind: str
    expires_ms: int
    serial: str


def is_ticket(key: str) -> bool:
    """Return True if the key is a ticket, False if it is a caller's own key."""
    return key.startswith(TICKET_PREFIX)


def sign_ticket(ticket: Ticket, secret: bytes) -> str:
    """Return the signed text of a ticket."""
    payload = orjson.dumps(
        [
            ticket.owner,
            ticket.domain,
            ticket.organisation,
            ticket.service,
            ticket.kind,
            ticket.expires_ms,
            ticket.serial,
        ]
    )
    return _format_ticket(payload, secret)


def read_ticket(text: str, secret: bytes) -> Ticket:
    """Return the ticket of a text with a valid signature.

    Raises
    ------
    TicketFaultError
        The text is malformed, or not signed with this secret.
    """
    if len(text) > MAX_TICKET_CHARACTERS:
        raise TicketFaultError("it is too long")
    parts = text.removeprefix(TICKET_PREFIX).split(".")
    if not is_ticket(text) or len(parts) != 2:
        raise TicketFaultError("it is malformed")
    payload, signature = _decode(parts[0]), _decode(parts[1])
    if not hmac.compare_digest(_sign(payload, secret), signature):
        raise TicketFaultError("its signature is wrong")
    if _format_ticket(payload, secret) != text:
        raise TicketFaultError("its encoding differs from that of the minted ticket")
    match orjson.loads(payload):
        case [
            str(owner),
            str(domain),
            str(organisation),
            str(service),
            str(kind),
            int(expires_ms),
            str(serial),
        ]:
            return Ticket(
                owner, domain, organisation, service, kind, expires_ms, serial
            )
    raise TicketFaultError("its fields are not those of a ticket")


def _format_ticket(payload: bytes, secret: bytes) -> str:
    """Return the canonical text of a payload; base64 would allow several texts."""
    return f"{TICKET_PREFIX}{_encode(payload)}.{_encode(_sign(payload, secret))}"


def _sign(payload: bytes, secret: bytes) -> bytes:
    return hmac.new(secret, payload, hashlib.sha256).digest()


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(text: str) -> bytes:
    try:
        return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except (binascii.Error, ValueError) as error:
        raise TicketFaultError("it is malformed") from error
