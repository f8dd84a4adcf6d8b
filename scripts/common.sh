# Functions for scripts that run a deployment as processes on the loopback interface.
# On exit and on interrupts every started process is killed by its process id.
set -eu

PIMENTORAIL=${PIMENTORAIL:-./bin/pimentorail}
WORK=$(mktemp -d)
PIDS=""
BASE_PORT=${BASE_PORT:-17000}
PLATFORM=127.0.0.1:$BASE_PORT
BALANCER=127.0.0.1:$((BASE_PORT + 1))
export PIMENTORAIL_PLATFORM=$PLATFORM

cleanup() {
	trap - EXIT INT TERM
	for p in $PIDS; do
		kill -CONT "$p" 2>/dev/null || true
		kill -KILL "$p" 2>/dev/null || true
	done
	for p in $PIDS; do
		wait "$p" 2>/dev/null || true
	done
	rm -rf "$WORK"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start_process NAME ARGS...: starts pimentorail with ARGS in the background, logs to
# NAME.log and sets LAST_PID.
start_process() {
	name=$1
	shift
	"$PIMENTORAIL" "$@" >"$WORK/$name.log" 2>&1 &
	LAST_PID=$!
	PIDS="$PIDS $LAST_PID"
}

# wait_until_ready URL: waits until a GET request succeeds.
wait_until_ready() {
	attempts=0
	until curl -fsS -o /dev/null --max-time 1 "$1" 2>/dev/null; do
		attempts=$((attempts + 1))
		if [ "$attempts" -gt 150 ]; then
			echo "$1 is not ready after $attempts attempts" >&2
			exit 1
		fi
		sleep 0.1
	done
}

http_port() { echo $((BASE_PORT + 100 + $1)); }
rpc_port() { echo $((BASE_PORT + 200 + $1)); }
engine_port() { echo $((BASE_PORT + 300 + $1)); }
tool_port() { echo $((BASE_PORT + 400 + $1)); }

# zone N: prints the availability zone of the Nth VM.
zone() {
	case $(($1 % 3)) in
	0) echo sohar ;;
	1) echo barka ;;
	2) echo rustaq ;;
	esac
}

# start_daemon N: starts the Nth daemon and sets LAST_PID.
start_daemon() {
	cat >"$WORK/daemon-$1.json" <<SETTINGS
{
  "http-address": "127.0.0.1:$(http_port "$1")",
  "rpc-address": "127.0.0.1:$(rpc_port "$1")",
  "zone": "$(zone "$1")",
  "platform-address": "$PLATFORM",
  "secret": "loopback-secret-of-this-run",
  "policies": ${POLICIES:-{\}}
}
SETTINGS
	start_process "daemon-$1" daemon "$WORK/daemon-$1.json"
}

# print_answers ENGINES: prints the answers to the questionnaire for this deployment.
print_answers() {
	engines=""
	for i in $(seq 1 "$1"); do
		engines="$engines${engines:+, }\"127.0.0.1:$(engine_port "$i")\""
	done
	accounts=""
	for i in $(seq 1 "$ACCOUNTS"); do
		hash=$(printf 'key-%s' "$i" | sha256sum | cut -d' ' -f1)
		accounts="$accounts${accounts:+, }{\"name\": \"account-$i\", \"key-sha256\": \"$hash\", \"share\": 1, \"calls-at-once\": 400, \"programs\": [\"talk\"]}"
	done
	cat <<ANSWERS
{
  "deployment": "loopback",
  "accounts": [$accounts],
  "programs": [{"name": "talk", "reaches": ["chat", "ledger", "catalog"], "token-budget": 1000000}],
  "targets": [
    {"name": "chat", "is-a": "model-engine", "refuses-old-orders": "yes", "calls-at-once": 8, "most-calls-at-once": 16,
     "zones": [{"zone": "sohar", "addresses": [$engines]}]},
    {"name": "ledger", "is-a": "service", "may-a-call-be-repeated": "no", "answers-within-ms": 2000, "calls-at-once": 64,
     "zones": [{"zone": "barka", "addresses": ["127.0.0.1:$(tool_port 1)"]}]},
    {"name": "catalog", "is-a": "service", "may-a-call-be-repeated": "yes", "answers-within-ms": 2000, "calls-at-once": 64,
     "zones": [{"zone": "rustaq", "addresses": ["127.0.0.1:$(tool_port 2)"]}]}
  ],
  "crest": {"longest-wait-ms": ${WAIT_MS:-20000}, "longest-wait-of-new-programs-ms": ${NEW_WAIT_MS:-8000}},
  "store-outage": "go-on",
  "longest-answer-tokens": 20000
}
ANSWERS
}

# key_flags: prints the bearer keys of all accounts as flags of the load command.
key_flags() {
	for i in $(seq 1 "$ACCOUNTS"); do
		printf -- '--keys key-%s ' "$i"
	done
}

# start_deployment DAEMONS ENGINES: starts all processes, applies the declarations and
# sets DAEMON_PIDS.
start_deployment() {
	start_process platform platform --listen "$PLATFORM"
	wait_until_ready "http://$PLATFORM/counts"
	daemon_addresses=""
	DAEMON_PIDS=""
	for i in $(seq 1 "$2"); do
		start_process "engine-$i" engine --listen "127.0.0.1:$(engine_port "$i")" ${ENGINE_FLAGS:-}
	done
	start_process tool-1 tool --listen "127.0.0.1:$(tool_port 1)"
	start_process tool-2 tool --listen "127.0.0.1:$(tool_port 2)"
	print_answers "$2" >"$WORK/answers.json"
	"$PIMENTORAIL" generate "$WORK/answers.json" >"$WORK/declarations.json"
	for i in $(seq 1 "$1"); do
		start_daemon "$i"
		DAEMON_PIDS="$DAEMON_PIDS $LAST_PID"
		daemon_addresses="$daemon_addresses 127.0.0.1:$(http_port "$i")"
	done
	"$PIMENTORAIL" apply --no-wait "$WORK/declarations.json" 2>/dev/null
	for i in $(seq 1 "$1"); do
		wait_until_ready "http://127.0.0.1:$(http_port "$i")/readyz"
	done
	# shellcheck disable=SC2086
	start_process balancer balancer --listen "$BALANCER" $daemon_addresses
	wait_until_ready "http://$BALANCER/healthz"
}

# nth N WORDS...: prints the Nth word.
nth() {
	n=$1
	shift
	eval "echo \${$n}"
}

# cpu_ticks PIDS...: prints the CPU time that the processes have used, in clock ticks.
TICKS_PER_SECOND=$(getconf CLK_TCK)
cpu_ticks() {
	sum=0
	for p in "$@"; do
		t=$(awk '{print $14 + $15}' "/proc/$p/stat")
		sum=$((sum + t))
	done
	echo "$sum"
}
