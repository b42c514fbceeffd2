#!/usr/bin/env bash
# Runs a case N times (default 5) and once without the disruption, and prints the results.
#     review/runs.sh CASE [N]
cd "$(dirname "$0")/$1" || exit 2
for run in $(seq "${2:-5}"); do
  words=$(./run.sh); echo "case $1 run $run: exit $? $words"
done
words=$(TROUBLE=0 ./run.sh); echo "case $1 without the disruption: exit $? $words"
