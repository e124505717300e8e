#!/usr/bin/env bash
# Guards against the loss of an acknowledged patch, and against an entry VM
# that restarts with an older version, when entry VMs are killed while patches
# are submitted. KILLS sets the number of kills, SEED their order.
. "$(dirname "$0")/support_proc.sh"
setup_run "$1"
KILLS=${KILLS:-20}
RANDOM=${SEED:-1}
choose_base_port 20
RANDOM=${SEED:-1}
EXTRA_SETTINGS=("snapshot_entries: 64")
write_cluster_settings north-1:north north-2:north south-1:south
init_cluster north-1
start_entries

# Submits patches and writes a line "NUMBER VERSION" for each acknowledged one.
# A patch with an unknown result is resent with the same request id until its
# result is known.
write_patches() {
    local i=0 base=0 status
    while [ ! -e "$WORK/stop" ]; do
        i=$((i + 1))
        while :; do
            status=0
            cli patch --json --base "$base" --request-id "p-$i" \
                --set "limits/p-$i=$i" >"$WORK/answer" \
                2>"$WORK/answer.err" || status=$?
            [ $status -eq 3 ] || break
        done
        if [ $status -ne 0 ]; then
            cat "$WORK/answer" "$WORK/answer.err" >"$WORK/refused"
            return 1
        fi
        base=$(json_number version <"$WORK/answer")
        echo "$i $base" >>"$WORK/acknowledged"
    done
}
touch "$WORK/acknowledged"
write_patches &
PID[writer]=$!

has_more_patches() {
    [ "$(wc -l <"$WORK/acknowledged")" -gt "$1" ]
}
for ((k = 1; k <= KILLS; k++)); do
    name=${ENTRIES[$((RANDOM % 3))]}
    wait_for "another patch before kill $k" has_more_patches \
        "$(wc -l <"$WORK/acknowledged")"
    before=$(entry_status_number "$name" version)
    sleep "0.$((RANDOM % 4))$((RANDOM % 10))"
    kill_process "$name"
    start_entry "$name"
    wait_for "readiness of $name after kill $k" is_ready "$name"
    after=$(entry_status_number "$name" version)
    [ "$after" -ge "$before" ] ||
        fail "$name went from version $before to $after at kill $k"
    [ ! -e "$WORK/refused" ] ||
        fail "a patch was refused: $(cat "$WORK/refused")"
done
touch "$WORK/stop"
wait "${PID[writer]}" || fail "a patch was refused: $(cat "$WORK/refused")"
unset "PID[writer]"

last=$(tail -1 "$WORK/acknowledged" | cut -d' ' -f2)
has_last_version() {
    [ "$(entry_status_number "$1" version)" -ge "$last" ]
}
for name in "${ENTRIES[@]}"; do
    wait_for "version $last on $name" has_last_version "$name"
    "$BUILD/coltsfoot" show limits --to "${CONTROL[$name]}" \
        >"$WORK/limits.$name"
    while read -r i _; do
        grep -q "limits/p-$i: $i\$" "$WORK/limits.$name" ||
            fail "$name lost the acknowledged patch p-$i"
    done <"$WORK/acknowledged"
done
echo "$KILLS kills, $(wc -l <"$WORK/acknowledged") acknowledged patches kept"
