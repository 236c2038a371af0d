"""Direct dispatch: the entry that holds a caller's connection places the tasks of its job.

Each agent decides which runs its worker starts. Control replicates the configuration and serves the
directory of nodes; no job waits for control.
"""
