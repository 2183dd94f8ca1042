#!/bin/sh
# Runs the checks that are not tests: dependencies, platform names, clang-tidy.
# Usage: lint.sh BUILD_DIRECTORY
set -e
build=$1
scripts/check-deps.sh
scripts/check-names.sh
# Skips a file whose stamp exists. The name of the stamp contains a hash of the
# file and a hash of all headers, so that a changed header causes a check of all
# files.
stamps=$build/lint
mkdir -p "$stamps"
headers=$(scripts/sources.sh | grep '\.h$' | xargs cat .clang-tidy | sha256sum | cut -c1-16)
scripts/sources.sh | grep '\.c$' | while read -r file
do
	sum=$(sha256sum <"$file" | cut -c1-16)
	stamp=$stamps/$(echo "$file" | tr / _).$sum.$headers
	[ -e "$stamp" ] || echo "$file $stamp"
done | xargs -r -P "$(nproc)" -L 1 sh -c \
	'clang-tidy --quiet -p "$0" "$1" 2>"$2.err" || { cat "$2.err"; exit 1; }; : >"$2"' "$build"
echo "lint: clean"
