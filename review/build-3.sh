#!/bin/sh
# The stand-ins of cases 11 to 15 are plain scripts in lib-3/ that need no build. This checks that
# they load, and that the build of the deploy file has made the program that they start.
set -e
cd "$(dirname "$0")/.."
node --check review/lib-3/world.js
test -f target/mustardlug-node.cjs
