#!/bin/sh
# The stand-ins are plain programs for node: there is nothing to compile. This only checks that they can be loaded.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/case.mjs; do node --check "$file"; done
test -f ../target/main.cjs || { echo "the project is not built: run the build command of deploy/service.toml" >&2; exit 1; }
