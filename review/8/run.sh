#!/bin/bash
# Starts control, proxies, instances and clients. The primary crashes, and the replica that control has chosen is lost.
# Then all processes are killed and started again. TROUBLE=0 leaves everything running.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
command=$root/target/release/cactushatch
standin=$root/target/review-2/successor
[ -x "$command" ] && [ -x "$standin" ] || exit 2
folder=$(mktemp -d) || exit 2
"$standin" "$command" "$folder" "$here/record.txt" "${TROUBLE:-1}"
result=$?
rm -rf "$folder"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
