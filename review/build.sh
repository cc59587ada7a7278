#!/bin/sh
# Builds the stand-ins of the cases into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in review/standins/*.cpp; do
    name=$(basename "$name" .cpp)
    [ "$name" = kit ] && continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$name" \
        "review/standins/$name.cpp" review/standins/kit.cpp
done
