# Shell functions for runs with stand-ins; read with ". regress/standins.sh".
# Everything that was started is stopped when the run ends.

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

# Starts a stand-in on a free port and sets $address and $pid.
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

# Fails the run unless the text of the last argument holds the first.
expect () { # what wanted text
	case $3 in
	*"$2"*) ;;
	*) echo "$1: expected $2, got $3"; exit 1 ;;
	esac
}

refuse () { # what unwanted text
	case $3 in
	*"$2"*) echo "$1: did not expect $2 in $3"; exit 1 ;;
	esac
}

# Repeats a GET until its answer holds the wanted text, 10 s at most.
await () { # what wanted address path
	for _ in $(seq 200); do
		case $(get "$3" "$4") in *"$2"*) return ;; esac
		sleep 0.05
	done
	echo "$1: no $2 at $4 within 10 s"
	exit 1
}
