#!/bin/sh
# The stand-ins need no more than Python's own library; check that they compile.
cd "$(dirname "$0")" || exit 2
exec python3 -m py_compile standins/world.py 1/case.py 2/case.py 3/case.py
