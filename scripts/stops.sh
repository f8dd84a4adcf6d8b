#!/bin/sh
# Gracefully stops each of six daemons in turn under load and starts it again. No call may
# be interrupted: all programs finish, and no outcome is unknown.
ACCOUNTS=${ACCOUNTS:-6}
. "$(dirname "$0")/common.sh"
start_deployment 6 4
# shellcheck disable=SC2046
"$PIMENTORAIL" load --json --base "http://$BALANCER" $(key_flags) --seed "${SEED:-5}" --programs "${PROGRAMS:-500}" --span 60s --patience 60s \
	--services "127.0.0.1:$(tool_port 1)" >"$WORK/report" 2>"$WORK/load.log" &
LOAD_PID=$!
PIDS="$PIDS $LOAD_PID"
sleep 3
check_failed=0
for i in 1 2 3 4 5 6; do
	p=$(nth "$i" $DAEMON_PIDS)
	kill -TERM "$p"
	code=0
	wait "$p" || code=$?
	echo "daemon $i stopped with exit code $code"
	[ "$code" -eq 0 ] || check_failed=1
	start_daemon "$i"
	wait_until_ready "http://127.0.0.1:$(http_port "$i")/readyz"
	sleep 2
done
status=0
wait "$LOAD_PID" || status=$?
grep -E '"(programs|finished|failed|unknown-outcomes|doubled-side-effects|lost-turns)"' "$WORK/report"
cat "$WORK/load.log"
grep -q '"unknown-outcomes": 0' "$WORK/report" || check_failed=1
[ "$check_failed" -eq 0 ] || exit 1
exit "$status"
