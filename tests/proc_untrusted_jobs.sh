#!/usr/bin/env bash
# Guards against control VMs whose memory or disks are filled by jobs of the
# full legal size that no target can run.
. "$(dirname "$0")/support_proc.sh"
. "$(dirname "$0")/../platform/request.sh"
. "$(dirname "$0")/support_control.sh"
. "$(dirname "$0")/support_crowd.sh"
start_nodes_in_memory "$1"

# The smallest control VM has 256 MB of memory, of which a quarter is left to
# the buffers of its sockets, and 128 MB of disk.
MAX_KB=$((192 * 1024))
MAX_DISK_KB=$((128 * 1024))
MAX_DESCRIPTORS=3840

check_disks() {
    local node kb
    for node in "${CONTROL_NODES[@]}"; do
        kb=$(du -sk "$WORK/$node" | cut -f1)
        echo "$1: $kb KB on the disk of $node"
        [ "$kb" -le $MAX_DISK_KB ] ||
            CROWD_FAULTS+=("$1: $kb KB on the disk of $node")
    done
}

# submit_large TEXT: a crowd of large jobs, each of which comes several times.
submit_large() {
    play_crowd "$1" "${CONTROL_NODES[*]}" $MAX_KB $MAX_DESCRIPTORS submit_job \
        --to "127.0.0.5:$((BASE_PORT + 2))" --shape announced --count 100 \
        --rounds 10 --path "/jobs/################" --body "$WORK/large"
    check_disks "$1"
}

platform_large_job 250000 >"$WORK/large"
submit_large "large jobs"

# A follower that lost its disk gets the whole state again.
wait_for "leader" find_leader
follower=${CONTROL_NODES[0]}
[ "$follower" != "$LEADER" ] || follower=${CONTROL_NODES[1]}
kill_node "$follower"
rm -rf "${WORK:?}/$follower"
start_node "$follower"
wait_for "leader of three voters" find_leader
submit_large "large jobs, one disk lost"

kill_node "$LEADER"
start_node "$LEADER"
wait_for "leader of three voters" find_leader
submit_large "large jobs, new leader"
check_crowds
