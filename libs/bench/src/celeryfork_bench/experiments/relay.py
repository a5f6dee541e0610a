"""Processor time of the relay for a token, by the number of streams."""

from collections.abc import Sequence

from celeryfork_streams.loop_thread import make_loop_thread
from celeryfork_streams.relay_cost import BOUND_US, measure_relay
from celeryfork_streams.relay_load import RelayLoad

from celeryfork_bench.experiments.context import Context, Experiment
from celeryfork_bench.figures import Figure, at_most

STREAMS = (1, 100, 600)
START_TIMEOUT_S = 5.0
MEASURE_TIMEOUT_S = 60.0


def run(context: Context) -> Sequence[Figure]:
    """Return microseconds of the loop thread's processor time a token."""
    seconds = context.choose(0.5, 4.0)
    load_thread, relay_thread = make_loop_thread(), make_loop_thread()
    load_thread.start()
    relay_thread.start()
    figures = []
    try:
        load = RelayLoad(context.seed)
        addresses = load_thread.submit(load.listen()).result(START_TIMEOUT_S)
        load_thread.submit(load.run())
        for streams in STREAMS:
            measuring = relay_thread.submit(measure_relay(*addresses, streams, seconds))
            cost = measuring.result(MEASURE_TIMEOUT_S)
            name = f"relay, {streams} streams"
            figures.append(
                Figure(name, cost.processor_us, "us a token", at_most(BOUND_US))
            )
    finally:
        relay_thread.stop()
        load_thread.stop()
    return figures


RELAY = Experiment("relay", run, each_deployment=False)
