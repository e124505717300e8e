#!/usr/bin/env bash
# A job's task always fails, and max-attempts of its route is 2. While it runs
# for the first time, the operator removes the route. The task may not start
# after two runs of it have ended as failed.
HERE=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/common.sh
. "$HERE/../common.sh"
begin "$HERE"
ID=000000000000b001
start_service
order PUT /api/config \
    "$(config 1 "$(route q /jobs/ 2),$(route r /more/ 2)")"
[ "$STATUS" = 200 ] || cannot_run "no configuration"
for ((i = 1; i <= 4; i++)); do
    start_minion "i-$i" "m-$i" $((BASE + 9 + i)) \
        --min-run-ms 2000 --max-run-ms 2000 --fail
done
sleep 3
call POST "/jobs/$ID" \
    '{"spec":"s","steps":[{"count":1,"cpu":500,"mem-mb":64,"estimated-ms":2000}]}'
[ "$STATUS" = 200 ] || cannot_run "the job is not accepted"
wait_for_events 1 "^START .* $ID" 10 || cannot_run "the job does not start"
if [ "$TROUBLE" = 1 ]; then
    order PUT /api/config "$(config 2 "$(route r /more/ 2)")"
    [ "$STATUS" = 200 ] || cannot_run "the route is not removed"
fi
sleep 20
call GET "/jobs/$ID"
sed 's/^/minion: /' "$WORK/events" | grep -v LEASE >>"$RECORD"
LATE=$(sort -n -k2 -s "$WORK/events" | awk -v id="$ID" '
    $1 == "END" && index($4, id) == 1 && $6 == "failed" { failed++ }
    $1 == "START" && index($4, id) == 1 && failed >= 2 {
        print "run " $5 " at " $2 " after " failed " failed runs"
    }')
if [ -n "$LATE" ]; then
    note "starts beyond max-attempts: $LATE"
    note "result: BUDGET broken"
    exit 1
fi
note "result: held"
