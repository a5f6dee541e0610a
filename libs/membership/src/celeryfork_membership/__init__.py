"""Tracks live targets and peers from the instance list, requests and gossip."""
