#!/bin/sh
# Runs one case: run-case.sh FOLDER CASE. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case could not run.
folder=$(cd "$1" && pwd)
cd "$folder/../.." || exit 2
for program in target/review/standins target/release/mastichinged; do
    [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec timeout -k 2 119 target/review/standins "$2" "$folder/record.txt"
