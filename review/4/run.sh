#!/usr/bin/env bash
# A gang of two tasks that save checkpoints runs on two minions. The minion of
# one member crashes; the other member ends as broken and has saved a value. All
# members of the next run have to carry the same checkpoint.
HERE=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/common.sh
. "$HERE/../common.sh"
begin "$HERE"
ID=000000000000d001
start_service
order PUT /api/config "$(config 1 "$(route q /jobs/ 3)")"
[ "$STATUS" = 200 ] || cannot_run "no configuration"
for ((i = 1; i <= 3; i++)); do
    start_minion "i-$i" "m-$i" $((BASE + 9 + i)) \
        --min-run-ms 8000 --max-run-ms 8000 --checkpoint-ms 500
done
sleep 3
call POST "/jobs/$ID" '{"spec":"s","steps":[{"count":2,"cpu":10000,"mem-mb":64,"estimated-ms":8000,"gang":true,"checkpointing":true}]}'
[ "$STATUS" = 200 ] || cannot_run "the job is not accepted"
wait_for_events 2 "^START .* $ID" 10 || cannot_run "the job does not start"
sleep 3
if [ "$TROUBLE" = 1 ]; then
    first=$(grep "^START .* $ID\.0\.0\.0 1 " "$WORK/events" | cut -d' ' -f3)
    second=$(grep "^START .* $ID\.0\.0\.1 1 " "$WORK/events" | cut -d' ' -f3)
    [ "$first" != "$second" ] || cannot_run "both members run on one minion"
    crash_minion "${first%%/*}"
    # Another member has ended, so this one ends as broken.
    kill -HUP "${PID[${second%%/*}]}"
    note "platform: the other member, on ${second%%/*}, ends as broken"
    wait_for_events 2 "^START .* $ID\.0\.0\.[01] [2-9]" 20 ||
        note "the gang did not start again"
fi
sleep 8
sed 's/^/minion: /' "$WORK/events" | grep -v LEASE >>"$RECORD"
DIFFER=$(sort -n -k2 -s "$WORK/events" | awk -v id="$ID" '
    $1 == "START" && index($4, id) == 1 {
        if (($5 in value) && value[$5] != $8) {
            print "run " $5 ": a member carries " value[$5] \
                ", another carries " $8
        }
        value[$5] = $8
    }')
if [ -n "$DIFFER" ]; then
    note "checkpoints differ (- is none): $DIFFER"
    note "result: UNASKED broken"
    exit 1
fi
note "result: held"
