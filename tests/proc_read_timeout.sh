#!/usr/bin/env bash
# Guards against reads that wait behind later ones for a majority: each gets an
# answer within a second, after which callers try another node.
cd "$(dirname "$0")/.."
# shellcheck source=tests/support_proc.sh
. tests/support_proc.sh
# shellcheck source=platform/request.sh
. platform/request.sh
# shellcheck source=tests/support_control.sh
. tests/support_control.sh

# A leader steps down an election timeout after it has lost its majority, and
# would answer all reads then.
start_control_node() {
    write_settings "$1" "$2"
    sed -i 's/^election_ms: .*/election_ms: 5000/' "$WORK/$1.yaml"
    start_node "$1"
}

start_nodes_in_memory "${1:-build}"
for node in "${CONTROL_NODES[@]}"; do
    [ "$node" = "$LEADER" ] || kill -STOP "${PID[$node]}"
done
CALLERS=()
for ((i = 0; i < 50; i++)); do
    curl -s --noproxy '*' -m 8 -o /dev/null -w '%{http_code} %{time_total}\n' \
        "$(control_url "$LEADER" "$PLATFORM_CONFIG_PATH")" \
        >>"$WORK/answers" &
    CALLERS+=($!)
    sleep 0.04
done
wait "${CALLERS[@]}" || true
[ "$(grep -c '^503 ' "$WORK/answers")" -eq "$i" ] ||
    fail "not all $i reads got 503: $(sort "$WORK/answers" | uniq -c | head -3)"
awk '$2 > 1 { late++ } $2 > longest { longest = $2 }
     END { printf "%d reads, %d late, longest %s s\n", NR, late, longest
           exit late > 0 }' "$WORK/answers" >"$WORK/summary" ||
    fail "$(cat "$WORK/summary")"
cat "$WORK/summary"
