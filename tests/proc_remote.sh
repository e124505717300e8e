#!/usr/bin/env bash
# Guards against refused requests when a pool has VMs only in another data
# centre, and against a second execution of a forwarded unrepeatable request.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh

setup_run "${1:-build}"
choose_base_port 30
write_cluster_settings north-1:north south-1:south
init_cluster north-1
start_entries
submit_patch --request-id remote-1 --set services/booking/pool=booking \
    --set pools/booking/max_unavailable=1 >/dev/null
start_targets north-book booking north $((BASE_PORT + 20)) 2 --run-from-body
wait_for "registration of 2 VMs" pool_has_vms booking 2
serves_requests() {
    "$BUILD/standin-caller" --to "$1" --service booking --requests 4 |
        grep -q '"done":4'
}
wait_for "an answer through south-1" serves_requests "${TRAFFIC[south-1]}"
"$BUILD/standin-caller" --to "${TRAFFIC[south-1]}" --service booking \
    --rate 100 --requests 300 --run-us 2000 --unrepeatable-percent 50 \
    --seed 3 --verify "127.0.0.1:$((BASE_PORT + 20))" >"$WORK/load.out" \
    2>"$WORK/load.log" || fail "wrong answers: $(cat "$WORK/load.log")"
cat "$WORK/load.out"
grep -q '"done":300' "$WORK/load.out" ||
    fail "not all of the 300 requests were done"
