#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are written in Python, which the build of the
# deploy file needs anyway (meson): this compiles them, so that a fault shows before a case starts.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
  echo "the stand-ins need Python 3.11 or later" >&2
  exit 1
}
for file in stand-3/*.py 1[1-5]/*.py; do
  if [ -e "$file" ]; then
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
  fi
done
