#!/usr/bin/env bash
# Measures six entry VMs in three data centres on loopback: patches from
# acceptance to in force on the slowest of them, and what each process costs.
# Usage: bench/cluster.sh [BUILD [PART...]]
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=bench/usage.sh
. bench/usage.sh

PATCHES=${PATCHES:-1000}
REST_S=${REST_S:-30}
PACED=${PACED:-40}
RESTART_RATE=${RESTART_RATE:-50}

proc_begin "${1:-build}"
shift || true
PARTS=("$@")
[ ${#PARTS[@]} -gt 0 ] || PARTS=(rest paced_cost commit force paced restart \
    restart_leader)
choose_base 30
cluster north-1:north north-2:north south-1:south south-2:south \
    west-1:west west-2:west
init_cluster north-1
start_entries

submit_patches() {
    # shellcheck disable=SC2046
    "$BUILD/standin-operator" $(control_options to) "$@" || true
}

watched() {
    # shellcheck disable=SC2046
    submit_patches $(control_options watch) "$@"
}

leader() {
    status_of "${ENTRIES[0]}" | grep -o '"leader": *"[^"]*"' | cut -d'"' -f4
}

# restart_under_patches LABEL NAME: stops the VM 5 s into the load, starts it
# again 2 s later.
restart_under_patches() {
    watched --patches "$PATCHES" --rate "$RESTART_RATE" >"$WORK/$1.out" &
    PID[load]=$!
    sleep 5
    kill_now "$2"
    sleep 2
    start_entry "$2"
    wait "${PID[load]}"
    unset "PID[load]"
    echo "$1 ($2 killed, started after 2 s): $(cat "$WORK/$1.out")"
    wait_for "readiness of $2" is_ready "$2"
}

part() {
    case $1 in
    rest)
        usage_begin
        sleep "$REST_S"
        usage_end rest
        ;;
    paced_cost)
        usage_begin
        echo "paced_cost: $(submit_patches --patches "$PACED" --rate 0.67)"
        usage_end paced
        ;;
    commit)
        echo "commit: $(submit_patches --patches "$PATCHES")"
        ;;
    force)
        echo "force: $(watched --patches "$PATCHES")"
        ;;
    paced)
        echo "paced: $(watched --patches "$PACED" --rate 0.67)"
        ;;
    restart)
        local name
        for name in "${ENTRIES[@]}"; do
            [ "$name" = "$(leader)" ] || break
        done
        restart_under_patches restart "$name"
        ;;
    restart_leader)
        restart_under_patches restart_leader "$(leader)"
        ;;
    *)
        fail "unknown part $1"
        ;;
    esac
}

sleep 3
for p in "${PARTS[@]}"; do
    part "$p"
done
