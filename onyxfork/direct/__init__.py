"""Direct dispatch: the entry that holds a caller's connection places the tasks of its job.

Each agent decides what its worker has room for. Control replicates the configuration and serves the
directory of nodes; no job waits for control.
"""
