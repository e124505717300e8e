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

setup_run "${1:-build}"
choose_base_port 5
for node in "${CONTROL_NODES[@]}"; do start_control_node "$node" true; done
wait_for "three voters" has_three_voters

check_config_size 8 200
check_config_size 500 200
check_config_size 3000 200
check_config_size 8000 413
grep -q 'larger than' "$WORK/body" || fail "413 without a reason"
check_config_size 8 200
echo "PASS: job orders"
