#!/bin/sh
# Builds the stand-ins of the second review into build/review-2.
set -eu
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
flags="-std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Werror -Wno-format-truncation $(pkg-config --cflags json-c)"
libs="$(pkg-config --libs json-c) -lpthread"
for case in review/two/case_*.c; do
  # shellcheck disable=SC2086
  ${CC:-gcc} $flags -Ireview/two -o "$out/$(basename "$case" .c)" \
    "$case" review/two/rig.c review/two/store.c review/two/plain.c $libs
done
