"""Experiments of the bench, one module each."""
