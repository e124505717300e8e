#!/usr/bin/env bash
# Guards against wrong answers, repeated executions, falsely accepted or lost
# patches, decreasing versions and VMs in two pools when a data centre is cut
# off. All links between data centres go through standin-relay. SEED sets the
# seed of the load.
. "$(dirname "$0")/support_proc.sh"
setup_run "$1"
SEED=${SEED:-1}
LOAD_COUNT=0
choose_base_port 100
RELAY_NEXT_PORT=$((BASE_PORT + 60))
ANNOUNCE_LOCALLY=1
EXTRA_SETTINGS=("voters: 3")
write_cluster_settings north-1:north middle-1:middle south-1:south \
    north-2:north middle-2!:middle south-2!:south
start_relay $((BASE_PORT + 59))
init_cluster north-1
# The first entry VM of each data centre becomes a voter. The second one
# becomes a learner in the north and a follower without a disk elsewhere.
for name in north-1 middle-1 south-1; do
    start_entry $name
done
for name in north-1 middle-1 south-1; do
    wait_for "readiness of $name" is_ready $name
done
node_status() {
    "$BUILD/coltsfoot" status --json --to "${CONTROL[$1]}" --timeout-ms 2000
}
has_member_count() {
    local name
    for name in north-1 middle-1 south-1; do
        [ "$(entry_status_number "$name" members)" -eq "$1" ] || return 1
    done
}
wait_for "three members" has_member_count 3
wait_for "promotion of middle-1" \
    grep -q "promote a learner (node middle-1" "$WORK/north-1.log"
wait_for "promotion of south-1" \
    grep -q "promote a learner (node south-1" "$WORK/north-1.log"
for name in north-2 middle-2 south-2; do
    start_entry $name
    wait_for "readiness of $name" is_ready $name
done
wait_for "four members" has_member_count 4
DATA_CENTRES=(north middle south)

node_leader() {
    node_status "$1" | grep -o '"leader": *"[^"]*"' | cut -d'"' -f4
}

# submit_patch_at DATA_CENTRE ID [OPTIONS...]: submits a patch through the
# entry VMs of a data centre and sets PATCH_STATUS to the exit status of the
# command.
submit_patch_at() {
    local centre=$1 id=$2
    shift 2
    PATCH_STATUS=0
    # shellcheck disable=SC2046
    "$BUILD/coltsfoot" patch --json --base "$BASE_VERSION" \
        --request-id "$id" --timeout-ms 15000 "$@" \
        $(control_options to "$centre") \
        >"$WORK/patch.$id" 2>"$WORK/patch.$id.err" || PATCH_STATUS=$?
}
# expect_accepted_at DATA_CENTRE ID: submits the patch limits/ID=1 through a
# data centre and fails unless it is accepted. A patch with an unknown result
# is resent with the same request id.
expect_accepted_at() {
    local try
    for ((try = 0; try < 6; try++)); do
        submit_patch_at "$1" "$2" --set "limits/$2=1"
        [ "$PATCH_STATUS" -eq 3 ] || break
    done
    [ "$PATCH_STATUS" -eq 0 ] || {
        cat "$WORK/patch.$2.err" >&2
        fail "patch $2 ended with status $PATCH_STATUS"
    }
    ACCEPTED+=("$2")
}
has_limit() {
    "$BUILD/coltsfoot" show "limits/$2" --to "${CONTROL[$1]}" |
        grep -q "limits/$2: 1"
}

# Writes "NAME VERSION" for each entry VM until the test ends.
sample_versions() {
    local name seen
    while [ ! -e "$WORK/stop" ]; do
        for name in "${ENTRIES[@]}"; do
            seen=$(entry_status_number "$name" version 2>/dev/null) || continue
            echo "$name $seen" >>"$WORK/versions"
        done
        sleep 0.2
    done
}
check_versions() {
    awk '$2 < last[$1] { print; bad = 1 } { last[$1] = $2 }
        END { exit bad }' "$WORK/versions" ||
        fail "the version of an entry VM decreased"
    echo "versions: $(wc -l <"$WORK/versions") samples, none went back"
}

versions_match() {
    local name first
    first=$(entry_status_number north-1 version)
    for name in "${ENTRIES[@]}"; do
        [ "$(entry_status_number "$name" version)" = "$first" ] || return 1
    done
}
check_accepted_patches() {
    local name id
    wait_for "the same version on all entry VMs" versions_match
    for name in "${ENTRIES[@]}"; do
        for id in "${ACCEPTED[@]}"; do
            has_limit "$name" "$id" ||
                fail "$name lost the accepted patch $id"
        done
    done
}

