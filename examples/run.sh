#!/bin/sh
# Runs a site's example as separate processes on loopback.
#
#   sh examples/run.sh start svealand    builds, issues keys, starts all processes
#   sh examples/run.sh status svealand   lists which processes are running
#   sh examples/run.sh stop svealand     drains and stops entries first, then the rest
#   sh examples/run.sh signal svealand entry-1 HUP    sends a signal to one process
#
# Settings, keys, data, logs and process ids are kept in $FIREFLYTRAY_RUN, by
# default a folder in the system's temporary folder.
set -eu

here=$(cd "$(dirname "$0")" && pwd)

usage() {
	sed -n '2,10s/^# \{0,1\}//p' "$0" >&2
	exit 2
}

[ $# -ge 2 ] || usage
action=$1
site=$2
[ -d "$here/$site" ] && [ "$site" != fleet ] || usage
run=${FIREFLYTRAY_RUN:-${TMPDIR:-/tmp}/fireflytray}/$site
drain_seconds=40

# names KIND lists the site's processes of one kind, sorted by name.
names() {
	for file in "$here/$site/$1"-*.ini; do
		basename "$file" .ini
	done
}

all_names() {
	for kind in control agent upstream entry; do
		names $kind
	done
}

# value NAME KEY prints the value of a key in the settings of a process.
value() {
	sed -n "s/^$2 = //p" "$run/$1.ini"
}

# alive NAME reports whether the process that this script started is still running.
alive() {
	[ -f "$run/pid/$1" ] || return 1
	ps -p "$(cat "$run/pid/$1")" -o args= 2>/dev/null | grep -q "$run/$1.ini"
}

prepare() {
	mkdir -p "$run/bin" "$run/log" "$run/pid" "$run/keys"
	(cd "$here/.." && go build -o "$run/bin/" ./cmd/...)
	cp "$here/$site"/*.ini "$run/"
	if [ ! -f "$run/authority/ca.key" ]; then
		"$run/bin/fireflytray" keys init --authority "$run/authority"
	fi
	for kind in control agent entry; do
		for name in $(names $kind); do
			issue $kind "$name" "$(value "$name" domain)"
		done
	done
	issue operator operator "$site"
}

# issue ROLE ID DOMAIN issues keys unless they exist.
issue() {
	[ -f "$run/keys/$2/process.pem" ] && return
	"$run/bin/fireflytray" keys issue --authority "$run/authority" \
		--role "$1" --id "$2" --domain "$3" --out "$run/keys/$2" >/dev/null
}

# launch NAME PROGRAM [ARGUMENT...] starts a process in the background.
launch() {
	name=$1
	shift
	if alive "$name"; then
		echo "$name is already running; restart it to use the new build"
		return
	fi
	"$@" --config "$run/$name.ini" >>"$run/log/$name.log" 2>&1 </dev/null &
	echo $! >"$run/pid/$name"
}

start() {
	prepare
	for name in $(names control); do launch "$name" "$run/bin/fireflytray-control"; done
	for name in $(names agent); do launch "$name" "$run/bin/fireflytray-agent"; done
	for name in $(names upstream); do launch "$name" "$run/bin/fireflytray" upstream; done
	for name in $(names entry); do launch "$name" "$run/bin/fireflytray-entry"; done
	sleep 1
	status
}

status() {
	failed=0
	for name in $(all_names); do
		if alive "$name"; then
			echo "$name is running, pid $(cat "$run/pid/$name"), log $run/log/$name.log"
		else
			echo "$name is not running, log $run/log/$name.log"
			failed=1
		fi
	done
	return $failed
}

# stop_kind KIND sends SIGTERM to all processes of a kind and waits until they
# have drained.
stop_kind() {
	for name in $(names "$1"); do
		if alive "$name"; then kill -TERM "$(cat "$run/pid/$name")"; fi
	done
	for name in $(names "$1"); do
		waited=0
		while alive "$name" && [ $waited -lt $drain_seconds ]; do
			sleep 1
			waited=$((waited + 1))
		done
		if alive "$name"; then
			echo "$name did not drain within $drain_seconds s, log $run/log/$name.log" >&2
			exit 1
		fi
		rm -f "$run/pid/$name"
	done
}

stop() {
	for kind in entry upstream agent control; do
		stop_kind $kind
	done
}

case $action in
start | status | stop) $action ;;
signal)
	[ $# -eq 4 ] || usage
	alive "$3" && kill -"$4" "$(cat "$run/pid/$3")"
	;;
*) usage ;;
esac
