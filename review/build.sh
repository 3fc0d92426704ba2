#!/bin/bash
# Builds the programs that the cases' scripts start, beside the deploy file's own build. It needs Go alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for name in review/testdata/*/; do
	name=$(basename "$name")
	if [ -f "review/testdata/$name/main.go" ]; then
		go build -buildvcs=false -o "review/bin/$name" "./review/testdata/$name"
	fi
done
