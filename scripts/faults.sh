#!/bin/sh
# Runs programs through real processes while daemons are killed, or paused and continued,
# targets drop responses and slow down, and the platform is temporarily unavailable. The
# load command checks the promises. Takes about a minute and a half.
ACCOUNTS=${ACCOUNTS:-6}
. "$(dirname "$0")/common.sh"
start_deployment 6 4
inject_fault() { curl -fsS -X POST -d "$2" "http://127.0.0.1:$1/fault"; }

# shellcheck disable=SC2046
"$PIMENTORAIL" load --base "http://$BALANCER" $(key_flags) --seed "${SEED:-3}" --programs "${PROGRAMS:-300}" --span 50s --patience 70s \
	--services "127.0.0.1:$(tool_port 1)" --allow-fail >"$WORK/report" 2>"$WORK/load.log" &
LOAD_PID=$!
PIDS="$PIDS $LOAD_PID"

sleep 4
echo "the ledger drops every third response"
inject_fault "$(tool_port 1)" '{"lose-every": 3}'
sleep 5
paused_pid=$(nth 1 $DAEMON_PIDS)
echo "a daemon is paused by SIGSTOP for 10 s, longer than its lease"
kill -STOP "$paused_pid"
sleep 10
kill -CONT "$paused_pid"
echo "another daemon is killed"
kill -KILL "$(nth 3 $DAEMON_PIDS)"
sleep 3
echo "the platform is unavailable for 6 s"
inject_fault "$((BASE_PORT))" '{"down": true}'
sleep 6
inject_fault "$((BASE_PORT))" '{"lose-every": 5}'
echo "the platform drops every fifth response to a write"
sleep 5
echo "an engine slows down and truncates its streams"
inject_fault "$(engine_port 1)" '{"factor": 5, "cut-after": 9}'
sleep 8
inject_fault "$(engine_port 1)" '{}'
inject_fault "$((BASE_PORT))" '{}'
inject_fault "$(tool_port 1)" '{}'

status=0
wait "$LOAD_PID" || status=$?
cat "$WORK/report" "$WORK/load.log"
exit "$status"
