#!/usr/bin/env bash
# Guards against a maintenance wave that does not end, reboots no VM, or cuts
# off work in flight.
. "$(dirname "$0")/support_proc.sh"
proc_begin "$1"
standard_cluster

incarnation() {
    curl -s --noproxy '*' -m 5 \
        "http://127.0.0.1:$((BASE + 20 + $1))/platform/state" |
        number incarnation
}
before0=$(incarnation 0)
before2=$(incarnation 2)
start_load load --rate 100 --seconds 20 --run-us 20000 \
    --unrepeatable-percent 10 "${VERIFY[@]}"
cli wave start w1 --vm north-book-1 --vm north-book-3 >"$WORK/wave.out"
rebooted() {
    [ "$(incarnation 0)" -gt "$before0" ] &&
        [ "$(incarnation 2)" -gt "$before2" ]
}
wave_done() {
    cli wave show w1 --json | grep -q '"state": *"done"'
}
wait_for "reboot of both VMs" rebooted
wait_for "end of the wave" wave_done
end_load load
expect load lost -eq 0
expect load unknown -eq 0
expect load unable -eq 0
expect load done -gt 1000
cli wave show w1
cli report >"$WORK/report.out"
cli explain north-book-1 >"$WORK/explain.out"
[ -s "$WORK/report.out" ] || fail "the burn report is empty"
[ -s "$WORK/explain.out" ] || fail "explain says nothing"
