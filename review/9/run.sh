#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=build-review-2/quota
if [ ! -x "$program" ] || [ ! -x target/platform/marjoram-node ]; then
    echo "build first: the deploy file's build, then review/build-2.sh"
    exit 2
fi
exec "$program" "$here/record.txt" front-tas-a-2
