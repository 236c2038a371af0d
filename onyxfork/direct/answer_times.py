"""How long an order may stay without an answer before it is taken back.

A worker answers within milliseconds, so an order that is lost should be noticed well within the
slack of a short job. On a machine that is slow the agent itself takes longer to read the answer; a
fixed limit would then take back orders that have been carried out.
"""

__all__ = ["AnswerTimes"]

LEAST_LIMIT_S = 0.03
"""A worker on the same machine answers within a few milliseconds, its agent is busy for ten or so
when many tasks start at once, and the slack of the shortest jobs is a hundred."""

MOST_LIMIT_S = 0.25
FIRST_LIMIT_S = 0.06
"""Before the first answers."""

DEVIATIONS = 4.0
"""The limit lies this many mean deviations above the mean, as for a retransmission timeout
(RFC 6298)."""

MOST_BACKOFF = 8.0
MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25


class AnswerTimes:
    """Mean and mean deviation of answer times, and the limit that follows from them."""

    def __init__(self):
        self.mean_s = None
        self.deviation_s = 0.0
        self.backoff = 1.0

    @property
    def limit_s(self):
        """How long to wait for an answer, in seconds."""
        if self.mean_s is None:
            return min(MOST_LIMIT_S, self.backoff * FIRST_LIMIT_S)
        expected = self.mean_s + DEVIATIONS * self.deviation_s
        return min(MOST_LIMIT_S, self.backoff * max(LEAST_LIMIT_S, expected))

    def note_unanswered(self):
        """Wait longer next time: the machine may be slower than the limit."""
        self.backoff = min(MOST_BACKOFF, 2 * self.backoff)

    def note(self, elapsed_s):
        """Take the time of an answer."""
        self.backoff = 1.0
        if self.mean_s is None:
            self.mean_s, self.deviation_s = elapsed_s, elapsed_s / 2
            return
        error = elapsed_s - self.mean_s
        self.deviation_s += DEVIATION_WEIGHT * (abs(error) - self.deviation_s)
        self.mean_s += MEAN_WEIGHT * error
