#!/bin/sh
# Runs case 3. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption; without TROUBLE, or with TROUBLE=1, it is made.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
TROUBLE=${TROUBLE:-1}
case $TROUBLE in
    0 | 1) ;;
    *)
        echo "TROUBLE is 0 or 1" >&2
        exit 2
        ;;
esac
for program in target/review/case-3 target/release/pollenlever-sidecar; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: build the project and run review/build.sh" >&2
        exit 2
    fi
done
RECORD="$here/record.txt" TROUBLE="$TROUBLE" exec "target/review/case-3"
