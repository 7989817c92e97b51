#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Needs g++ and nlohmann-json3-dev only, both
# among the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/stand/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review/$name"
done
