#!/bin/sh
# Instructions per call in each of the two nodes that a call passes, by
# callgrind: the difference of a long and a short run over the difference of
# their calls, so that the start cancels out. Times depend on what else runs;
# this figure does not, and stands in commits for that.
# Usage: callgrind.sh BUILD_DIRECTORY [SHORT LONG [quiet]]
# quiet: with one log line a second about calls
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

# Prints the instructions of both nodes, the one beside the caller first: it
# starts first, so its process number is lower.
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
