#!/usr/bin/env bash
# The only machine of a job without an estimate is taken back; see claim.txt.
# With TROUBLE=0 the same without the disruption.
disruption=with
if [ "${TROUBLE:-1}" = 0 ]; then
    disruption=without
fi
exec bash "$(dirname "$0")/../run-case-2.sh" no-estimate "$(dirname "$0")" "$disruption"
