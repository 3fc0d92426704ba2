#!/bin/bash
# A daemon is restarted while none of its resolvers answers. A server that the whole list no longer names gets nothing new.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: the same without the restart.
cd "$(dirname "$0")/../.." || exit 2
standin=bin/review-9-standin
[ -x bin/vetchhaven ] && [ -x "$standin" ] || exit 2
dir=$(mktemp -d) || exit 2
export TMPDIR=$dir
record=review/9/record.txt
daemon='' outside=''
cleanup() {
	for pid in $daemon $outside; do kill -KILL "$pid" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap cleanup EXIT
mapfile -t port < <("$standin" -ports 4)
[ ${#port[@]} -eq 4 ] || exit 2
mkdir "$dir/state"
cat >"$dir/fleet.toml" <<TOML
admin = "127.0.0.1:${port[0]}"
state_dir = "$dir/state"

[[source]]
name = "forms"
list = "127.0.0.1:${port[1]}"
srv = ["_form._tcp.example.org"]
resolvers = ["127.0.0.1:${port[3]}"]

[site]
zones = ["kathmandu", "biratnagar"]
kinds = ["new-3core", "old-2core", "slow-3core"]

[rules]
balancers = 1
max_attempts = 3
connect_timeout = "250ms"
idle_close = "5s"
drain_grace = "2s"
answer_slack = "20ms"

[[class]]
name = "form-fetch"
repeats = "safe"
aim = "600ms"
deadline = "3s"

[[instance]]
name = "kathmandu-1"
listen = "127.0.0.1:${port[2]}"
zone = "kathmandu"
source = "forms"
TOML
echo "trouble ${TROUBLE:-1}, $(date -u +%FT%TZ)" >"$record"
"$standin" -list "127.0.0.1:${port[1]}" -agent "127.0.0.1:${port[2]}" -removed "$dir/removed" -ready "$dir/ready" -until "$dir/end" -record "$record" &
outside=$!
start() {
	/bin/sh -c "exec bin/vetchhaven serve --config '$dir/fleet.toml'" 2>>"$dir/log" &
	daemon=$!
	"$standin" -health "127.0.0.1:${port[2]}" || exit 2
}
start
sleep 7 # the state is saved every 5 s
if [ "${TROUBLE:-1}" != 0 ]; then
	kill -TERM "$daemon" || exit 2
	wait "$daemon"
fi
touch "$dir/removed"
[ "${TROUBLE:-1}" = 0 ] || start
touch "$dir/ready"
sleep 14
touch "$dir/end"
wait "$outside"
status=$?
outside=''
bin/vetchhaven status --config "$dir/fleet.toml" >>"$record" 2>&1
while IFS= read -r line; do echo "log: $line"; done <"$dir/log" >>"$record"
exit $status
