#!/usr/bin/env bash
# Guards against wrong answers, repeated runs, falsely accepted or lost
# patches, versions that go back and VMs in two pools when a data centre is cut
# off. All links between data centres go through standin-relay. SEED sets the
# seed of the load.
. "$(dirname "$0")/support_proc.sh"
proc_begin "$1"
SEED=${SEED:-1}
LOADS=0
choose_base 100
RELAY_NEXT=$((BASE + 60))
ANNOUNCE_LOCALLY=1
EXTRA_SETTINGS=("voters: 3")
cluster north-1:north middle-1:middle south-1:south north-2:north \
    middle-2!:middle south-2!:south
start_relay $((BASE + 59))
init_cluster north-1
# The first entry VM of each data centre becomes a voter, the second one a
# learner in the north and a follower without a disk elsewhere.
for name in north-1 middle-1 south-1; do
    start_entry $name
done
for name in north-1 middle-1 south-1; do
    wait_for "readiness of $name" is_ready $name
done
node_status() {
    "$BUILD/coltsfoot" status --json --to "${CONTROL[$1]}" --timeout-ms 2000
}
members_are() {
    local name
    for name in north-1 middle-1 south-1; do
        [ "$(entry_number "$name" members)" -eq "$1" ] || return 1
    done
}
wait_for "three members" members_are 3
wait_for "promotion of middle-1" \
    grep -q "promote a learner (node middle-1" "$WORK/north-1.log"
wait_for "promotion of south-1" \
    grep -q "promote a learner (node south-1" "$WORK/north-1.log"
for name in north-2 middle-2 south-2; do
    start_entry $name
    wait_for "readiness of $name" is_ready $name
done
wait_for "four members" members_are 4
CENTRES=(north middle south)

node_leader() {
    node_status "$1" | grep -o '"leader": *"[^"]*"' | cut -d'"' -f4
}

# patch_at TO_CENTRE ID [OPTIONS...]: submits a patch through one data centre
# and sets PATCH_STATUS to the exit status of the command.
patch_at() {
    local centre=$1 id=$2
    shift 2
    PATCH_STATUS=0
    # shellcheck disable=SC2046
    "$BUILD/coltsfoot" patch --json --base "$BASE_VERSION" \
        --request-id "$id" --timeout-ms 15000 "$@" \
        $(control_options to "$centre") \
        >"$WORK/patch.$id" 2>"$WORK/patch.$id.err" || PATCH_STATUS=$?
}
# accepted_at TO_CENTRE ID: the patch limits/ID=1 is accepted there in the end.
# An unknown result is repeated with the same request id.
accepted_at() {
    local try
    for ((try = 0; try < 6; try++)); do
        patch_at "$1" "$2" --set "limits/$2=1"
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
            seen=$(entry_number "$name" version 2>/dev/null) || continue
            echo "$name $seen" >>"$WORK/versions"
        done
        sleep 0.2
    done
}
check_versions() {
    awk '$2 < last[$1] { print; bad = 1 } { last[$1] = $2 }
        END { exit bad }' "$WORK/versions" ||
        fail "a version went back"
    echo "versions: $(wc -l <"$WORK/versions") samples, none went back"
}

same_version() {
    local name first
    first=$(entry_number north-1 version)
    for name in "${ENTRIES[@]}"; do
        [ "$(entry_number "$name" version)" = "$first" ] || return 1
    done
}
check_all_accepted() {
    local name id
    wait_for "one version on all entry VMs" same_version
    for name in "${ENTRIES[@]}"; do
        for id in "${ACCEPTED[@]}"; do
            has_limit "$name" "$id" ||
                fail "$name lost the accepted patch $id"
        done
    done
}