# start_load_at DATA_CENTRE NAME [OPTIONS...]: starts a load on the entry VMs
# of a data centre.
start_load_at() {
    local centre=$1 name=$2 entry to=()
    shift 2
    # The seed also determines the request ids, so each load has its own seed.
    LOAD_COUNT=$((LOAD_COUNT + 1))
    for entry in "${ENTRIES[@]}"; do
        [ "${DATA_CENTRE[$entry]}" != "$centre" ] ||
            to+=(--to "${TRAFFIC[$entry]}")
    done
    "$BUILD/standin-caller" "${to[@]}" --service booking --service billing \
        --seed $((SEED * 1000 + LOAD_COUNT)) --caller "$name" \
        --unrepeatable-percent 30 \
        --run-us 5000 --resend 10 "${VERIFY[@]}" "$@" \
        >"$WORK/$name.out" 2>"$WORK/$name.log" &
    PID[$name]=$!
}
# expect_most_done LOAD: fails unless at least 90 % of the requests of a load
# were answered as done.
expect_most_done() {
    local sent done
    sent=$(json_number sent <"$WORK/$1.out")
    done=$(json_number "done" <"$WORK/$1.out")
    [ $((done * 10)) -ge $((sent * 9)) ] ||
        fail "$1: only $done of $sent requests were done"
}

submit_patch --request-id setup --set services/booking/pool=booking \
    --set services/billing/pool=billing \
    --set pools/booking/max_unavailable=3 \
    --set pools/billing/max_unavailable=3 >/dev/null
VERIFY=()
port=$((BASE_PORT + 20))
for centre in "${DATA_CENTRES[@]}"; do
    for pool in booking billing; do
        start_targets "$centre-$pool" $pool "$centre" $port 2 --run-from-body
        VERIFY+=(--verify "127.0.0.1:$port")
        port=$((port + 2))
    done
done
wait_for "registration of 6 booking VMs" pool_has_vms booking 6
wait_for "registration of 6 billing VMs" pool_has_vms billing 6
serves_requests() {
    "$BUILD/standin-caller" --to "${TRAFFIC[$1]}" --service booking \
        --service billing --requests 4 | grep -q '"done":4'
}
for name in "${ENTRIES[@]}"; do
    wait_for "answers through $name" serves_requests "$name"
done
ACCEPTED=()
BASE_VERSION=$(current_version)
sample_versions &
PID[sampler]=$!

# peers_are_down DATA_CENTRE: succeeds if all entry VMs outside a data centre
# report its entry VMs as down.
peers_are_down() {
    local name up
    for name in "${ENTRIES[@]}"; do
        up=$(node_status "$name" | tr -d '\n ' | tr '{' '\n' |
            grep "\"data_centre\":\"$1\"" | grep -c '"up":true') || true
        [ "${DATA_CENTRE[$name]}" = "$1" ] || [ "$up" -eq 0 ] || return 1
    done
}
# majority_has_leader DATA_CENTRE: succeeds if all entry VMs outside a data
# centre have a leader outside it.
majority_has_leader() {
    local name leader
    for name in "${ENTRIES[@]}"; do
        [ "${DATA_CENTRE[$name]}" != "$1" ] || continue
        leader=$(node_leader "$name")
        [ -n "$leader" ] && [ "${DATA_CENTRE[$leader]}" != "$1" ] || return 1
    done
}
shows_confirmed() {
    "$BUILD/coltsfoot" show --json --to "${CONTROL[$1]}" |
        grep -q "\"confirmed\": $2"
}

# test_partition DATA_CENTRE KIND SECONDS: cuts a data centre off under load,
# submits patches on both sides and heals the partition.
test_partition() {
    local isolated=$1 kind=$2 seconds=$3 id="$1-$2" centre other
    for centre in "${DATA_CENTRES[@]}"; do
        start_load_at "$centre" "$id-$centre" --rate 40 --seconds "$seconds" \
            --deadline-ms 5000
        [ "$centre" = "$isolated" ] || other=$centre
    done
    sleep 1
    cut_data_centre "$isolated" "$kind"
    wait_for "detection that $isolated is cut off" peers_are_down "$isolated"
    wait_for "a leader outside $isolated" majority_has_leader "$isolated"
    # This load runs only on the cut-off side, once the partition is detected.
    start_load_at "$isolated" "$id-inside" --rate 40 --requests 120 \
        --deadline-ms 5000
    expect_accepted_at "$other" "$id-1"
    BASE_VERSION=$(json_number version <"$WORK/patch.$id-1")
    submit_patch_at "$isolated" "$id-minority" --set "limits/$id-minority=1"
    [ "$PATCH_STATUS" -ne 0 ] || fail "the cut-off $isolated accepted a patch"
    MINORITY_STATUS=$PATCH_STATUS
    expect_accepted_at "$other" "$id-2"
    for name in "${ENTRIES[@]}"; do
        if [ "${DATA_CENTRE[$name]}" = "$isolated" ]; then
            ! has_limit "$name" "$id-1" ||
                fail "the cut-off $name received patch $id-1"
            shows_confirmed "$name" false ||
                fail "the cut-off $name confirmed a read"
        fi
    done
    wait_for_load "$id-inside"
    expect_most_done "$id-inside"
    heal_data_centre "$isolated"
    for centre in "${DATA_CENTRES[@]}"; do
        wait_for_load "$id-$centre"
        expect_most_done "$id-$centre"
    done
    check_accepted_patches
    # A refused patch must have had no effect. A patch with an unknown result
    # is resent to learn the result.
    if [ "$MINORITY_STATUS" -eq 3 ]; then
        expect_accepted_at "$isolated" "$id-minority"
        check_accepted_patches
    else
        ! has_limit "$isolated-1" "$id-minority" ||
            fail "a refused patch was applied"
    fi
    BASE_VERSION=$(current_version)
    echo "$id: minority status $MINORITY_STATUS, patches kept"
}

