#!/bin/sh
# The stand-ins are plain JavaScript for Node.js without dependencies: nothing has to
# be compiled. The check fails if the node program has not been built.
set -e
cd "$(dirname "$0")/.."
test -f target/mustardlug-node.cjs
for file in review/lib/*.js review/*/case.js; do node --check "$file"; done
