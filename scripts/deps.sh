#!/bin/sh
# Installs the Debian packages that the build needs and the system lacks.
set -e
packages="build-essential cmake ninja-build pkg-config clang-format clang-tidy
	ccache valgrind libapr1-dev libaprutil1-dev libmsgpack-dev
	libhttp-parser-dev libargtable2-dev libcriterion-dev
	libtomlplusplus-dev libjansson-dev libxxhash-dev uthash-dev
	libsodium-dev zlib1g-dev libcurl4-gnutls-dev
	python3-prometheus-client"
missing=
for package in $packages
do
	dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
		grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
