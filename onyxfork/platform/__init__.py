"""The users' platform: its names, formats and calls, translated into onyxfork's own types.

Nothing here decides. Each module covers one kind of counterpart: the settings file, callers, the
worker, the worker's reports, the operator.
"""
