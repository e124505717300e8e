#!/usr/bin/env bash
# One large job comes: a schedule of ten occurrences, all due, of 4,000 small
# tasks each. Small jobs of other clients come before and after it.
. "$(dirname "$0")/../lib-2.sh"

SMALL='{"spec":"ms=300","steps":[{"count":2,"cpu":500,"mem-mb":64,"estimated-ms":300}]}'
# submit ID BODY
submit() {
    job POST "$1" "$2"
    say "job $1 submitted: $STATUS"
    [ "$STATUS" = 200 ] || cannot_run "the job was not accepted"
}

start_deployment
for i in 1 2 3 4 5 6 7 8 9; do start_minion $i; done
all_up() { [ "$(event_count 'announced acknowledged')" -ge 9 ]; }
wait_until 10 all_up || cannot_run "the minions are not acknowledged"
sleep 1
submit 00000000000000d1 "$SMALL"
sleep 2
job GET 00000000000000d1
say "job 00000000000000d1: $STATUS $BODY"
if [ "$TROUBLE" != 0 ]; then
    # every minute, since ten minutes ago
    BEGIN=$(($(now_ms) - 600000))
    submit 00000000000000d2 '{"spec":"ms=300","steps":[{"count":4000,"cpu":1,"mem-mb":1,"estimated-ms":300}],"repeat-count":10,"start-at-ms":'$BEGIN',"interval-ms":60000}'
fi
sleep 1
for i in 3 4 5 6; do submit 00000000000000d$i "$SMALL"; done
sleep 20
DONE=0
for i in 2 3 4 5 6; do
    [ "$i" != 2 ] || [ "$TROUBLE" != 0 ] || continue
    job GET 00000000000000d$i
    say "job 00000000000000d$i: $STATUS $BODY, $(event_count " start 00000000000000d$i") starts"
    case $BODY in *completed*) [ $i = 2 ] || DONE=$((DONE + 1)) ;; esac
done
say "runs at work on the nine minions: $(($(event_count ' start ') - $(event_count ' end ')))"
grep -hE '"event":"(proposal_not_accepted|placement_idle)"' "$WORK"/core-*.out |
    cut -c1-300 | tail -8 >>"$RECORD"
[ "$(wc -l <"$WORK/events")" -gt 200 ] || record_events
[ $DONE = 4 ] && held "the small jobs are completed"
job DELETE 00000000000000d2
say "job 00000000000000d2 cancelled: $STATUS"
sleep 4
for i in 3 4 5 6; do
    job GET 00000000000000d$i
    say "job 00000000000000d$i: $STATUS $BODY"
done
broken "$((4 - DONE)) of 4 small jobs have not been done, with all minions idle"
