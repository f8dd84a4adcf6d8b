#!/bin/sh
# Serves a few hundred programs of both deployments through 6 daemons in 3
# zones, while one daemon is killed and one is stopped as planned.
ACCOUNTS=${ACCOUNTS:-6}
. "$(dirname "$0")/common.sh"

deployment 6 4
echo "started 6 daemons in 3 zones, 4 engines, 2 services, the platform and a balancer"

# shellcheck disable=SC2046
"$PIMENTORAIL" load --base "http://$BALANCER" $(keys) --programs "${PROGRAMS:-300}" --span 15s --patience 40s \
	--services "127.0.0.1:$(tool_port 1)" >"$WORK/report" 2>"$WORK/load.log" &
LOAD=$!
PIDS="$PIDS $LOAD"

sleep 5
victim=$(nth 2 $DAEMONS)
kill -KILL "$victim"
echo "killed one daemon"
sleep 4
leaver=$(nth 5 $DAEMONS)
kill -TERM "$leaver"
stopped=0
wait "$leaver" || stopped=$?
echo "stopped one daemon as planned, exit code $stopped"

status=0
wait "$LOAD" || status=$?
cat "$WORK/report" "$WORK/load.log"
if [ "$stopped" -ne 0 ]; then
	tail -n 5 "$WORK/daemon-5.log"
	exit 1
fi
exit "$status"
