"""`python -m stileloft`, the same command line as run.py."""

import sys

from stileloft.cli import main

sys.exit(main())
