"""Running calls: streams with recovery, plain calls, claims and tickets."""
