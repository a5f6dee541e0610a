"""Limits, permits, fair queueing, retry budgets and poison requests."""
