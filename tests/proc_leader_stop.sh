#!/usr/bin/env bash
# Guards against a planned stop of the leader that fails requests or leaves the
# cluster without a leader until an election timeout passes.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=platform/request.sh
. platform/request.sh
# shellcheck source=tests/support_control.sh
. tests/support_control.sh

ROUNDS=${ROUNDS:-4}
WAITABLE=1
HANDED_OVER=1
GAPS=()

# last_time EVENT: prints the time of the newest such event of the control VMs.
last_time() {
    cat "$WORK"/core-*.out | grep "\"event\":\"$1\"" |
        grep -o '"t":[0-9]*' | cut -d: -f2 | sort -n | tail -1
}

# Checks that the leader knew its successor when it ended.
check_handover() {
    GAPS+=($(($(last_time leader_serves) - $(last_time stopping))))
    sed -n '/"event":"stopping"/h; /"event":"stopping"/!H; ${x; p}' \
        "$WORK/$LEADER.out" >"$WORK/stop"
    grep '"event":"role_changed"' "$WORK/stop" |
        grep -q '"leads":0.*"leader_known":1' ||
        HANDED_OVER=0
}

start_nodes_in_memory "${1:-build}"
number=0
for ((round = 0; round < ROUNDS; round++)); do
    wait_for "leader of three voters" find_leader
    wait_for "leader at the entry VM" entry_is_ready
    CALLERS=()
    for ((i = 0; i < 30; i++)); do
        start_job_request $((number++))
        [ "$i" -ne 8 ] || kill -TERM "${PID[$LEADER]}"
        sleep 0.02
    done
    status=0
    wait "${PID[$LEADER]}" || status=$?
    [ "$status" -eq 0 ] || fail "$LEADER exited with status $status"
    wait "${CALLERS[@]}" || true
    check_handover
    start_control_node "$LEADER" false
done
# The state of a job may be asked for before the job has been submitted.
failed=$(grep -cv '^\(200\|410\)$' "$WORK/statuses") || true
[ "$failed" -eq 0 ] || {
    sort "$WORK/statuses" | uniq -c >&2
    grep '"event":"caller_answered".*"status":50' "$WORK/edge-1.out" >&2
    cat "$WORK"/core-*.out | grep -E 'stopping|role_changed|"leader_' | sort >&2
    fail "$failed of $number requests failed"
}
[ "$HANDED_OVER" -eq 1 ] ||
    fail "a leader ended before another one led; ms without one: ${GAPS[*]}"
echo "ms without a leader: ${GAPS[*]}"
echo "$number requests answered over $ROUNDS stops of the leader"
