"""Text format of counters, gauges and latency histograms."""

from attrs import define, field
from celeryfork_base.counters import Counters
from hdrh.histogram import HdrHistogram

MAX_DURATION_MS = 60_000
"""Maximum duration in ms that a histogram records; longer ones are clipped."""
SIGNIFICANT_DIGITS = 2
"""Significant digits of a histogram's values."""
QUANTILES = (50.0, 95.0, 99.0)


@define(eq=False)
class Histograms:
    """Histograms of durations in ms, by name."""

    _by_name: dict[str, HdrHistogram] = field(factory=dict)

    def record(self, name: str, seconds: float) -> None:
        """Add one duration, given in seconds."""
        histogram = self._by_name.get(name)
        if histogram is None:
            histogram = self._by_name[name] = HdrHistogram(
                1, MAX_DURATION_MS, SIGNIFICANT_DIGITS
            )
        histogram.record_value(min(MAX_DURATION_MS, max(1, round(seconds * 1000))))

    def lines(self) -> list[str]:
        """Return lines with quantiles, count and mean of each histogram."""
        lines = []
        for name, histogram in sorted(self._by_name.items()):
            label = _label(name)
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile)
                lines.append(f'{label}_ms{{quantile="{quantile / 100:g}"}} {value}')
            lines.append(f"{label}_ms_count {histogram.get_total_count()}")
            lines.append(f"{label}_ms_mean {histogram.get_mean_value():.1f}")
        return lines


def metrics_text(
    counters: Counters, histograms: Histograms, gauges: dict[str, float]
) -> bytes:
    """Return all metrics, one a line, as name and value."""
    lines = [f"{_label(name)} {value}" for name, value in counters.counts().items()]
    lines += [f"{_label(name)} {value:g}" for name, value in sorted(gauges.items())]
    lines += histograms.lines()
    return ("\n".join(lines) + "\n").encode()


def _label(name: str) -> str:
    return "celeryfork_" + name.replace(".", "_").replace("-", "_")
