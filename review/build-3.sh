#!/bin/sh
# Builds the stand-ins of the cases of the third review, or those named, into build-probe/, which git ignores.
set -e
cd "$(dirname "$0")/.."
mkdir -p build-probe
for name in ${*:-chains silent}; do
    g++ -std=c++20 -O1 -pthread -o "build-probe/$name.$$" "review/probe/$name.cpp"
    mv "build-probe/$name.$$" "build-probe/$name"
done
[ $# -gt 0 ] || review/build-4.sh
