#!/usr/bin/env bash
# Guards against a maintenance wave that does not end, reboots no VM, or drops
# requests in flight.
. "$(dirname "$0")/support_proc.sh"
setup_run "$1"
start_standard_cluster

# vm_incarnation NUMBER: prints the incarnation of a VM, which increases with
# each reboot.
vm_incarnation() {
    curl -s --noproxy '*' -m 5 \
        "http://127.0.0.1:$((BASE_PORT + 20 + $1))/platform/state" |
        json_number incarnation
}
before0=$(vm_incarnation 0)
before2=$(vm_incarnation 2)
start_load load --rate 100 --seconds 20 --run-us 20000 \
    --unrepeatable-percent 10 "${VERIFY[@]}"
cli wave start w1 --vm north-book-1 --vm north-book-3 >"$WORK/wave.out"
both_rebooted() {
    [ "$(vm_incarnation 0)" -gt "$before0" ] &&
        [ "$(vm_incarnation 2)" -gt "$before2" ]
}
wave_is_done() {
    cli wave show w1 --json | grep -q '"state": *"done"'
}
wait_for "reboot of both VMs" both_rebooted
wait_for "end of the wave" wave_is_done
wait_for_load load
expect_count load lost -eq 0
expect_count load unknown -eq 0
expect_count load unable -eq 0
expect_count load done -gt 1000
cli wave show w1
cli report >"$WORK/report.out"
cli explain north-book-1 >"$WORK/explain.out"
[ -s "$WORK/report.out" ] || fail "the burn report is empty"
[ -s "$WORK/explain.out" ] || fail "coltsfoot explain printed nothing"
