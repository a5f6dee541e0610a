"""Outcomes, errors, counters, clocks and identifiers that every other library uses."""
