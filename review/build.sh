#!/bin/sh
# Builds the stand-ins that the scripts of the review start. They need a C
# compiler and jansson, which the build of the deploy file needs as well.
set -e
cd "$(dirname "$0")"
mkdir -p build
flags="-std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter -Wno-format-truncation -D_GNU_SOURCE -pthread"
for program in store backend client; do
	cc $flags -o build/$program kit/$program.c kit/http.c -ljansson
done
cc $flags -o build/ports kit/ports.c
