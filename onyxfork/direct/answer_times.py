"""Adaptive timeout of orders to a worker.

A worker answers within milliseconds, so a lost order should be detected well within the slack of a
short job. On a slow machine the agent itself takes longer to read the answer, and with a fixed
timeout it would revoke orders that the worker has carried out.
"""

__all__ = ["AnswerTimes", "MAX_TIMEOUT_S"]

MIN_TIMEOUT_S = 0.03
"""Lower bound on the timeout. A worker on the same machine answers within a few milliseconds, its
agent is busy for about 10 ms when many tasks start together, and the shortest jobs have a slack of
100 ms."""

MAX_TIMEOUT_S = 0.25
INITIAL_TIMEOUT_S = 0.06
"""Timeout before the first answer."""

DEVIATION_FACTOR = 4.0
"""The timeout is the mean plus this many mean deviations, as for retransmission (RFC 6298)."""

MAX_BACKOFF_FACTOR = 8.0
MEAN_EMA_WEIGHT = 0.125
DEVIATION_EMA_WEIGHT = 0.25


class AnswerTimes:
    """Moving averages of answer times and their deviation, and the timeout that results."""

    def __init__(self):
        self.mean_s = None
        self.deviation_s = 0.0
        self.backoff_factor = 1.0

    @property
    def usual_s(self):
        """Time within which an order is usually answered, in seconds; unanswered ones aside."""
        if self.mean_s is None:
            return INITIAL_TIMEOUT_S
        expected = self.mean_s + DEVIATION_FACTOR * self.deviation_s
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, expected))

    @property
    def timeout_s(self):
        """Timeout of the next order, in seconds."""
        return min(MAX_TIMEOUT_S, self.backoff_factor * self.usual_s)

    def record_timeout(self):
        """Double the timeout after an unanswered order: the machine may have become slow."""
        self.backoff_factor = min(MAX_BACKOFF_FACTOR, 2 * self.backoff_factor)

    def record(self, elapsed_s):
        """Update the averages with the time of an answer and reset the backoff."""
        self.backoff_factor = 1.0
        if self.mean_s is None:
            self.mean_s, self.deviation_s = elapsed_s, elapsed_s / 2
            return
        error = elapsed_s - self.mean_s
        self.deviation_s += DEVIATION_EMA_WEIGHT * (abs(error) - self.deviation_s)
        self.mean_s += MEAN_EMA_WEIGHT * error
