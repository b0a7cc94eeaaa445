#!/bin/sh
# Builds the stand-ins that the scripts start. They are plain JavaScript without dependencies in
# review/lib-2, so this only checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs 8/*.mjs 9/*.mjs; do
	node --check "$file" || exit 1
done
