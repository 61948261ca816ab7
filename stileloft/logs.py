"""Logging on standard error, in the amount that LOG_LEVEL sets."""

import logging
import os
import sys

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def configure() -> None:
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(levelname)s %(name)s: %(message)s"))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Where a line was logged from and by which thread is not in the format;
    # looking it up for every line costs processor time that is scarce here.
    logging._srcfile = None
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
