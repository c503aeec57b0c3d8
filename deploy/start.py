"""Start one proxy from the source tree."""

import sys
from pathlib import Path

# A folder of the package is named like a module of the standard library; the
# package's own folder must never be on the path, only the one above it.
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))

from sedgeshunt.clocks import PROCESS_STARTED_AT  # noqa: E402, F401, I001
from sedgeshunt.node import run_node  # noqa: E402

if __name__ == '__main__':
    run_node(sys.argv[1:])
