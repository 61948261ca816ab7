"""Starts stileloft from a checkout, with the libraries in target/deps."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from stileloft.cli import main

if __name__ == "__main__":
    sys.exit(main())
