#!/bin/sh
# Checks the stand-ins and scripts of the third review. They are plain modules
# without dependencies, so that there is nothing to compile.
cd "$(dirname "$0")/.." || exit 2
for file in review/kit-3/*.mjs review/1[1-5]/*.mjs; do
  node --check "$file" || exit 1
done
