"""Limits, permits, fair queues, retry budgets and refusal of poison requests."""
