#!/usr/bin/env bash
# A minion ends as planned: it drains and reports its end with a DELETE. The
# relay that gets the DELETE is frozen for 3.5 s, so the minion reports its end
# to another node, and starts again under its id. It runs tasks when the relay
# wakes and passes the old DELETE on. No task may run twice at the same time.
HERE=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/common.sh
. "$HERE/../common.sh"
begin "$HERE"
ID=000000000000c001
TASKS=3
FREEZE_MS=3500
start_service
# A second edge machine: its entry VM and its relay.
start_node edge-2 entry 7 false
start_node relay-2 entry 7 false
order PUT /api/config "$(config 1 "$(route q /jobs/ 4)")"
[ "$STATUS" = 200 ] || cannot_run "no configuration"
RUN=(--min-run-ms 6000 --max-run-ms 6000 --no-leave)
for ((i = 1; i <= 6; i++)); do
    start_minion "i-$i" "m-$i" $((BASE + 9 + i)) "${RUN[@]}"
done
sleep 3
# Minions 1 to 3 are restarted one after the other, as planned.
for ((i = 1; i <= 3; i++)); do
    kill -TERM "${PID[i-$i]}"
    note "platform: minion i-$i gets its notice to end"
done
for ((i = 1; i <= 3; i++)); do
    for ((n = 0; n < 100; n++)); do
        kill -0 "${PID[i-$i]}" 2>/dev/null || break
        sleep 0.1
    done
    unset "PID[i-$i]"
    note "platform: minion i-$i has ended"
done
RELAY=127.0.0.7:$((BASE + 1))
FROZEN=$(now_ms)
if [ "$TROUBLE" = 1 ]; then
    kill -STOP "${PID[relay-2]}" "${PID[edge-2]}"
    note "platform: the second edge machine freezes"
fi
# Each minion reports its end to the relay, and after a second without an answer
# to another node.
for ((i = 1; i <= 3; i++)); do
    (
        exec 4<>"/dev/tcp/${RELAY%:*}/${RELAY#*:}" || exit 1
        printf 'DELETE /api/instances/i-%d HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n' \
            "$i" >&4
        if timeout 1 head -c 12 <&4 >"$WORK/answer-$i"; then :; fi
        exec 4>&-
    ) 2>/dev/null &
done
wait
for ((i = 1; i <= 3; i++)); do
    note "minion i-$i: DELETE at the relay -> $(cat "$WORK/answer-$i")"
    [ -s "$WORK/answer-$i" ] || order DELETE "/api/instances/i-$i"
done
for ((i = 1; i <= 3; i++)); do
    start_minion "i-$i" "m-$i" $((BASE + 9 + i)) "${RUN[@]}"
done
sleep 0.7
# The job needs more room than three minions have, so all six run some of it.
call POST "/jobs/$ID" '{"spec":"s","steps":[{"count":6,"cpu":10000,"mem-mb":64,"estimated-ms":6000}]}'
[ "$STATUS" = 200 ] || cannot_run "the job is not accepted"
wait_for_events 6 "^START .* $ID" 5 || note "not all tasks have started"
left=$((FREEZE_MS - ($(now_ms) - FROZEN)))
[ $left -lt 0 ] || sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
if [ "$TROUBLE" = 1 ]; then
    kill -CONT "${PID[relay-2]}" "${PID[edge-2]}"
    note "platform: the second edge machine wakes after $(($(now_ms) - FROZEN)) ms"
fi
wait_for_events 6 "^END .* $ID.* done" 30 || note "not all tasks are done"
sleep 2
call GET "/jobs/$ID"
sed 's/^/minion: /' "$WORK/events" | grep -v LEASE >>"$RECORD"
TWICE=$(sort -n -k2 -s "$WORK/events" | awk -v id="$ID" '
    $1 == "START" && index($4, id) == 1 {
        for (run in at) {
            if (task[run] == $4) {
                print $4 " starts at " $2 " on " $3 ", while run " \
                    number[run] " goes on on " at[run]
            }
        }
        run = $3 " " $4 " " $5
        at[run] = $3
        task[run] = $4
        number[run] = $5
    }
    $1 == "END" { run = $3 " " $4 " " $5; delete at[run]; delete task[run] }')
if [ -n "$TWICE" ]; then
    note "two runs of one task: $TWICE"
    note "result: TWICE broken"
    exit 1
fi
note "result: held"
