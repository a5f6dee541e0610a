"""Shared basics: outcomes, errors, counters, clocks and identifiers."""
