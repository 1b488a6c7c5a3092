#!/bin/sh
# Checks the stand-ins of cases 11 to 15; they need the standard library only.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 -c '
import sys
sys.path.insert(0, ".")
import review.kit3.fleet
'
