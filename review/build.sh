#!/bin/sh
# The stand-ins are plain JavaScript without dependencies; this checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib/*.mjs review/[1-5]/run.mjs; do
	[ -f "$file" ] || continue
	node --check "$file" || exit 1
done
