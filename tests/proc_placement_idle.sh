#!/usr/bin/env bash
# Guards against tasks that wait at a leader which starts none, without a line
# or metric that tells whether there are usable targets.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=platform/request.sh
. platform/request.sh
# shellcheck source=tests/support_control.sh
. tests/support_control.sh

has_line() {
    grep -Eq "$2" "$WORK/$1.out"
}

# leader_name: prints the node that serves.
leader_name() {
    local node
    for node in "${CONTROL_NODES[@]}"; do
        ! curl -s --noproxy '*' -m 1 \
            "http://$(host_of "$node"):$((BASE_PORT + 4))/metrics" |
            grep -q '^coltsfoot_leader 1' || echo "$node"
    done
}

metric_is_at_least() {
    local value
    value=$(leader_metric "$1")
    [ -n "$value" ] && [ "${value%.*}" -ge "$2" ]
}

start_nodes_in_memory "${1:-build}"
CALLERS=()
metric_is_at_least coltsfoot_placement_idle_seconds 0 || fail "no metric"
! has_line "$LEADER" '"event":"placement_idle"' ||
    fail "a leader without jobs says that tasks wait"
start_job_request 0
wait "${CALLERS[@]}"
grep -q '^200$' "$WORK/statuses" || fail "the job was not accepted"
wait_for "tasks that wait without a target" has_line "$LEADER" \
    '"event":"placement_idle".*"pool":"p","pools":1,"waiting":500,"free":0,"largest_free":0,"usable":0'
wait_for "the metric of waiting tasks" metric_is_at_least \
    coltsfoot_placement_idle_seconds 2

old=$LEADER
kill -TERM "${PID[$old]}"
wait_for "the end of the old leader's line" has_line "$old" \
    '"event":"placement_resumed"'
wait_for "tasks that wait at the next leader" metric_is_at_least \
    coltsfoot_placement_idle_seconds 2

options=()
for node in "${CONTROL_NODES[@]}"; do
    options+=(--control "$(host_of "$node"):$((BASE_PORT + 1))")
done
wait_for "the next leader" metric_is_at_least coltsfoot_leader 1
"$BUILD/standin-jobs-target" --name i --seed 1 --count 1 \
    --listen "127.0.0.5:$((BASE_PORT + 4))" --events "$WORK/events" \
    "${options[@]}" 2>>"$WORK/target.log" &
PID[target]=$!
wait_for "a started task" metric_is_at_least coltsfoot_starts_total 1
wait_for "the end of the wait" grep -q '"event":"placement_resumed"' \
    "$WORK/$(leader_name).out"
[ "$(leader_metric coltsfoot_placement_idle_seconds)" = 0 ] ||
    fail "the metric of waiting tasks does not end"
echo "the leaders said that tasks wait without a usable target"
