#!/usr/bin/env bash
# Orders of the operator at three control VMs without faults of the network.
# Guards against an order that stays unanswered or gets a status that says
# "try again" for ever.
# Usage: proc_job_orders.sh [BUILD]
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=tests/support_control.sh
. tests/support_control.sh
# shellcheck source=platform/request.sh
. platform/request.sh

VERSION=0

# put_config NODE FILE: prints the status.
put_config() {
    send_request -X PUT --data-binary "@$2" \
        "$(control_url "$1" "$PLATFORM_CONFIG_PATH")"
}

has_three_voters() {
    [ "$(leader_metric coltsfoot_voters)" = 3 ]
}

# check_config_size ROUTES STATUS: sends a configuration to each node.
check_config_size() {
    local node status
    VERSION=$((VERSION + 1))
    platform_config_of "$VERSION" "$1" >"$WORK/config"
    for node in "${CONTROL_NODES[@]}"; do
        status=$(put_config "$node" "$WORK/config")
        [ "$status" = "$2" ] ||
            fail "$node: $1 routes: $status, expected $2: $(cat "$WORK/body")"
    done
}

# check_many_services COUNT: an acknowledged configuration must be stored.
check_many_services() {
    local status
    VERSION=$((VERSION + 1))
    awk -v version="$VERSION" -v count="$1" 'BEGIN {
        printf "{\"version\":%d,\"routes\":[],\"services\":[", version
        for (i = 0; i < count; i++) {
            printf "%s{\"name\":\"s%d\"}", i ? "," : "", i
        }
        print "]}"
    }' >"$WORK/config"
    status=$(put_config core-1 "$WORK/config")
    [ "$status" = 200 ] || fail "$1 services: $status"
    shows_version core-2 "$VERSION" ||
        fail "$1 services: acknowledged, but not stored"
}

# start_with_small_disk NODE: starts a control VM whose writes fail once a file
# has 256 KiB.
start_with_small_disk() {
    write_settings "$1" true
    mkdir -p "$WORK/$1"
    (
        trap '' XFSZ
        ulimit -f 256
        exec "$BUILD/coltsfootd" --settings "$WORK/$1.yaml"
    ) > >(cat >>"$WORK/$1.out") 2> >(cat >>"$WORK/$1.log") &
    PID[$1]=$!
    disown
}

has_ended() {
    ! kill -0 "${PID[$1]}" 2>/dev/null
}

# acknowledges_config FILE: succeeds if any control VM acknowledges it.
acknowledges_config() {
    local node
    for node in "${CONTROL_NODES[@]}"; do
        [ "$(put_config "$node" "$1")" = 200 ] && return 0
    done
    return 1
}

shows_version() {
    [ "$(send_request "$(control_url "$1" "$PLATFORM_CONFIG_PATH")")" = 200 ] &&
        [ "$(platform_config_version "$WORK/body")" = "$2" ]
}

# The founder leads. Its disk fails, and it returns when there is room again.
check_disk_failure_of_leader() {
    local i
    for ((i = 0; i < 4; i++)); do
        VERSION=$((VERSION + 1))
        platform_config_of "$VERSION" 500 >"$WORK/config"
        wait_for "an acknowledgement" acknowledges_config "$WORK/config"
    done
    wait_for "the end of core-1, whose disk has failed" has_ended core-1
    grep -q '"event":"log_failed"' "$WORK/core-1.out" ||
        fail "no line says why core-1 ended"
    start_control_node core-1 false
    wait_for "the newest version at core-1" shows_version core-1 "$VERSION"
}

WAIT_S=10
setup_run "${1:-build}"
choose_base_port 5
start_with_small_disk core-1
start_control_node core-2 true
start_control_node core-3 true
wait_for "three voters" has_three_voters

check_config_size 8 200
check_disk_failure_of_leader
check_config_size 500 200
check_config_size 3000 200
check_many_services 5000
check_config_size 8000 413
grep -q 'larger than' "$WORK/body" || fail "413 without a reason"
check_config_size 8 200
echo "PASS: job orders"
