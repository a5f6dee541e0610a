"""Which targets and peers are live, from the list, observation and peers' news."""
