#!/bin/sh
# Times `config apply --wait` on examples/prairie: 20 changes without a fault,
# then 3 after a control host is killed, for each of the three. The time is that
# of the command, which asks every 0.2 s whether the change is in force at every
# reachable process.
#
#   sh docs/measurements/config-spread.sh > docs/measurements/NAME.txt
set -eu
cd "$(dirname "$0")/../.."
FIREFLYTRAY_RUN=$(mktemp -d)
export FIREFLYTRAY_RUN
run=$FIREFLYTRAY_RUN/prairie
bin=$run/bin/fireflytray
export FIREFLYTRAY_ADMIN=127.0.0.1:18011,127.0.0.1:18012,127.0.0.1:18013
export FIREFLYTRAY_KEYS=$run/keys/operator

# change VALUE LABEL applies one change and prints how long it took.
change() {
	sed -i "s/^max-waiting = .*/max-waiting = $1/" "$FIREFLYTRAY_RUN/fleet/base.ini"
	began=$(date +%s%N)
	status=0
	"$bin" config apply --wait "$FIREFLYTRAY_RUN/fleet" >/dev/null 2>&1 || status=$?
	echo "$2: $((($(date +%s%N) - began) / 1000000)) ms, status $status"
}

sh examples/run.sh start prairie >/dev/null
cp -r examples/fleet "$FIREFLYTRAY_RUN/fleet"
"$bin" config apply --wait "$FIREFLYTRAY_RUN/fleet" >/dev/null 2>&1
for i in $(seq 1 20); do change $((20000 + i)) "no fault"; done
for host in 1 2 3; do
	kill -9 "$(cat "$run/pid/control-$host")"
	for i in 1 2 3; do change $((30000 + host * 10 + i)) "control-$host killed, change $i"; done
	"$run/bin/fireflytray-control" --config "$run/control-$host.ini" >>"$run/log/control-$host.log" 2>&1 </dev/null &
	echo $! >"$run/pid/control-$host"
	sleep 3
done
"$bin" config status
sh examples/run.sh stop prairie
rm -rf "$FIREFLYTRAY_RUN"
