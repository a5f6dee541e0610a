"""Fixtures of the entry's tests."""

from each_service import each_service

__all__ = ["each_service"]
