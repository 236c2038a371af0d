"""The ideal that response times are compared with.

One central list scheduler without any delay: it sees every arrival at once, knows every run time,
and gives a freed slot to the first waiting task in order of urgency and arrival.
"""

from heapq import heappop, heappush

from onyxfork.entities.catalogue import URGENCIES

__all__ = ["ideal_responses"]


def ideal_responses(jobs, slots, urgency_of):
    """Return the response time of each job under the ideal scheduler.

    Parameters
    ----------
    jobs : list of JobSpec
        In order of arrival.
    slots : int
    urgency_of : dict
        Maps a job's name to one of `URGENCIES`.

    Returns
    -------
    list of float
        Milliseconds, in the order of `jobs`.

    Examples
    --------
    >>> from onyxfork.workload.caller import JobSpec
    >>> two = [JobSpec(0.0, "o", "s", "t", "j", [100.0], []) for _ in range(2)]
    >>> ideal_responses(two, 1, {"j": "normal"})
    [100.0, 200.0]
    """
    ends = [0.0] * len(jobs)
    left = [len(job.run_ms) for job in jobs]
    waiting = []
    running = []
    free = slots
    position = 0
    while position < len(jobs) or running:
        arrives = jobs[position].at_s * 1000 if position < len(jobs) else float("inf")
        ended = running[0][0] if running else float("inf")
        now = min(arrives, ended)
        if arrives <= ended:
            rank = URGENCIES.index(urgency_of[jobs[position].job])
            for index in range(len(jobs[position].run_ms)):
                heappush(waiting, (rank, position, index))
            position += 1
        else:
            _, number = heappop(running)
            free += 1
            left[number] -= 1
            if not left[number]:
                ends[number] = now
        while free and waiting:
            _, number, index = heappop(waiting)
            heappush(running, (now + jobs[number].run_ms[index], number))
            free -= 1
    return [end - job.at_s * 1000 for end, job in zip(ends, jobs, strict=True)]
