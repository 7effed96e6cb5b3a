#!/usr/bin/env bash
# Builds what the scripts start beside the deploy file's programs. The stand-ins
# are Python 3 with its standard library: there is only a check to do.
set -euo pipefail
cd "$(dirname "$0")"
python3 - tools2/*.py [6-9]/*.py <<'P'
import sys
if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9 or newer")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
P
echo "the stand-ins are good"
