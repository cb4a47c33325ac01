#!/bin/sh
# Builds what the scripts of the second review start: checks that the gateway and the
# stand-ins load with the libraries under target/, which the deploy file's build puts
# there. Run it after that build.
set -e
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=target/deps:src:review:. python3 -c "
import kit_2
import lagoonrill.platform.__main__
import standins.metadata_store
"
for case in review/6 review/7 review/9 review/10; do
    if [ -f "$case/case.py" ]; then
        python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$case/case.py"
    fi
done
