"""The bounds and waits of streams."""

from attrs import frozen


@frozen
class StreamPolicy:
    """Bounds and waits of streams; the daemon fills them from configuration.

    Parameters
    ----------
    most_attempts
        Attempts of one request, the first included.
    free_resumptions
        How often a request that an engine had begun is resumed even if the retry
        budget is out; two, because a poison request may crash two engines.
    connect_timeout_s
        Limit for connecting to an engine, in seconds.
    first_token_floor_s, token_gap_floor_s
        Shortest silence taken for a stall before and after the first token.
    gap_factor
        How many times the usual gap a silence must be to count as a stall.
    gap_ceiling_s
        Longest silence that is ever waited out, in seconds.
    stall_check_timeout_s
        How long the engines of a silent chain have to answer, in seconds.
    prompt_token_s
        Time allowed for each prompt token until the chain's own is learned.
    stream_buffer_bytes
        Bytes held for a caller before its own engine is held back.
    slow_caller_timeout_s
        How long a caller may leave that buffer full before it is cut.
    no_target_wait_s, longest_wait_s
        First and longest pause, in seconds, before a stream that is being resumed
        asks again for a chain, or goes back to engines that turned it away.
    suspect_wait_s
        How long a request that may have crashed an engine waits, in seconds, for
        engines that no other such request runs on.
    refused_retry_after_s
        ``Retry-After`` of answers given up on, in seconds.
    """

    most_attempts: int = 6
    free_resumptions: int = 2
    connect_timeout_s: float = 0.5
    first_token_floor_s: float = 0.6
    token_gap_floor_s: float = 0.25
    gap_factor: float = 8.0
    gap_ceiling_s: float = 10.0
    stall_check_timeout_s: float = 0.15
    prompt_token_s: float = 0.001
    stream_buffer_bytes: int = 64 * 1024
    slow_caller_timeout_s: float = 10.0
    no_target_wait_s: float = 0.05
    longest_wait_s: float = 1.0
    suspect_wait_s: float = 10.0
    refused_retry_after_s: float = 1.0
