#!/usr/bin/env bash
# Guards against an entry VM that suspects, or never learns of, targets that
# announce themselves only to another entry VM of its data centre.
. "$(dirname "$0")/support_proc.sh"
proc_begin "$1"
choose_base 30
cluster north-1:north north-2:north south-1:south
init_cluster north-1
start_entries
patch --request-id relay --set services/booking/pool=booking \
    --set pools/booking/max_unavailable=2 >/dev/null
"$BUILD/standin-target" --listen "127.0.0.1:$((BASE + 20))" --count 4 \
    --name told --pool booking --data-centre north --rack told \
    --control "${CONTROL[north-1]}" >/dev/null 2>>"$WORK/told.log" &
PID[told]=$!

# count_health HEALTH: VMs of that health as north-2 sees them.
count_health() {
    "$BUILD/coltsfoot" vms --json --to "${CONTROL[north-2]}" |
        grep -c "\"health\": *\"$1\"" || true
}
has_health() {
    [ "$(count_health "$1")" -eq 4 ]
}

wait_for "4 targets up at north-2" has_health up
# Three times the silence after which a target is suspected.
for ((i = 0; i < 27; i++)); do
    sleep 0.2
    has_health up || fail "north-2 sees $(count_health up) of 4 targets up"
done
grep -q suspected "$WORK/north-2.log" && fail "north-2 suspected a target"

# A new process knows no target until it gets whole announcements again,
# which must not wait for their usual interval of 10 s. They come every 500 ms,
# and may come while the link to the new process is not dialled yet, so the
# process is replaced at five times within that interval.
for phase in 0 0.1 0.2 0.3 0.4; do
    sleep $phase
    kill_now north-2
    start_entry north-2
    wait_for "readiness of north-2" is_ready north-2
    WAIT_S=5 wait_for "4 targets up at the new north-2" has_health up
done

signal told TERM
wait_for "departure of 4 targets at north-2" has_health leaving
echo "north-2 followed 4 targets that only north-1 hears"
