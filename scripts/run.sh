#!/bin/sh
# Serves a few hundred programs, modelled on both example deployments, through 6 daemons in
# 3 availability zones, while one daemon is killed and one is stopped gracefully.
ACCOUNTS=${ACCOUNTS:-6}
. "$(dirname "$0")/common.sh"

start_deployment 6 4
echo "started 6 daemons in 3 availability zones, 4 engines, 2 services, the platform and a balancer"

# shellcheck disable=SC2046
"$PIMENTORAIL" load --base "http://$BALANCER" $(key_flags) --programs "${PROGRAMS:-300}" --span 15s --patience 40s \
	--services "127.0.0.1:$(tool_port 1)" >"$WORK/report" 2>"$WORK/load.log" &
LOAD_PID=$!
PIDS="$PIDS $LOAD_PID"

sleep 5
killed_pid=$(nth 2 $DAEMON_PIDS)
kill -KILL "$killed_pid"
echo "killed one daemon"
sleep 4
stopped_pid=$(nth 5 $DAEMON_PIDS)
kill -TERM "$stopped_pid"
stop_code=0
wait "$stopped_pid" || stop_code=$?
echo "stopped one daemon gracefully, exit code $stop_code"

status=0
wait "$LOAD_PID" || status=$?
cat "$WORK/report" "$WORK/load.log"
if [ "$stop_code" -ne 0 ]; then
	tail -n 5 "$WORK/daemon-5.log"
	exit 1
fi
exit "$status"
