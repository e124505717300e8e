#!/usr/bin/env bash
# Guards against three control VMs that have no majority any more after the
# disks of two of them were full one after the other.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=platform/request.sh
. platform/request.sh
# shellcheck source=tests/support_control.sh
. tests/support_control.sh

VERSION=1
JOB=0
FULL=

# Writes to files of a control VM whose disk is full fail. Its output goes
# through pipes.
start_node() {
    local limit=unlimited
    [ "$1" != "$FULL" ] || limit=1:unlimited
    mkdir -p "$WORK/$1"
    prlimit --fsize="$limit" "$BUILD/coltsfootd" --settings "$WORK/$1.yaml" \
        > >(cat >>"$WORK/$1.out") 2> >(cat >>"$WORK/$1.log") &
    PID[$1]=$!
    disown
}

start_ended_nodes() {
    local node
    for node in "${CONTROL_NODES[@]}"; do
        kill -0 "${PID[$node]}" 2>/dev/null || start_node "$node"
    done
}

has_leader() {
    start_ended_nodes
    find_leader
}

# acknowledges_config: succeeds if any control VM acknowledges a newer version.
acknowledges_config() {
    local node
    start_ended_nodes
    VERSION=$((VERSION + 1))
    for node in "${CONTROL_NODES[@]}"; do
        [ "$(send_request -X PUT \
            -d "$(platform_config "$VERSION" a.example /jobs/)" \
            "$(control_url "$node" "$PLATFORM_CONFIG_PATH")")" = 200 ] &&
            return 0
    done
    return 1
}

# accepts_job: submits a job of two tasks that last.
accepts_job() {
    start_ended_nodes
    [ "$(send_request -H 'Host: a.example' -d '{"spec":"s","steps":[
        {"count":2,"cpu":500,"mem-mb":64,"long-running":true}]}' \
        "$(entry_url "/jobs/$(printf '%016x' "$JOB")")")" = 200 ]
}

has_started_tasks() {
    start_ended_nodes
    [ "$(grep '^START' "$WORK/events" | grep -o "$(printf '%016x' "$JOB")[^ ]*" |
        sort -u | wc -l)" -eq 2 ]
}

# check_service WHEN: orders are acknowledged, and tasks that last are placed.
check_service() {
    JOB=$((JOB + 1))
    wait_for "an acknowledgement $1" acknowledges_config
    wait_for "acceptance of a job $1" accepts_job
    wait_for "the tasks of a job $1" has_started_tasks
}

# fill_disk_of_leader SECONDS: orders are sent meanwhile.
fill_disk_of_leader() {
    local end
    wait_for "leader of three voters" has_leader
    FULL=$LEADER
    prlimit --pid "${PID[$FULL]}" --fsize=1:unlimited
    end=$((SECONDS + $1))
    while [ $SECONDS -lt $end ]; do
        acknowledges_config || true
        sleep 0.2
    done
    grep -q 'Replica stopped' "$WORK/$FULL.log" ||
        fail "$FULL: the log has not failed"
    ! kill -0 "${PID[$FULL]}" 2>/dev/null ||
        prlimit --pid "${PID[$FULL]}" --fsize=unlimited || true
    FULL=
}

trap '' XFSZ
WAIT_S=12
start_nodes_in_memory "${1:-build}"
"$BUILD/standin-jobs-target" --name t --seed 1 \
    --listen "127.0.0.1:$((BASE_PORT + 10))" --count 3 \
    --events "$WORK/events" \
    --control "127.0.0.2:$((BASE_PORT + 1))" \
    --control "127.0.0.3:$((BASE_PORT + 1))" \
    --control "127.0.0.4:$((BASE_PORT + 1))" 2>>"$WORK/targets.log" &
PID[targets]=$!
disown
check_service "before the first full disk"
fill_disk_of_leader 2
check_service "after the first full disk"
fill_disk_of_leader 2
check_service "after the second full disk"
echo "PASS: orders and jobs are served after two full disks"
