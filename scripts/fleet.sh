# Functions that start and end a stand and gates; to be sourced. Needs RUN, PORT,
# BIN, DECLARATIONS (a directory) and a plan.
GATES=8
declare -A PIDS=()

caller_address() { echo "127.0.0.1:$((PORT + 100 + $1))"; }
operator_address() { echo "127.0.0.1:$((PORT + 200 + $1))"; }
peer_address() { echo "127.0.0.1:$((PORT + 300 + $1))"; }
data_centre() { echo "${DATA_CENTRES[$((($1 - 1) % ${#DATA_CENTRES[@]}))]}"; }

# all_gates FUNCTION: the addresses that the function gives for each gate, with commas.
all_gates() {
	local n out=()
	for n in $(seq $GATES); do out+=("$($1 "$n")"); done
	(IFS=,; echo "${out[*]}")
}

write_stand_settings() {
	cat >"$RUN/stand.ini" <<-END
		[platform]
		address = 127.0.0.1:$PORT
		[deployment]
		directory = $DECLARATIONS
		[workers]
		first-port = $((PORT + 400))
		cores = $CORES
		memory-gb = $MEMORY_GB
	END
}

write_gate_settings() { # N HASH
	local n members=()
	for n in $(seq $GATES); do members+=("gate-$n/$(data_centre "$n")/$(peer_address "$n")"); done
	cat >"$RUN/gate-$1.ini" <<-END
		[gate]
		name = gate-$1
		data-centre = $(data_centre "$1")
		caller-address = $(caller_address "$1")
		operator-address = $(operator_address "$1")
		peer-address = $(peer_address "$1")
		[peers]
		members = $(IFS=,; echo "${members[*]}")
		[platform]
		address = 127.0.0.1:$PORT
		[operators]
		key-hashes = $2
	END
}

# start NAME PROGRAM ARGUMENTS...: a process with its own log, remembered by its name.
start() {
	local name=$1
	shift
	"$@" >>"$RUN/$name.log" 2>&1 &
	PIDS[$name]=$!
}

start_gate() { start "gate-$1" "$BIN/gate" serve --settings "$RUN/gate-$1.ini"; }

# end SIGNAL NAME: sends the signal and waits for the end.
end() {
	kill "-$1" "${PIDS[$2]}" 2>/dev/null || true
	wait "${PIDS[$2]}" 2>/dev/null || true
	unset "PIDS[$2]"
}

end_all() {
	local name
	for name in "${!PIDS[@]}"; do kill -KILL "${PIDS[$name]}" 2>/dev/null || true; done
	wait 2>/dev/null || true
	PIDS=()
}

# prepare [GATES]: an empty run directory with settings and an operator's key.
prepare() {
	GATES=${1:-8}
	rm -rf "$RUN"
	mkdir -p "$RUN/keys"
	head -c 32 /dev/urandom | od -An -v -tx1 | tr -d ' \n' >"$RUN/operator-key"
	chmod 600 "$RUN/operator-key"
	local n hash
	hash=$(sha256sum <"$RUN/operator-key" | cut -d' ' -f1)
	write_stand_settings
	for n in $(seq $GATES); do write_gate_settings "$n" "$hash"; done
}

start_all() {
	local n
	start stand "$BIN/stand" serve --settings "$RUN/stand.ini"
	until (exec 3<>"/dev/tcp/127.0.0.1/$PORT") 2>/dev/null; do
		kill -0 "${PIDS[stand]}" 2>/dev/null || { cat "$RUN/stand.log" >&2; return 1; }
		sleep 0.05
	done
	for n in $(seq $GATES); do start_gate "$n"; done
}

operate() { "$BIN/mango" --gates "$(all_gates operator_address)" --operator-key-file "$RUN/operator-key" "$@"; }
