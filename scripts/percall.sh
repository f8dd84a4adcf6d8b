#!/bin/sh
# Measures the cost of a model call to the daemons: CPU time, RPCs between daemons,
# journal batches and bytes. Prints one line of JSON.
ACCOUNTS=6
BASE_PORT=${BASE_PORT:-30000}
. "$(dirname "$0")/common.sh"
start_deployment 6 4
sleep 8

# metric_total NAME: prints a metric, summed over all daemons.
metric_total() {
	for i in 1 2 3 4 5 6; do
		curl -s "http://127.0.0.1:$(http_port $i)/metrics"
	done | awk -v n="pimentorail_$1" '$1 == n {s += $2} END {printf "%.0f", s}'
}

# engine_requests: prints the number of requests, summed over all engines.
engine_requests() {
	for i in 1 2 3 4; do
		curl -s "http://127.0.0.1:$(engine_port $i)/counts" | sed 's/.*"requests":\([0-9]*\).*/\1/'
		echo
	done | awk '{s += $1} END {print s}'
}

# shellcheck disable=SC2086
ticks=$(cpu_ticks $DAEMON_PIDS) rpcs=$(metric_total rpc_calls) batches=$(metric_total journal_batches) \
	records=$(metric_total journal_records) bytes=$(metric_total journal_bytes)
# shellcheck disable=SC2046
"$PIMENTORAIL" load --json --base "http://$BALANCER" $(key_flags) --programs "${PROGRAMS:-600}" --span 20s --patience 60s --services "127.0.0.1:$(tool_port 1)" >"$WORK/report.json" || { cat "$WORK/report.json"; exit 1; }
sleep 2
model_calls=$(engine_requests)
awk -v cpu="$(($(cpu_ticks $DAEMON_PIDS) - ticks))" -v hz="$TICKS_PER_SECOND" -v c="$(($(metric_total rpc_calls) - rpcs))" -v b="$(($(metric_total journal_batches) - batches))" \
	-v r="$(($(metric_total journal_records) - records))" -v y="$(($(metric_total journal_bytes) - bytes))" -v m="$model_calls" -v t="$(sed -n 's/.*"tokens": \([0-9]*\),/\1/p' "$WORK/report.json")" 'BEGIN {
	printf "{\"model-calls\": %d, \"tokens\": %d, \"core-ms-per-model-call\": %.2f, \"daemon-calls-per-model-call\": %.1f, \"records-per-model-call\": %.2f, \"records-per-batch\": %.2f, \"journal-bytes-per-model-call\": %.0f}\n",
		m, t, 1000 * cpu / hz / m, c / m, r / m, r / b, y / m }'
