#!/usr/bin/env bash
# Guards against refusing work of a pool that has VMs only in another data
# centre, and against a second run of unrepeatable work that is passed on.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh

proc_begin "${1:-build}"
choose_base 30
cluster north-1:north south-1:south
init_cluster north-1
start_entries
patch --request-id remote-1 --set services/booking/pool=booking \
    --set pools/booking/max_unavailable=1 >/dev/null
start_targets north-book booking north $((BASE + 20)) 2 --run-from-body
wait_for "registration of 2 VMs" pool_has booking 2
serves() {
    "$BUILD/standin-caller" --to "$1" --service booking --requests 4 |
        grep -q '"done":4'
}
wait_for "an answer through south-1" serves "${TRAFFIC[south-1]}"
"$BUILD/standin-caller" --to "${TRAFFIC[south-1]}" --service booking \
    --rate 100 --requests 300 --run-us 2000 --unrepeatable-percent 50 \
    --seed 3 --verify "127.0.0.1:$((BASE + 20))" >"$WORK/load.out" \
    2>"$WORK/load.log" || fail "wrong answers: $(cat "$WORK/load.log")"
cat "$WORK/load.out"
grep -q '"done":300' "$WORK/load.out" || fail "not all requests were served"
