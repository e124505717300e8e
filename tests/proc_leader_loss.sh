#!/usr/bin/env bash
# Guards against callers that get 503 from a leader that has just stopped
# leading: their requests must wait at the entry VM for the next leader.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=platform/request.sh
. platform/request.sh
# shellcheck source=tests/support_control.sh
. tests/support_control.sh

ROUNDS=${ROUNDS:-3}

count_lost() {
    grep -c '"event":"leader_lost"' "$WORK/$1.out" || true
}

# signal_followers SIGNAL
signal_followers() {
    local node
    for node in "${CONTROL_NODES[@]}"; do
        [ "$node" = "$LEADER" ] || kill "-$1" "${PID[$node]}"
    done
}

start_nodes_in_memory "${1:-build}"
number=0
for ((round = 0; round < ROUNDS; round++)); do
    wait_for "leader of three voters" find_leader
    wait_for "leader at the entry VM" entry_is_ready
    CALLERS=()
    lost=$(count_lost "$LEADER")
    signal_followers STOP
    for ((i = 0; i < 100; i++)); do
        start_job_request $((number++))
        sleep 0.04
        [ "$(count_lost "$LEADER")" -eq "$lost" ] || break
    done
    # Covers the interval of the leader's messages to its peers, 400 ms.
    for ((i = 0; i < 8; i++)); do
        start_job_request $((number++))
        sleep 0.04
    done
    signal_followers CONT
    [ "$(count_lost "$LEADER")" -gt "$lost" ] ||
        fail "round $round: $LEADER still leads without a majority"
    wait "${CALLERS[@]}" || true
done
grep '"event":"caller_answered"' "$WORK/edge-1.out" >"$WORK/answers" || true
refused=$(grep '"status":503' "$WORK/answers" | grep -c '"replier":"core-') ||
    true
[ "$refused" -eq 0 ] || {
    grep '"status":503' "$WORK/answers" | head -3 >&2
    fail "$refused of $number requests were refused by a leader that had stopped"
}
echo "none of $number requests was refused by a leader that had stopped"
