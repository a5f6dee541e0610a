"""Chains of engines over layer ranges, and the choice among targets."""
