#!/bin/sh
# Builds the example against an installed tree, runs the example and compares
# its output. Guards against headers or symbols that are missing in the
# installation, which a build inside the source tree does not detect.
# Usage: embed.sh BUILD_DIRECTORY
set -e
build=$(realpath "$1")
example=$(realpath examples/embed)
tree=$(mktemp -d)
trap 'rm -rf "$tree"' EXIT
DESTDIR="$tree" cmake --install "$build" >/dev/null

pc=$(find "$tree" -name geraniumplank.pc)
prefix=$tree$(sed -n 's/^prefix=//p' "$pc")
flags() {
	PKG_CONFIG_PATH=$(dirname "$pc") pkg-config \
		--define-variable=prefix="$prefix" "$@" geraniumplank
}
cflags=$(flags --cflags)
libs=$(flags --libs)

"$prefix/bin/geraniumplank" --version >/dev/null

# Each public header must compile on its own, in C and in C++.
cd "$tree"
for header in "$prefix"/include/geraniumplank/*.h
do
	echo "#include <geraniumplank/$(basename "$header")>" >alone.c
	# shellcheck disable=SC2086
	cc -std=gnu11 -Wall -Wextra -Werror $cflags \
		-fsyntax-only alone.c
	# shellcheck disable=SC2086
	c++ -std=gnu++17 -Wall -Werror $cflags -fsyntax-only -x c++ alone.c
done

cp "$example/embed.c" .
# shellcheck disable=SC2086
cc -std=gnu11 -Wall -Wextra -Werror $cflags embed.c -o embed $libs
LD_LIBRARY_PATH=$(dirname "$(dirname "$pc")") ./embed >embed.out
diff -u "$example/embed.golden" embed.out
echo "embed: clean"
