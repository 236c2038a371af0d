"""Decision functions over the tables of owners and agents.

They read no clock and open no socket: the time is a parameter, and messages to send are returned or
added to an outbox.
"""
