"""Logging on standard error, in the amount that LOG_LEVEL sets."""

import logging
import os
import sys

LEVEL_VARIABLE = "LOG_LEVEL"
LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def configure() -> None:
    """Sets up the root logger; a level that is not known counts as `info`."""
    level = LEVELS.get(os.environ.get(LEVEL_VARIABLE, "info").lower(), logging.INFO)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(levelname)s %(name)s: %(message)s"))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Where a line was logged from and by which thread is not in the format;
    # looking it up for every line costs processor time that is scarce here.
    logging._srcfile = None
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
