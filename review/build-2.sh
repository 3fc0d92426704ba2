#!/bin/sh
# Builds the stand-ins that the scripts in review/6 to review/10 start. Run it after the build of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
for n in 6 7 8 9 10; do
	if [ -d "review/$n/testdata/standin" ]; then
		go build -buildvcs=false -o "bin/review-$n-standin" "./review/$n/testdata/standin"
	fi
done
