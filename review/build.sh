#!/usr/bin/env bash
# Builds what the scripts start beside the deploy file's programs: the stand-ins
# are Python 3 with its standard library, so that there is only a check to do.
set -euo pipefail
cd "$(dirname "$0")"
python3 - tools/*.py [0-9]*/*.py <<'P'
import sys
if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or newer")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as f:
        compile(f.read(), path, "exec")
P
echo "stand-ins are good"
