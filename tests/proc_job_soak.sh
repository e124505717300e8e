#!/usr/bin/env bash
# Soak test of the job service with random faults. Three control nodes and an
# entry VM run as real processes. While configurations and jobs are sent,
# control nodes are killed, suspended, stopped or restarted with an empty disk,
# or all are killed at once. Guards against the loss of an acknowledged
# configuration or job, and against a node that shows an older configuration
# than an acknowledged one.
# Usage: proc_job_soak.sh [BUILD]; SEED selects the sequence of faults, ROUNDS
# their number.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=tests/support_control.sh
. tests/support_control.sh
# shellcheck source=platform/request.sh
. platform/request.sh

SEED=${SEED:-1}
ROUNDS=${ROUNDS:-8}
VERSION=1
ACKED_VERSION=0
JOBS=()
WIPED_DISKS=0

# Succeeds if all three voters are up and the old identity of every wiped disk
# is removed. Until then the cluster tolerates one lost disk fewer.
has_full_redundancy() {
    local replaced
    replaced=$(grep -oh 'remove the old identity.*' "$WORK"/core-*.log |
        sort -u | wc -l) || true
    [ "$replaced" -eq "$WIPED_DISKS" ] &&
        [ "$(leader_metric coltsfoot_voters)" = 3 ] &&
        [ "$(leader_metric coltsfoot_peers_up)" = 3 ]
}

random_control_node() {
    echo "${CONTROL_NODES[$((RANDOM % 3))]}"
}

send_config() {
    VERSION=$((VERSION + 1 + RANDOM % 5))
    local status
    status=$(send_request -X PUT \
        -d "$(platform_config "$VERSION" a.example /jobs/)" \
        "http://$(host_of "$(random_control_node)"):$((BASE_PORT + 1))$PLATFORM_CONFIG_PATH")
    [ "$status" = 200 ] && ACKED_VERSION=$VERSION
    return 0
}

submit_jobs() {
    local i id status
    for ((i = 0; i < 3; i++)); do
        id=$(printf '%016x' $((${#JOBS[@]} * 4096 + RANDOM % 4096)))
        status=$(send_request -X POST -H 'Host: a.example' \
            -d "$(platform_job 2)" "$(entry_url "/jobs/$id")")
        [ "$status" = 200 ] && JOBS+=("$id")
    done
    return 0
}

# check_config NODE: returns 1 if a control node does not show its
# configuration, and fails the test if the node shows an older version than an
# acknowledged one.
check_config() {
    local acked=$ACKED_VERSION node=$1 status seen
    status=$(send_request \
        "http://$(host_of "$node"):$((BASE_PORT + 1))$PLATFORM_CONFIG_PATH")
    [ "$status" = 200 ] || return 1
    seen=$(platform_config_version "$WORK/body")
    [ "$seen" -ge "$acked" ] ||
        fail "seed $SEED: $node shows version $seen, $acked was acknowledged"
}

# inject_fault NODE: injects a random fault at a control node or, in one case,
# at all of them.
inject_fault() {
    local node=$1 other
    case $((RANDOM % 5)) in
    0)
        kill_node "$node"
        sleep 0.5
        start_control_node "$node" false
        ;;
    1)
        kill -STOP "${PID[$node]}"
        submit_jobs
        send_config
        kill -CONT "${PID[$node]}"
        check_config "$node" || true
        ;;
    2)
        for other in "${CONTROL_NODES[@]}"; do
            kill -KILL "${PID[$other]}"
        done
        sleep 0.3
        for other in "${CONTROL_NODES[@]}"; do
            wait_for_end "$other"
            start_control_node "$other" false
        done
        ;;
    3)
        wait_for "three voters without old identities" has_full_redundancy
        send_config
        kill_node "$node"
        rm -rf "${WORK:?}/$node"
        WIPED_DISKS=$((WIPED_DISKS + 1))
        start_control_node "$node" false
        ;;
    *)
        kill -TERM "${PID[$node]}"
        sleep 0.3
        kill -KILL "${PID[$node]}" 2>/dev/null || true
        wait_for_end "$node"
        start_control_node "$node" false
        ;;
    esac
}

setup_run "${1:-build}"
choose_base_port 5
RANDOM=$SEED
for node in "${CONTROL_NODES[@]}"; do start_control_node "$node" true; done
start_entry_node
wait_for "three voters without old identities" has_full_redundancy
send_config
for ((round = 0; round < ROUNDS; round++)); do
    submit_jobs
    send_config
    inject_fault "$(random_control_node)"
    submit_jobs
    send_config
    check_config "$(random_control_node)" || true
done
wait_for "three voters without old identities" has_full_redundancy
wait_for "the configuration of a control node" \
    check_config "$(random_control_node)"
wait_for "readiness of the entry VM" entry_is_ready
for id in "${JOBS[@]}"; do
    status=$(send_request -H 'Host: a.example' \
        "$(entry_url "/jobs/$id")")
    [ "$status" = 200 ] ||
        fail "seed $SEED: accepted job $id now has status $status"
done
[ ${#JOBS[@]} -gt 0 ] || fail "seed $SEED: no job was accepted"
echo "seed $SEED: ${#JOBS[@]} jobs and version $ACKED_VERSION kept over $ROUNDS faults"
