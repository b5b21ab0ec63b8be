#!/bin/sh
# Builds the stand-ins that the review's scripts start, into review/bin/.  Needs
# the packages of the deploy file's build.
set -e
cd "$(dirname "$0")"
mkdir -p bin
${CC:-gcc} -std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE \
  $(pkg-config --cflags json-c) -o bin/rig.new standin/*.c \
  $(pkg-config --libs json-c) -lpthread
mv -f bin/rig.new bin/rig
