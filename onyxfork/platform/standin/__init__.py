"""Stand-ins for the platform's workers, callers and operators, for tests and the fault soak.

Production code does not import this package.
"""
