# Prints the schedule of a fault run, drawn from a seed, as unsorted lines
# "MS ACTION ARGUMENTS".  Three sequences of faults run concurrently: faults of
# instances, of the key-value service and of engines.  In each round the instances
# of one zone, the quiet zone, have no faults, because cold loads are required to
# work there during the outage of the key-value service.
# Variables: seed, rounds, long (0 or 1).

function below (n) { return int(rand() * n) }

function at (ms, what) { print int(ms), what }

# Set order[1..n] to a random permutation of 0..n-1.
function shuffle (n,    i, k, t) {
	for (i = 1; i <= n; i++)
		order[i] = i - 1
	for (i = n; i > 1; i--) {
		k = 1 + below(i)
		t = order[i]; order[i] = order[k]; order[k] = t
	}
}

function instance_faults (t, first, second,    i, pause) {
	shuffle(3)
	for (i = 1; i <= 3; i++) {
		if (order[i] == 0) {
			at(t, "kill " first)
			at(t + 2000, "start " first)
			t += 3000
		} else if (order[i] == 1) {
			pause = 7000 + below(2000)
			at(t, "pause " second)
			at(t + pause, "continue " second)
			t += pause + 1000
		} else {
			at(t, "stop " first " " second)
			t += 9000
		}
		t += below(1000)
	}
}

function kv_faults (t, quiet, cut_zone, r,    i, ms) {
	shuffle(5)
	for (i = 1; i <= 5; i++) {
		if (order[i] == 0) {
			at(t, "lose_answers " (2 + below(7)))
			t += 1500
		} else if (order[i] == 1) {
			at(t, "slow " (100 + below(400)))
			at(t + 3000, "slow 0")
			t += 3500
		} else if (order[i] == 2) {
			ms = long ? 10000 + below(10000) : 8000
			at(t, "outage " (1 + below(2)) " " quiet " " r)
			at(t + ms, "outage 0 " quiet " " r)
			t += ms + 2000
		} else if (order[i] == 3) {
			at(t, "disconnect " cut_zone)
			at(t + 8000, "reconnect " cut_zone)
			t += 10000
		} else {
			at(t, "operators " quiet)
			t += 3000
		}
	}
}

function engine_faults (t, quiet, cut_zone, r,    i, zone) {
	shuffle(4)
	for (i = 1; i <= 4; i++) {
		zone = (cut_zone + 1 + below(2)) % 3
		if (order[i] == 0) {
			at(t, "kill_loading " quiet " " r)
			t += 5000
		} else if (order[i] == 1) {
			at(t, "crash_request " r)
			t += 6000
		} else if (order[i] == 2) {
			at(t, "list_leaving " zone " " below(4))
			at(t + 10000, "list_live")
			t += 11000
		} else {
			at(t, "report_leaving " zone " " below(4))
			at(t + 7000, "report_live")
			t += 8000
		}
	}
}

BEGIN {
	srand(seed)
	length_ms = long ? 46000 : 36000
	for (r = 1; r <= rounds; r++) {
		begin = (r - 1) * length_ms + 1000
		shuffle(3)
		quiet = order[1]; first = order[2]; second = order[3]
		cut_zone = below(3)
		instance_faults(begin + below(3000), first, second)
		kv_faults(begin + below(2000), quiet, cut_zone, r)
		engine_faults(begin + below(2000), quiet, cut_zone, r)
	}
	at(rounds * length_ms - 2000, "end")
}
