#!/bin/sh
# Prepares the stand-ins of the cases 4 to 8. They are Python scripts that need
# the standard library only, and start target/geraniumplank, which the build of
# the deploy file has made. None of the project's own stand-ins is started.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
PYTHONDONTWRITEBYTECODE=1 python3 - review/harness-2/*.py review/[4-8]/*.py <<'EOF'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
EOF
test -x target/geraniumplank
