#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
if [ ! -x ../../target/release/grebewood ]; then
    echo "build the project first: cargo build --release"
    exit 2
fi
command -v python3 > /dev/null || { echo "python3 is missing"; exit 2; }
exec timeout --kill-after=3 117 python3 -B case.py
