#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out. Needs review/build-3.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review-3/case-13 ] && [ -x target/quetzalspindled ] || exit 2
exec target/review-3/case-13 "$folder/record.txt"
