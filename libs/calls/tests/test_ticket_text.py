"""Tests of celeryfork_calls.ticket_text."""

import base64
from string import ascii_letters, digits

import pytest
from celeryfork_calls.ticket_text import (
    Ticket,
    TicketFaultError,
    is_ticket,
    read_ticket,
    sign_ticket,
)

SECRET = b"0123456789abcdef"
TICKET = Ticket("a@1", "karen", "o", "visit-desk", "book", 1_800_000_000_000, "ab")


def test_a_signed_ticket_reads_back_unchanged():
    text = sign_ticket(TICKET, SECRET)
    assert is_ticket(text)
    assert read_ticket(text, SECRET) == TICKET


def test_other_base64_encodings_of_a_signature_are_refused():
    head, payload, signature = sign_ticket(TICKET, SECRET).split(".")
    data = base64.urlsafe_b64decode(signature + "=")
    last = signature[-1]
    others = [signature[:-1] + c for c in ascii_letters + digits + "-_" if c != last]
    equivalent = [o for o in others if base64.urlsafe_b64decode(o + "=") == data]
    assert equivalent
    for encoding in (*equivalent, signature + "=", signature + "\n"):
        with pytest.raises(TicketFaultError):
            read_ticket(f"{head}.{payload}.{encoding}", SECRET)


def test_a_ticket_with_any_changed_character_is_refused():
    text = sign_ticket(TICKET, SECRET)
    for index in range(len(text)):
        changed = (
            text[:index] + ("A" if text[index] != "A" else "B") + text[index + 1 :]
        )
        with pytest.raises(TicketFaultError):
            read_ticket(changed, SECRET)


@pytest.mark.parametrize("text", ["", "tk1.", "tk1..", "tk1.é.é", "tk1." + "A" * 2000])
def test_malformed_text_is_refused(text):
    with pytest.raises(TicketFaultError):
        read_ticket(text, SECRET)


def test_a_ticket_signed_with_another_secret_is_refused():
    with pytest.raises(TicketFaultError, match="signature"):
        read_ticket(sign_ticket(TICKET, b"another secret.."), SECRET)
