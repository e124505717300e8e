#!/usr/bin/env bash
# A minion goes down and up by turns. Two jobs need its kind; none of their
# tasks ever ends `failed`. See claim.txt.
# shellcheck source=../lib-3.sh
. "$(dirname "$0")/../lib-3.sh"

LASTS=00000000000000a1
ENDS=00000000000000a2
MINIONS=7 # one of them goes down and up: a share of 0.143
PERIODS=4 # of 1.6 s: 6.4 s

setup_case
for n in $(seq 1 $((MINIONS - 1))); do start_minion "$n" a; done
start_minion $MINIONS b
sleep 3
job POST $LASTS '{"spec":"last cpu=1000","steps":[{"count":1,"cpu":1000,"mem-mb":64,"estimated-ms":900,"long-running":true,"image":"i","required-label":"b"}]}'
[ "$STATUS" = 200 ] || cannot_run "not accepted"
job POST $ENDS '{"spec":"ms=3000 cpu=1000","steps":[{"count":1,"cpu":1000,"mem-mb":64,"estimated-ms":3000,"required-label":"b"}]}'
[ "$STATUS" = 200 ] || cannot_run "not accepted"
if [ "$TROUBLE" != 0 ]; then
    for ((i = 0; i < PERIODS; i++)); do
        sleep 0.8
        kill_process m$MINIONS
        sleep 0.8
        start_minion $MINIONS b
        note "started m$MINIONS again"
    done
fi
# The minion stays up from now on. A task that lasts has to run again from 6 s
# after its last run, within 3 s; the job that ends takes 3 s.
calm=$(date +%s%3N)
sleep 14
broken=0
for id in $LASTS $ENDS; do
    job GET "$id"
    if grep -Eq '"state" ?: ?"(failed|cancelled)"' "$WORK/body" &&
        [ "$(count_events "^END .* $id\..* failed ")" = 0 ]; then
        note "job $id is shown as $(cat "$WORK/body"): nobody has cancelled" \
            "it, and no run of it has ended failed"
        broken=$((broken + 1))
    fi
done
if ! awk -v calm="$calm" -v id=$LASTS '$1 == "START" && index($4, id) == 1 { n++; last = $2 } END { exit !(n > 0) }' "$WORK/events"; then
    cannot_run "the job that lasts never ran"
fi
started=$(grep "^START .* $LASTS" "$WORK/events" | tail -1 | cut -d' ' -f2)
note "calm since $calm, last start of the job that lasts: $started"
finish_case $broken
