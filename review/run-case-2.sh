#!/usr/bin/env bash
# Runs one case of the second review: run-case-2.sh CASE FOLDER with|without, the last for the disruption. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case could not run. The run.sh of each case calls it.
set -u
if [ $# -ne 3 ]; then
    echo "usage: run-case-2.sh CASE FOLDER with|without" >&2
    exit 2
fi
case_name=$1
folder=$(cd "$2" && pwd) || exit 2
disruption=$3
cd "$(dirname "$0")/.." || exit 2
standins=target/review-2/release/standins-2
read -r -a program < <(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
if [ ! -x "$standins" ] || [ ! -x "${program[0]:-}" ]; then
    echo "build the program of deploy/service.toml and run review/build-2.sh first" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
# Ends the controllers that this run started, if it was interrupted before it ended them itself.
finish() {
    [ -n "${standins_pid:-}" ] && kill -9 "$standins_pid" 2>/dev/null
    while read -r pid; do
        if [ -r "/proc/$pid/cmdline" ] && tr '\0' ' ' <"/proc/$pid/cmdline" | grep -qF "$temporary"; then
            kill -9 "$pid" 2>/dev/null
        fi
    done < <(cat "$temporary/pids" 2>/dev/null)
    rm -rf "$temporary"
}
trap finish EXIT
trap 'exit 2' INT TERM
"$standins" "$case_name" "$disruption" "$folder" "$temporary" "${program[@]}" &
standins_pid=$!
wait "$standins_pid"
code=$?
standins_pid=
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
