#!/usr/bin/env bash
# The stand-ins are plain modules of Node.js without packages: checks that they
# can be loaded, and that the programs are built.
set -eu
cd "$(dirname "$0")"
for module in stand_ins/*.mjs [1-5]/*.mjs; do node --check "$module"; done
test -f ../target/mustardferry.cjs
