"""Logs are limited in rate and never block on their reader."""

import json
import logging
import os

from onyxfork.logs import RateLimitedHandler, make_formatter


def make_logger(descriptor, clock, **limits):
    handler = RateLimitedHandler(descriptor, clock=clock, **limits)
    handler.setFormatter(make_formatter("entry", "e1", "a"))
    logger = logging.Logger("bounded")
    logger.addHandler(handler)
    return logger


def read_lines(descriptor):
    os.set_blocking(descriptor, False)
    return [json.loads(line) for line in os.read(descriptor, 1 << 20).splitlines()]


def test_lines_above_the_rate_are_dropped_and_counted():
    reader, writer = os.pipe()
    now = [0.0]
    logger = make_logger(writer, lambda: now[0], rate=10, burst=5)
    for number in range(20):
        logger.info("line", extra={"number": number})
    now[0] = 1.0
    logger.info("line", extra={"number": 20})
    lines = read_lines(reader)
    assert [line["number"] for line in lines] == [0, 1, 2, 3, 4, 20]
    assert lines[-1]["dropped_before"] == 15


def test_warnings_pass_above_the_rate():
    reader, writer = os.pipe()
    logger = make_logger(writer, lambda: 0.0, rate=10, burst=1)
    logger.info("first")
    logger.warning("second")
    assert [line["message"] for line in read_lines(reader)] == ["first", "second"]


def test_full_pipe_does_not_block():
    reader, writer = os.pipe()
    logger = make_logger(writer, lambda: 0.0, rate=10, burst=1_000_000)
    for _ in range(5000):
        logger.info("x" * 100)
    assert logger.handlers[0].dropped > 0
    assert os.read(reader, 100)
