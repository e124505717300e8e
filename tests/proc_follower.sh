#!/usr/bin/env bash
# Guards against entry VMs without a disk that miss the configuration, serve
# before they hold what they had before a restart, or go back.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh

proc_begin "${1:-build}"
choose_base 40
# The data centre west has no disk: one of its nodes relays to the other.
cluster north-1:north north-2!:north west-1!:west west-2!:west
init_cluster north-1
start_entries
patch --request-id follow-1 --set services/booking/pool=booking \
    --set pools/booking/max_unavailable=1 >/dev/null
start_targets west-book booking west $((BASE + 20)) 2 --run-from-body
wait_for "registration of 2 VMs" pool_has booking 2
serves() {
    "$BUILD/standin-caller" --to "$1" --service booking --requests 4 |
        grep -q '"done":4'
}
for name in north-2 west-1 west-2; do
    wait_for "an answer through $name" serves "${TRAFFIC[$name]}"
done
for i in $(seq 1 300); do
    patch --request-id "many-$i" --set "limits/many=$i" >/dev/null ||
        fail "patch $i is refused"
done
has_version() {
    [ "$(version_of "$1")" -ge "$2" ]
}
version_of() {
    curl -sf --noproxy '*' -m 2 "http://${CONTROL[$1]}/v1/status" |
        number version
}
last=$(version)
for name in north-2 west-1 west-2; do
    wait_for "version $last at $name" has_version "$name" "$last"
done
kill_now west-1
for i in $(seq 1 100); do
    patch --request-id "more-$i" --set "limits/many=$i" >/dev/null ||
        fail "patch $i is refused"
done
start_entry west-1
wait_for "readiness of west-1" is_ready west-1
# Ready means that it holds at least what it had before.
has_version west-1 "$last" || fail "west-1 serves an older version"
wait_for "version at west-1" has_version west-1 "$(version)"
wait_for "an answer through west-1" serves "${TRAFFIC[west-1]}"
echo "followers hold version $(version)"
