"""Leases, fenced orders to engines and rolling rollouts."""