leader=$(node_leader north-1)
other=south
[ "${DATA_CENTRE[$leader]}" != south ] || other=middle
for kind in silent refuse late; do
    test_partition $other $kind 16
done
# The data centre of the leader is cut off silently for a long time.
leader=$(node_leader "$other-1")
shows_confirmed "$leader" true || fail "the leader did not confirm a read"
test_partition "${DATA_CENTRE[$leader]}" silent 24

# The move of a VM of a cut-off data centre waits until the partition has
# healed.
vm_field() {
    "$BUILD/coltsfoot" vms --json --to "${CONTROL[$1]}" | tr -d '\n' |
        tr '{' '\n' | grep "\"name\": *\"$2\"" |
        grep -o "\"$3\": *\"[^\"]*\"" | cut -d'"' -f4
}
vm_is_in_pool() {
    [ "$(vm_field "$1" "$2" pool)" = "$3" ] &&
        [ "$(vm_field "$1" "$2" assignment)" = open ]
}
target_counts() {
    curl -sf --noproxy '*' -m 5 "http://127.0.0.1:$1/standin/counts" |
        tr '{' '\n' | grep "\"name\":\"$2\""
}
serves_service() {
    target_counts "$1" "$2" | grep -q "\"service\":\"$3\""
}
leader=$(node_leader middle-1)
isolated=south
[ "${DATA_CENTRE[$leader]}" != south ] || isolated=middle
port=$((BASE_PORT + 22))
[ $isolated = middle ] && port=$((BASE_PORT + 26)) || port=$((BASE_PORT + 30))
vm=$isolated-billing-1
for centre in "${DATA_CENTRES[@]}"; do
    start_load_at "$centre" "move-$centre" --rate 40 --seconds 25 \
        --deadline-ms 5000
done
wait_for "requests of billing at $vm" serves_service $port $vm billing
cut_data_centre $isolated silent
wait_for "detection that $isolated is cut off" peers_are_down $isolated
wait_for "a leader outside $isolated" majority_has_leader $isolated
BASE_VERSION=$("$BUILD/coltsfoot" show --json \
    --to "${CONTROL[north-1]}" | json_number version)
submit_patch_at north move --set "pools/booking/vms/$vm=move"
[ "$PATCH_STATUS" -eq 0 ] || fail "the move was not accepted"
for ((i = 0; i < 40; i++)); do
    for name in "${ENTRIES[@]}"; do
        [ "$(vm_field "$name" $vm pool)" = billing ] ||
            fail "$name moved $vm while its data centre was cut off"
    done
    sleep 0.1
done
serves_service $port $vm billing || fail "$vm no longer serves billing"
heal_data_centre $isolated
for name in "${ENTRIES[@]}"; do
    wait_for "move of $vm on $name" vm_is_in_pool "$name" $vm booking
done
# Each attempt sends requests of its own, since the load may have ended before
# the move.
serves_booking() {
    "$BUILD/standin-caller" --to "${TRAFFIC[middle-1]}" --service booking \
        --requests 12 >/dev/null
    serves_service $port $vm booking
}
wait_for "requests of booking at $vm" serves_booking
for centre in "${DATA_CENTRES[@]}"; do
    wait_for_load "move-$centre"
done
counts=$(target_counts $port $vm)
[ "$(json_number mixed <<<"$counts")" -eq 0 ] ||
    fail "$vm served two pools at once: $counts"
[ "$(json_number switches <<<"$counts")" -eq 1 ] ||
    fail "$vm did not switch pools exactly once: $counts"
echo "move: $vm changed its pool once, after the healing"

touch "$WORK/stop"
wait "${PID[sampler]}" || true
unset "PID[sampler]"
check_versions
