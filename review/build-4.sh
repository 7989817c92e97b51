#!/bin/sh
# Builds the stand-ins of the cases from 11 on into build-probe/: one program for each, which plays
# the platform's store, the servers and the clients, and starts the system's own programs.
set -e
cd "$(dirname "$0")/.."
mkdir -p build-probe
for case in review/stand4/case*.cpp; do
    name=$(basename "$case" .cpp)
    g++ -std=c++20 -O1 -pthread -o "build-probe/$name" "$case"
done
