#!/usr/bin/env bash
# Guards against entry VMs with a log that accept no patch any more after the
# disks of two of three were full one after the other.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh

FULL=

# Writes to files of an entry VM whose disk is full fail. Its output goes
# through a pipe.
start_entry() {
    local limit=unlimited
    [ "$1" != "$FULL" ] || limit=1:unlimited
    prlimit --fsize="$limit" "$BUILD/coltsfootd" \
        --settings "$WORK/$1.yaml" > >(cat >>"$WORK/$1.log") 2>&1 &
    PID[$1]=$!
    disown
}

start_ended_entries() {
    local name
    for name in "${ENTRIES[@]}"; do
        kill -0 "${PID[$name]}" 2>/dev/null || start_entry "$name"
    done
}

# find_leader: sets LEADER to the node that all entry VMs take for the leader.
find_leader() {
    local name leader
    start_ended_entries
    LEADER=
    for name in "${ENTRIES[@]}"; do
        leader=$("$BUILD/coltsfoot" status --json --to "${CONTROL[$name]}" |
            grep -o '"leader": *"[^"]*"' | cut -d'"' -f4)
        [ -n "$leader" ] && [ "${LEADER:-$leader}" = "$leader" ] || return 1
        LEADER=$leader
    done
}

has_three_voters() {
    [ "$(cat "$WORK"/*.log | grep -c 'promote a learner')" -eq 2 ]
}

accepts_patch() {
    start_ended_entries
    submit_patch --set "limits/n=$((++NUMBER))"
}

fill_disk_of_leader() {
    local end
    wait_for "a leader" find_leader
    FULL=$LEADER
    prlimit --pid "${PID[$FULL]}" --fsize=1:unlimited
    end=$((SECONDS + 3))
    while [ $SECONDS -lt $end ]; do
        accepts_patch >/dev/null 2>&1 || true
        sleep 0.2
    done
    grep -q 'Replica stopped' "$WORK/$FULL.log" ||
        fail "$FULL: the log has not failed"
    ! kill -0 "${PID[$FULL]}" 2>/dev/null ||
        prlimit --pid "${PID[$FULL]}" --fsize=unlimited || true
    FULL=
}

NUMBER=0
trap '' XFSZ
WAIT_S=20
setup_run "${1:-build}"
choose_base_port 20
write_cluster_settings north-1:north north-2:north south-1:south
init_cluster north-1
start_entries
wait_for "three voters" has_three_voters
wait_for "a patch before the first full disk" accepts_patch
fill_disk_of_leader
wait_for "a patch after the first full disk" accepts_patch
fill_disk_of_leader
wait_for "a patch after the second full disk" accepts_patch
echo "PASS: patches are accepted after two full disks"
