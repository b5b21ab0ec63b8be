#!/bin/sh
# Builds the stand-ins that the review's scripts start, as review/rig.  Needs
# the packages of the deploy file's build.
set -e
cd "$(dirname "$0")"
${CC:-gcc} -std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE \
  $(pkg-config --cflags json-c) -o rig.new *.c \
  $(pkg-config --libs json-c) -lpthread
mv -f rig.new rig
