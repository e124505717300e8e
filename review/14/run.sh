#!/usr/bin/env bash
# A minion is lost for good just before jobs are handed in that only it has
# room for. Nothing of them begins. See claim.txt.
# shellcheck source=../lib-3.sh
. "$(dirname "$0")/../lib-3.sh"

MINIONS=7 # one of them is lost: a share of 0.143
JOBS=4

setup_case
for n in $(seq 1 $MINIONS); do start_minion "$n" a; done
sleep 3
# Work that fills all minions but one.
for n in $(seq 1 $((MINIONS - 1))); do
    job POST "$(printf 'f%015x' "$n")" '{"spec":"ms=60000 cpu=16000","steps":[{"count":1,"cpu":16000,"mem-mb":64,"estimated-ms":60000}]}'
    [ "$STATUS" = 200 ] || cannot_run "not accepted"
done
sleep 5
[ "$(count_events '^START ')" = $((MINIONS - 1)) ] || cannot_run "the minions are not full"
free=
for n in $(seq 1 $MINIONS); do
    grep -q "^START [0-9]* m$n/" "$WORK/events" || free=$n
done
note "m$free is free"
if [ "$TROUBLE" != 0 ]; then
    # It is silent from now on, as a machine without power is.
    kill -STOP "${PID[m$free]}"
    note "m$free is lost"
fi
# They come at once.
for n in $(seq 1 $JOBS); do
    curl -s --noproxy '*' -m 3 -o /dev/null -w '%{http_code}\n' -X POST \
        -H 'Host: a.example' -H 'X-Deadline-Ms: 3000' \
        -H 'Content-Type: application/json' \
        -d '{"spec":"ms=40000 cpu=4000","steps":[{"count":1,"cpu":4000,"mem-mb":64,"estimated-ms":40000}]}' \
        "http://$(host_of edge-1):$((BASE + 2))/jobs/$(printf 'e%015x' "$n")" \
        >"$WORK/status.$n" &
done
wait
for n in $(seq 1 $JOBS); do
    note "client POST $(printf 'e%015x' "$n") -> $(cat "$WORK/status.$n")"
    [ "$(cat "$WORK/status.$n")" = 200 ] || cannot_run "not accepted"
done
# visible_ms + 2 s is 5 s.
broken=0
sleep 6
for ((i = 0; i < 6; i++)); do
    begun=$(grep '^START ' "$WORK/events" | grep -oE ' e[0-9a-f]{15}\.' | sort -u | wc -l)
    job GET ''
    pending=$(grep -oE '"pending" ?: ?[0-9]+' "$WORK/body" | grep -oE '[0-9]+$')
    [ -n "$pending" ] || cannot_run "no answer"
    waiting=$((JOBS - begun))
    if [ $((pending * 2)) -lt $waiting ]; then
        note "pending is $pending, though $waiting jobs were accepted over 5 s ago and have not begun"
        broken=$((broken + 1))
    fi
    sleep 2
done
finish_case $broken
