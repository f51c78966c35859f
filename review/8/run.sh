#!/bin/sh
# Usage: run.sh (TROUBLE=0: one turn instead of the crowd). Exits with 1 if the rule was broken, 0 if it held.
exec python3 -B "$(dirname "$0")/run.py"
