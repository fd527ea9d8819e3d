#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python programs without dependencies; this only checks that
# they can be read. The project's programs come from the build of deploy/system.toml, in target/.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand/*.py [6-9]/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
