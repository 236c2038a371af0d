"""Direct dispatch: the entry that holds a caller's connection places the tasks of its job.

Agents are the arbiters of their worker's room. Control holds the configuration and tells nodes of
each other, and no job waits for it.
"""
