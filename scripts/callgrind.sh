#!/bin/sh
# Prints the instructions per call in each of the two nodes on the path of a
# call, as counted by callgrind: the difference between a long and a short run
# divided by the difference of their calls, which removes the cost of the
# startup. Unlike times, this figure does not depend on the load of the
# machine.
# Usage: callgrind.sh BUILD_DIRECTORY [SHORT LONG [quiet]]
# quiet: limits the log of calls to one line per second
build=$(realpath "$1") || exit 2
short=${2:-200}
long=${3:-1200}
quiet=$4
dir=$(mktemp -d) || exit 1
trap 'rm -rf "$dir"' EXIT

ln -s "$build/standin" "$dir/standin"
cat >"$dir/geraniumplank" <<END
#!/bin/sh
exec valgrind -q --tool=callgrind --callgrind-out-file=$dir/out.\$\$ \\
	"$build/geraniumplank" "\$@"
END
chmod +x "$dir/geraniumplank"

# Prints the instructions of both nodes. The node beside the caller comes first:
# this node starts first and so has the lower process ID.
count () {
	rm -f "$dir"/out.*
	"$build/bench_callgrind" "$dir" "$1" $quiet >&2 || return 1
	for file in $(ls "$dir"/out.* | sort -t. -k3 -n)
	do
		sed -n 's/^summary: //p' "$file"
	done
	[ -z "$KEEP" ] || cp "$dir"/out.* "$KEEP"
}

few=$(count "$short") || exit 1
many=$(count "$long") || exit 1
set -- $few $many
calls=$((long - short))
echo "{\"name\":\"call.instructions\",\"value\":$((($3 - $1) / calls)),\"unit\":\"instructions\",\"node\":\"beside the caller\"}"
echo "{\"name\":\"call.instructions\",\"value\":$((($4 - $2) / calls)),\"unit\":\"instructions\",\"node\":\"beside the upstream\"}"
