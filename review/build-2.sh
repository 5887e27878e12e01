#!/bin/sh
# Builds what the cases 6 to 10 start besides the balancer: their stand-ins are Python scripts that
# need the standard library only, so this compiles them once and shows that they can be loaded.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
export PYTHONDONTWRITEBYTECODE=1
for file in review/shared-2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py; do
    if [ -f "$file" ]; then
        .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
    fi
done
