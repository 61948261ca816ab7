"""Start stileloft from a checkout, with the libraries in target/deps."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from stileloft.cli import main  # noqa: E402 - the path has to be set first

if __name__ == "__main__":
    sys.exit(main())
