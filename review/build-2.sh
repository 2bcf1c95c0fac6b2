#!/bin/sh
# Builds what the scripts of this review start besides the build of the deploy file:
# the project's own stand-in of the store.
set -e
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent
npm run build --silent