# load_at CENTRE NAME [OPTIONS...]: starts a checked load on the entry VMs of
# one data centre.
load_at() {
    local centre=$1 name=$2 entry to=()
    shift 2
    # The seed also determines the request ids.
    LOADS=$((LOADS + 1))
    for entry in "${ENTRIES[@]}"; do
        [ "${CENTRE[$entry]}" != "$centre" ] ||
            to+=(--to "${TRAFFIC[$entry]}")
    done
    "$BUILD/standin-caller" "${to[@]}" --service booking --service billing \
        --seed $((SEED * 1000 + LOADS)) --caller "$name" --unrepeatable-percent 30 \
        --run-us 5000 --resend 10 "${VERIFY[@]}" "$@" \
        >"$WORK/$name.out" 2>"$WORK/$name.log" &
    PID[$name]=$!
}
# most_done LOAD: at least nine in ten requests were answered as done.
most_done() {
    local sent done
    sent=$(number sent <"$WORK/$1.out")
    done=$(number "done" <"$WORK/$1.out")
    [ $((done * 10)) -ge $((sent * 9)) ] ||
        fail "$1: only $done of $sent requests were done"
}

patch --request-id setup --set services/booking/pool=booking \
    --set services/billing/pool=billing \
    --set pools/booking/max_unavailable=3 \
    --set pools/billing/max_unavailable=3 >/dev/null
VERIFY=()
port=$((BASE + 20))
for centre in "${CENTRES[@]}"; do
    for pool in booking billing; do
        start_targets "$centre-$pool" $pool "$centre" $port 2 --run-from-body
        VERIFY+=(--verify "127.0.0.1:$port")
        port=$((port + 2))
    done
done
wait_for "registration of 6 booking VMs" pool_has booking 6
wait_for "registration of 6 billing VMs" pool_has billing 6
serves() {
    "$BUILD/standin-caller" --to "${TRAFFIC[$1]}" --service booking \
        --service billing --requests 4 | grep -q '"done":4'
}
for name in "${ENTRIES[@]}"; do
    wait_for "answers of $name" serves "$name"
done
ACCEPTED=()
BASE_VERSION=$(version)
sample_versions &
PID[sampler]=$!

reports_cut() {
    local name up
    for name in "${ENTRIES[@]}"; do
        up=$(node_status "$name" | tr -d '\n ' | tr '{' '\n' |
            grep "\"data_centre\":\"$1\"" | grep -c '"up":true') || true
        [ "${CENTRE[$name]}" = "$1" ] || [ "$up" -eq 0 ] || return 1
    done
}
majority_leads() {
    local name leader
    for name in "${ENTRIES[@]}"; do
        [ "${CENTRE[$name]}" != "$1" ] || continue
        leader=$(node_leader "$name")
        [ -n "$leader" ] && [ "${CENTRE[$leader]}" != "$1" ] || return 1
    done
}
shows_confirmed() {
    "$BUILD/coltsfoot" show --json --to "${CONTROL[$1]}" |
        grep -q "\"confirmed\": $2"
}

# partition CENTRE KIND SECONDS: cuts a data centre off under load, submits
# patches on both sides and heals it.
partition() {
    local cut=$1 kind=$2 seconds=$3 id="$1-$2" centre other
    for centre in "${CENTRES[@]}"; do
        load_at "$centre" "$id-$centre" --rate 40 --seconds "$seconds" \
            --deadline-ms 5000
        [ "$centre" = "$cut" ] || other=$centre
    done
    sleep 1
    cut_centre "$cut" "$kind"
    wait_for "silence of $cut" reports_cut "$cut"
    wait_for "a leader outside $cut" majority_leads "$cut"
    # Only the cut-off side is loaded by this one, after the cut is known.
    load_at "$cut" "$id-inside" --rate 40 --requests 120 --deadline-ms 5000
    accepted_at "$other" "$id-1"
    BASE_VERSION=$(number version <"$WORK/patch.$id-1")
    patch_at "$cut" "$id-minority" --set "limits/$id-minority=1"
    [ "$PATCH_STATUS" -ne 0 ] || fail "the cut-off $cut accepted a patch"
    MINORITY_STATUS=$PATCH_STATUS
    accepted_at "$other" "$id-2"
    for name in "${ENTRIES[@]}"; do
        if [ "${CENTRE[$name]}" = "$cut" ]; then
            ! has_limit "$name" "$id-1" || fail "$name is not cut off"
            shows_confirmed "$name" false ||
                fail "the cut-off $name confirms a read"
        fi
    done
    end_load "$id-inside"
    most_done "$id-inside"
    heal_centre "$cut"
    for centre in "${CENTRES[@]}"; do
        end_load "$id-$centre"
        most_done "$id-$centre"
    done
    check_all_accepted
    # A refused patch has had no effect; a resend learns an unknown result.
    if [ "$MINORITY_STATUS" -eq 3 ]; then
        accepted_at "$cut" "$id-minority"
        check_all_accepted
    else
        ! has_limit "$cut-1" "$id-minority" || fail "a refused patch ran"
    fi
    BASE_VERSION=$(version)
    echo "$id: minority status $MINORITY_STATUS, patches kept"
}

