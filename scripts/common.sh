# Functions for scripts that start a deployment of processes on loopback.
# Every process that is started here is ended by its id, also when interrupted.
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

# start NAME ARGS...: starts a process in the background; its id is in LAST.
start() {
	name=$1
	shift
	"$PIMENTORAIL" "$@" >"$WORK/$name.log" 2>&1 &
	LAST=$!
	PIDS="$PIDS $LAST"
}

# await URL: waits until a page answers with success.
await() {
	tries=0
	until curl -fsS -o /dev/null --max-time 1 "$1" 2>/dev/null; do
		tries=$((tries + 1))
		if [ "$tries" -gt 150 ]; then
			echo "$1 does not answer" >&2
			exit 1
		fi
		sleep 0.1
	done
}

http_port() { echo $((BASE_PORT + 100 + $1)); }
rpc_port() { echo $((BASE_PORT + 200 + $1)); }
engine_port() { echo $((BASE_PORT + 300 + $1)); }
tool_port() { echo $((BASE_PORT + 400 + $1)); }

# zone N: the availability zone of the Nth VM.
zone() {
	case $(($1 % 3)) in
	0) echo sohar ;;
	1) echo barka ;;
	2) echo rustaq ;;
	esac
}

# daemon N: starts the Nth daemon; its id is in LAST.
daemon() {
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
	start "daemon-$1" daemon "$WORK/daemon-$1.json"
}

# answers ENGINES: writes the answers of a questionnaire for this deployment.
answers() {
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

# keys: the bearer keys of all accounts as flags of the load tool.
keys() {
	for i in $(seq 1 "$ACCOUNTS"); do
		printf -- '--keys key-%s ' "$i"
	done
}

# deployment DAEMONS ENGINES: starts all processes and applies declarations.
deployment() {
	start platform platform --listen "$PLATFORM"
	await "http://$PLATFORM/counts"
	backs=""
	DAEMONS=""
	for i in $(seq 1 "$2"); do
		start "engine-$i" engine --listen "127.0.0.1:$(engine_port "$i")" ${ENGINE_FLAGS:-}
	done
	start tool-1 tool --listen "127.0.0.1:$(tool_port 1)"
	start tool-2 tool --listen "127.0.0.1:$(tool_port 2)"
	answers "$2" >"$WORK/answers.json"
	"$PIMENTORAIL" generate "$WORK/answers.json" >"$WORK/declarations.json"
	for i in $(seq 1 "$1"); do
		daemon "$i"
		DAEMONS="$DAEMONS $LAST"
		backs="$backs 127.0.0.1:$(http_port "$i")"
	done
	"$PIMENTORAIL" apply --no-wait "$WORK/declarations.json" 2>/dev/null
	for i in $(seq 1 "$1"); do
		await "http://127.0.0.1:$(http_port "$i")/readyz"
	done
	# shellcheck disable=SC2086
	start balancer balancer --listen "$BALANCER" $backs
	await "http://$BALANCER/healthz"
}

# nth N WORDS...: prints the Nth word.
nth() {
	n=$1
	shift
	eval "echo \${$n}"
}

# used PIDS...: processor ticks of processes so far, TICKS a second.
TICKS=$(getconf CLK_TCK)
used() {
	sum=0
	for p in "$@"; do
		t=$(awk '{print $14 + $15}' "/proc/$p/stat")
		sum=$((sum + t))
	done
	echo "$sum"
}
