"""Logging to standard error, at the level in the environment variable LOG_LEVEL."""

import logging
import os
import sys

LEVEL_VARIABLE = "LOG_LEVEL"
LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def configure() -> None:
    """Configures the root logger; an unknown level counts as `info`."""
    level = LEVELS.get(os.environ.get(LEVEL_VARIABLE, "info").lower(), logging.INFO)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(levelname)s %(name)s: %(message)s"))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # The format contains neither source positions nor threads and processes;
    # looking them up for every line would waste scarce processor time.
    logging._srcfile = None
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
