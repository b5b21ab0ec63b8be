# Shell functions for tests with stand-ins; source with ". regress/standins.sh".
# All processes started here are stopped at exit.

build=${BUILD:-build}
load=$build/cowslipload/cowslipload
dir=$(mktemp -d) || exit 1
pids=

stop_all () {
	for pid in $pids; do kill "$pid" 2>/dev/null; done
	for pid in $pids; do wait "$pid" 2>/dev/null; done
	rm -rf "$dir"
}
trap stop_all EXIT
trap 'exit 1' INT TERM

# Start a stand-in on a free port and set address and pid.
start () { # program options...
	program=$build/standin-$1
	shift
	rm -f "$dir/port"
	"$program" -l 127.0.0.1:0 "$@" >"$dir/port" 2>"$dir/log" &
	pid=$!
	pids="$pids $pid"
	until [ -s "$dir/port" ]; do
		kill -0 "$pid" 2>/dev/null || { cat "$dir/log"; exit 1; }
		sleep 0.02
	done
	address=127.0.0.1:$(cat "$dir/port")
}

call () { # address path body
	"$load" call POST "$1" "$2" "$3" 2>&1
}

get () { # address path
	"$load" call GET "$1" "$2" 2>&1
}

# Fail unless the text contains the wanted string.
expect () { # what wanted text
	case $3 in
	*"$2"*) ;;
	*) echo "$1: expected $2, got $3"; exit 1 ;;
	esac
}

# Fail if the text contains the unwanted string.
refuse () { # what unwanted text
	case $3 in
	*"$2"*) echo "$1: unexpected $2 in $3"; exit 1 ;;
	esac
}

# Repeat a GET request until the response contains the wanted string, for at
# most 10 s.
await () { # what wanted address path
	for _ in $(seq 200); do
		case $(get "$3" "$4") in *"$2"*) return ;; esac
		sleep 0.05
	done
	echo "$1: $4 did not contain $2 within 10 s"
	exit 1
}