leader=$(node_leader north-1)
other=south
[ "${CENTRE[$leader]}" != south ] || other=middle
for kind in silent refuse late; do
    partition $other $kind 16
done
# The data centre of the leader is cut off silently for a long time.
leader=$(node_leader "$other-1")
shows_confirmed "$leader" true || fail "the leader confirms no read"
partition "${CENTRE[$leader]}" silent 24

# A move of a VM of a cut-off data centre waits for its healing.
vm_field() {
    "$BUILD/coltsfoot" vms --json --to "${CONTROL[$1]}" | tr -d '\n' |
        tr '{' '\n' | grep "\"name\": *\"$2\"" |
        grep -o "\"$3\": *\"[^\"]*\"" | cut -d'"' -f4
}
in_pool() {
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
cut=south
[ "${CENTRE[$leader]}" != south ] || cut=middle
port=$((BASE + 22))
[ $cut = middle ] && port=$((BASE + 26)) || port=$((BASE + 30))
vm=$cut-billing-1
for centre in "${CENTRES[@]}"; do
    load_at "$centre" "move-$centre" --rate 40 --seconds 25 --deadline-ms 5000
done
wait_for "billing on $vm" serves_service $port $vm billing
cut_centre $cut silent
wait_for "silence of $cut" reports_cut $cut
wait_for "a leader outside $cut" majority_leads $cut
BASE_VERSION=$("$BUILD/coltsfoot" show --json \
    --to "${CONTROL[north-1]}" | number version)
patch_at north move --set "pools/booking/vms/$vm=move"
[ "$PATCH_STATUS" -eq 0 ] || fail "the move was not accepted"
for ((i = 0; i < 40; i++)); do
    for name in "${ENTRIES[@]}"; do
        [ "$(vm_field "$name" $vm pool)" = billing ] ||
            fail "$name moved $vm while its data centre was cut off"
    done
    sleep 0.1
done
serves_service $port $vm billing || fail "$vm serves another pool"
heal_centre $cut
for name in "${ENTRIES[@]}"; do
    wait_for "move of $vm on $name" in_pool "$name" $vm booking
done
# The load may have ended before the move did, so each try sends some work.
books() {
    "$BUILD/standin-caller" --to "${TRAFFIC[middle-1]}" --service booking \
        --requests 12 >/dev/null
    serves_service $port $vm booking
}
wait_for "booking on $vm" books
for centre in "${CENTRES[@]}"; do
    end_load "move-$centre"
done
counts=$(target_counts $port $vm)
[ "$(number mixed <<<"$counts")" -eq 0 ] || fail "two pools at once: $counts"
[ "$(number switches <<<"$counts")" -eq 1 ] || fail "back and forth: $counts"
echo "move: $vm changed its pool once, after the healing"

touch "$WORK/stop"
wait "${PID[sampler]}" || true
unset "PID[sampler]"
check_versions
