#!/usr/bin/env bash
# Measures what each entry VM costs at rest by number of entry VMs and by
# number of announced targets. Each entry VM has a disk: coltsfootd does not
# serve as a follower without one yet. All but three are learners.
# Usage: bench/slope.sh [BUILD [entries|targets...]]
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=bench/usage.sh
. bench/usage.sh

read -ra ENTRY_COUNTS <<<"${ENTRY_COUNTS:-3 6 12 24}"
read -ra TARGET_COUNTS <<<"${TARGET_COUNTS:-100 200 400 800}"
REST_S=${REST_S:-15}
# One process of stand-in targets announces them one after another; more of
# them in one process would stretch the interval.
TARGETS_EACH=100
# Below the entry VMs' ports.
TARGET_BASE=10000

proc_begin "${1:-build}"
shift || true
PARTS=("$@")
[ ${#PARTS[@]} -gt 0 ] || PARTS=(entries targets)

begin() {
    local count=$1 i nodes=()
    for ((i = 0; i < count; i++)); do
        nodes+=("dc$((i / 2))-$((i % 2)):dc$((i / 2))")
    done
    ENTRIES=()
    choose_base 100
    cluster "${nodes[@]}"
    init_cluster dc0-0
    start_entries
    sleep 3
}

end() {
    local name
    for name in "${!PID[@]}"; do
        stop_process "$name"
    done
    for name in "${ENTRIES[@]}"; do
        rm -rf "${WORK:?}/$name"
    done
}

measure() {
    usage_begin
    sleep "$REST_S"
    usage_end "$1"
}

entries() {
    local count
    for count in "${ENTRY_COUNTS[@]}"; do
        begin "$count"
        measure "entries $count"
        end
    done
}

# All targets announce themselves to one entry VM, which passes them on to the
# other one of its data centre.
targets() {
    local count started=0 options=()
    begin 4
    patch --request-id slope --set services/booking/pool=booking \
        --set pools/booking/max_unavailable=2 >/dev/null
    measure "targets 0"
    for count in "${TARGET_COUNTS[@]}"; do
        for (( ; started < count; started += TARGETS_EACH)); do
            options=(--listen "127.0.0.1:$((TARGET_BASE + started))"
                --count "$TARGETS_EACH" --name "t$started" --pool booking
                --data-centre dc0 --rack "t$started" --connections 2
                --control "${CONTROL[dc0-0]}")
            "$BUILD/standin-target" "${options[@]}" >/dev/null \
                2>>"$WORK/targets.log" &
            PID[t$started]=$!
        done
        wait_for "registration of $count VMs" pool_has booking "$count"
        sleep 3
        measure "targets $count"
    done
    end
}

for p in "${PARTS[@]}"; do
    case $p in
    entries | targets) "$p" ;;
    *) fail "unknown part $p" ;;
    esac
done
