#!/bin/bash
# The node that has read a version from the store loses power while it hands the
# version on. Exits with 1 if the rule CONFIG was broken, 0 if it held, 2 if it
# could not run. With TROUBLE=0 no node is killed.
CASE=$(cd "$(dirname "$0")" && pwd)
source "$CASE/../kit/lib.sh"

TRIALS=11

# The configuration of version V with 300 idle routes and COUNT more, and one
# route that no other version has: version V COUNT
version() {
	config_json | awk -v v="$1" -v count="$2" '
		function route(name, host, prefix, target) {
			return "\"" name "\":{\"host\":\"" host \
				"\",\"prefix\":\"" prefix "\",\"kind\":" \
				"\"safe\",\"timeout_s\":1.2," \
				"\"target_latency_s\":0.5,\"priority\":1," \
				target ",\"max_attempts\":2},"
		}
		BEGIN {
			parts = "\"weighted_clusters\":[{\"service\":" \
				"\"alpha\",\"weight\":90},{\"service\":" \
				"\"beta\",\"weight\":10}]"
			for (i = 0; i < 140; i++)
				pad = pad "x"
			for (i = 0; i < 300 + count; i++)
				more = more route(sprintf("route-of-the-" \
					"cellar-log-service-%04d", i),
					sprintf("cellar-%04d.hall.of.the." \
					"brewery.records.company.example", i),
					sprintf("/cellars/%04d/", i) pad "/",
					parts)
			more = more route("r-new", "new.example",
				"/new/" v "/", "\"service\":\"alpha\"")
		}
		{
			sub(/"r7"/, "\"r" v "\"")
			at = index($0, "\"routes\":{") + 10
			printf "%s%s%s", substr($0, 1, at - 1), more,
				substr($0, at)
		}'
}

put() {
	cp "$WORK/version-$1" "$WORK/config.json"
	kill -USR1 "$STORE_PID"
}

service_of() { [ "$1" = 2 ] && echo beta || echo alpha; }

# Starts machine I: the node and its backend.
start_machine() {
	settings "$1" "$(service_of "$1")" > "$WORK/node-$1.toml"
	(
		cd "$ROOT" || exit
		exec env -i PATH="$PATH" HOME=/tmp \
			GERANIUMPLANK_SETTINGS="$WORK/node-$1.toml" \
			"$NODE" node >> "$WORK/node-$1.log" 2>&1
	) &
	NODES[$1]=$!
	PIDS+=($!)
	start_backend "$1" "i-$1-$((++STARTS))" "$(service_of "$1")" work_ms=5
	BACKENDS[$1]=$!
}

# Seconds since 1970 at which each node took version V: taken V
taken() {
	grep -H "\"version_in_force\".*\"version\":$1," "$WORK"/node-?.log |
		sed 's/.*node-\(.\)\.log.*"time":"\([^"]*\)".*/\2 \1/' | sort
}

first_taker() { taken "$1" | head -1 | cut -d' ' -f2; }

v=7
for ((trial = 0; trial <= TRIALS + 1; trial++)); do
	version $((v + 2 * trial)) 0 > "$WORK/version-$((v + 2 * trial))"
	version $((v + 2 * trial + 1)) 350 > "$WORK/version-$((v + 2 * trial + 1))"
done
start_store "$(cat "$WORK/version-7")"
for i in 1 2 3; do
	start_machine $i
done
wait_ready 1 2 3
BOOTSTRAP=false
sleep 3
# One growth without a loss of power shows when the first node takes it.
before=$(now)
put $((++v))
sleep 1
took=$(date -d "$(taken $v | head -1 | cut -d' ' -f1)" +%s.%N)
delay=$(awk -v a="$before" -v b="$took" 'BEGIN { printf "%.4f", b - a }')
put $((++v))
sleep 4
for ((trial = 1; trial <= TRIALS; trial++)); do
	reader=$(first_taker $v)
	wait_s=$(awk -v d="$delay" -v n=$trial \
		'BEGIN { printf "%.4f", d - 0.016 + n * 0.003 }')
	before=$(now)
	put $((++v))
	sleep "$wait_s"
	if [ "${TROUBLE:-1}" != 0 ]; then
		kill -KILL "${NODES[reader]}" "${BACKENDS[reader]}"
		echo "$(now) machine $reader loses power, r$v," \
			"$wait_s s after" >> "$WORK/script.events"
	fi
	# config_s after the acknowledgement, and a little more
	sleep 2.2
	LOOKS=()
	for i in 1 2 3; do
		[ $i = "$reader" ] && continue
		start_client "look-$i-$v" $i new.example "/new/$v/" GET 0 1 100 \
			1200 0.5
		LOOKS+=("$CLIENT")
	done
	wait "${LOOKS[@]}"
	[ "${TROUBLE:-1}" = 0 ] || start_machine "$reader"
	put $((++v))
	sleep 4.6
done
write_record

stale=$(grep -c ' look-.* got .* status=404 ' "$RECORD")
answered=$(grep -c ' look-.* got .* status=200 ' "$RECORD")
echo "requests on a route that is in force, answered 404: $stale (any breaks" \
	"the rule CONFIG), in" \
	"$(grep ' look-.* got .* status=404 ' "$RECORD" |
		sed 's/.* look-[0-9]-\([0-9]*\) .*/\1/' | sort -u | wc -l)" \
	"of $TRIALS trials; answered 200: $answered" | tee -a "$RECORD"
finish $((stale > 0)) $((answered + stale)) 20
