"""Replicated durable state: log, storage, agreement, configuration and its fan-out."""
