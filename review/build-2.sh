#!/bin/sh
# Builds the stand-ins of review 2 (cases 6 to 9) into build-review-2/. Needs g++ and nlohmann-json,
# which deploy/system.toml lists.
set -e
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for name in kept_bodies quota budget_maxima budget_tenants; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review-2/$name" "review/rig/$name.cpp"
done
