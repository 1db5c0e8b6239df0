#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
scratch=$(mktemp -d) || exit 2
standin=
end_all() {
    [ -n "$standin" ] && kill -KILL "$standin" 2>/dev/null
    [ -f "$scratch/pids" ] && while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$scratch/pids"
    rm -rf "$scratch"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP
[ -x "$root/target/release/kitetrail-box" ] || { echo "target/release/kitetrail-box isn't built"; exit 2; }
[ -x "$root/target/review/standin" ] || "$root/review/build.sh" || exit 2
"$root/target/review/standin" ends "$root" "$scratch" "$folder/record.txt" &
standin=$!
wait "$standin"
status=$?
standin=
[ "$status" -le 2 ] || status=2
exit "$status"
