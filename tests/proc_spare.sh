#!/usr/bin/env bash
# Guards against a pool that keeps a backlog while another one has idle VMs,
# and against planned moves that violate min_size.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh

setup_run "${1:-build}"
choose_base_port 40
write_cluster_settings north-1:north north-2:north
init_cluster north-1
start_entries
submit_patch --request-id spare-1 --set services/booking/pool=booking \
    --set services/billing/pool=billing \
    --set pools/booking/max_unavailable=1 --set pools/booking/min_size=1 \
    --set pools/billing/max_unavailable=2 --set pools/billing/min_size=2 \
    --set limits/spare_moves=2 >/dev/null
start_targets north-book booking north $((BASE_PORT + 20)) 2 --run-from-body \
    --slots 2
start_targets north-bill billing north $((BASE_PORT + 24)) 6 --run-from-body \
    --slots 2
wait_for "registration of 2 booking VMs" pool_has_vms booking 2
wait_for "registration of 6 billing VMs" pool_has_vms billing 6

# The 4 slots of booking serve 40 requests of 100 ms each per second, half of
# the offered rate.
"$BUILD/standin-caller" --to "${TRAFFIC[north-1]}" \
    --to "${TRAFFIC[north-2]}" --service booking --rate 80 --seconds 20 \
    --deadline-ms 20000 --run-us 100000 --seed 5 >"$WORK/load.out" \
    2>"$WORK/load.log" &
PID[load]=$!
booking_has_grown() {
    [ "$(count_vms booking)" -ge 5 ]
}
wait_for "planned moves to booking" booking_has_grown
[ "$(count_vms billing)" -ge 2 ] || fail "billing fell below min_size"
status=0
wait "${PID[load]}" || status=$?
unset "PID[load]"
cat "$WORK/load.out"
[ $status -eq 0 ] || fail "wrong answers: the load ended with status $status"
[ "$(count_vms billing)" -ge 2 ] || fail "billing fell below min_size"
cli explain booking --json | grep -q regret ||
    fail "coltsfoot explain gives no reason for the moves"
echo "booking has $(count_vms booking) VMs, billing $(count_vms billing)"
