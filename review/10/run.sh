#!/bin/sh
# Exit status: 1 if the rule is broken, 0 if it holds, 2 if it could not run.
cd "$(dirname "$0")" && exec python3 case.py
