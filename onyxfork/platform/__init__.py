"""Adapter between onyxfork and the users' platform: its field names, formats and HTTP calls.

The adapter decodes and encodes; it makes no scheduling decision. Each module covers one
counterpart or format: the settings file, the configuration document, callers and their jobs, the
worker, the worker's reports, and operators.
"""
