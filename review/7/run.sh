#!/bin/bash
# Starts three control processes whose connections to each other pass through relays, lets the open connections go
# silent, and asks for the configuration. TROUBLE=0 leaves the connections alone.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
command=$root/target/release/cactushatch
standin=$root/target/review-2/silence
[ -x "$command" ] && [ -x "$standin" ] || exit 2
folder=$(mktemp -d) || exit 2
"$standin" "$command" "$folder" "$here/record.txt" "${TROUBLE:-1}"
result=$?
rm -rf "$folder"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
