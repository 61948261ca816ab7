"""Entry point of `python -m stileloft`; the command line is the same as that of run.py."""

import sys

from stileloft.cli import main

sys.exit(main())
