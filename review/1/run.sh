#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# What was sent, answered and run stands in review/1/record.txt then.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/vetchhaven ] || [ ! -x review/bin/unknownpod ]; then
	echo "build first: the build line of deploy/balancer.toml, then review/build.sh" >&2
	exit 2
fi
exec review/bin/unknownpod review/1/record.txt
