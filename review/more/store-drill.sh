#!/bin/bash
# Issue 38, first line: a watch from a revision that the store gives out again.
# Exits with 1 if the rule CONFIG was broken, 0 if it held, 2 if it could not
# run. With TROUBLE=0 the store is not away and loses nothing.
CASE=$(cd "$(dirname "$0")" && pwd)
source "$CASE/../kit/lib.sh"

TRIALS=8

# The configuration of version V with one route that no other version has.
version() {
	config_json | sed -e "s/\"r7\"/\"r$1\"/" \
		-e "s#\"routes\":{#&$(route_json new safe |
			sed -e "s#/new/#/new/$1/#" \
			    -e 's/"service":"new"/"service":"alpha"/'),#"
}

put() {
	cp "$WORK/version-$1" "$WORK/config.json"
	kill -USR1 "$STORE_PID"
	sleep 0.06
}

drill() {
	[ "${TROUBLE:-1}" = 0 ] || kill -USR2 "$STORE_PID"
}

start_store "$(version 10)"
start_node 1 alpha
start_node 2 beta
start_node 3 alpha
start_backend 1 i-alpha-1 alpha work_ms=5
start_backend 2 i-beta-2 beta work_ms=5
start_backend 3 i-alpha-3 alpha work_ms=5
wait_ready 1 2 3
sleep 3
for ((v = 10; v <= 10 + 5 * TRIALS; v++)); do
	version $v > "$WORK/version-$v"
done
v=10
for ((trial = 1; trial <= TRIALS; trial++)); do
	drill # a copy is taken
	sleep 0.06
	for change in 1 2 3; do
		put $((++v))
	done
	sleep 0.7
	drill # away
	sleep 0.1
	drill # back, with the copy
	sleep 0.01
	# What the operator wrote is written again; then the storm goes on.
	[ "${TROUBLE:-1}" = 0 ] || put $v
	put $((++v))
	put $((++v))
	# stable_window_s 3 and config_s 2 after the last disruption and the
	# last acknowledgement, and half a second more.
	sleep 5.5
	for i in 1 2 3; do
		start_client "look-$i-$v" $i new.example "/new/$v/" GET 0 1 100 \
			1200 0.4
		LOOKS[i]=$CLIENT
	done
	wait "${LOOKS[@]}"
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
