#!/usr/bin/env bash
# The stand-ins of the cases are Python programs without dependencies; this only checks that they
# can be read. The project's programs come from the build of deploy/system.toml, in target/.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in lib/*.py [0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
