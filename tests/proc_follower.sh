#!/usr/bin/env bash
# Guards against entry VMs without a disk that miss configuration changes,
# serve after a restart with an older version than before, or return to an
# older version.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh

setup_run "${1:-build}"
choose_base_port 40
# No node of the data centre west has a disk, so one of them relays the
# configuration to the other.
write_cluster_settings north-1:north north-2!:north west-1!:west west-2!:west
init_cluster north-1
start_entries
submit_patch --request-id follow-1 --set services/booking/pool=booking \
    --set pools/booking/max_unavailable=1 >/dev/null
start_targets west-book booking west $((BASE_PORT + 20)) 2 --run-from-body
wait_for "registration of 2 VMs" pool_has_vms booking 2
serves_requests() {
    "$BUILD/standin-caller" --to "$1" --service booking --requests 4 |
        grep -q '"done":4'
}
for name in north-2 west-1 west-2; do
    wait_for "an answer through $name" serves_requests "${TRAFFIC[$name]}"
done
for i in $(seq 1 300); do
    submit_patch --request-id "many-$i" --set "limits/many=$i" >/dev/null ||
        fail "patch $i was refused"
done
has_version() {
    [ "$(version_of "$1")" -ge "$2" ]
}
version_of() {
    curl -sf --noproxy '*' -m 2 "http://${CONTROL[$1]}/v1/status" |
        json_number version
}
last=$(current_version)
for name in north-2 west-1 west-2; do
    wait_for "version $last at $name" has_version "$name" "$last"
done
kill_process west-1
for i in $(seq 1 100); do
    submit_patch --request-id "more-$i" --set "limits/many=$i" >/dev/null ||
        fail "patch $i was refused"
done
start_entry west-1
wait_for "readiness of west-1" is_ready west-1
# A node reports ready only if it holds at least the version that it had before
# the restart.
has_version west-1 "$last" || fail "west-1 serves an older version"
wait_for "the current version at west-1" \
    has_version west-1 "$(current_version)"
wait_for "an answer through west-1" serves_requests "${TRAFFIC[west-1]}"
echo "followers hold version $(current_version)"
