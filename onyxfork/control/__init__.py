"""The replicated control state: consensus, durable log, configuration and its fan-out."""
