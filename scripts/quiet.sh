#!/bin/sh
# Runs programs without injected faults and prints counts and metrics of normal operation.
ACCOUNTS=${ACCOUNTS:-6}
. "$(dirname "$0")/common.sh"
start_deployment "${DAEMON_COUNT:-6}" "${ENGINE_COUNT:-4}"
sleep "${SETTLE:-6}"
status=0
# shellcheck disable=SC2046
"$PIMENTORAIL" load --base "http://$BALANCER" $(key_flags) --programs "${PROGRAMS:-300}" --span "${SPAN:-15s}" --patience 40s \
	--services "127.0.0.1:$(tool_port 1)" ${LOAD_FLAGS:-} || status=$?
curl -s "http://$PLATFORM/counts"
for i in $(seq 1 "${ENGINE_COUNT:-4}"); do curl -s "http://127.0.0.1:$(engine_port "$i")/counts"; done
curl -s "http://127.0.0.1:$(http_port 1)/metrics" | grep '^pimentorail' | head -40
exit "$status"
