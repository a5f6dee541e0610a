"""Leases, orders with fencing numbers to engines, and rolling rollouts."""
