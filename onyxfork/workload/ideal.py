"""Response times under an ideal scheduler, the reference for measured ones.

It is a central list scheduler without delays: it learns of every arrival at once, knows all run
times and assigns a freed slot to the first waiting task in order of urgency, then arrival.
"""

from heapq import heappop, heappush

from onyxfork.entities.catalogue import URGENCIES

__all__ = ["ideal_responses"]


def ideal_responses(jobs, slots, urgency_of):
    """Compute the response time of each job under the ideal scheduler.

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
    >>> jobs = [JobSpec(0.0, "o", "s", "t", "j", [100.0], []) for _ in range(2)]
    >>> ideal_responses(jobs, 1, {"j": "normal"})
    [100.0, 200.0]
    """
    end_times_ms = [0.0] * len(jobs)
    remaining_tasks = [len(job.run_ms) for job in jobs]
    waiting = []
    running = []
    free_slots = slots
    next_job = 0
    while next_job < len(jobs) or running:
        next_arrival_ms = jobs[next_job].at_s * 1000 if next_job < len(jobs) else float("inf")
        next_end_ms = running[0][0] if running else float("inf")
        now_ms = min(next_arrival_ms, next_end_ms)
        if next_arrival_ms <= next_end_ms:
            rank = URGENCIES.index(urgency_of[jobs[next_job].job])
            for task_index in range(len(jobs[next_job].run_ms)):
                heappush(waiting, (rank, next_job, task_index))
            next_job += 1
        else:
            _, job_index = heappop(running)
            free_slots += 1
            remaining_tasks[job_index] -= 1
            if not remaining_tasks[job_index]:
                end_times_ms[job_index] = now_ms
        while free_slots and waiting:
            _, job_index, task_index = heappop(waiting)
            heappush(running, (now_ms + jobs[job_index].run_ms[task_index], job_index))
            free_slots -= 1
    return [end_ms - job.at_s * 1000 for end_ms, job in zip(end_times_ms, jobs, strict=True)]
