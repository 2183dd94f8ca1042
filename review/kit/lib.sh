# Functions of the scripts of the review; read by bash with "source".
# A script sets CASE, the folder of the case, before it reads this file.

ROOT=$(cd "$CASE/../.." && pwd)
KIT=$ROOT/review/build
NODE=$ROOT/target/geraniumplank
WORK=$(mktemp -d)
RECORD=$CASE/record.txt
NET=127.61.$((RANDOM % 250 + 1))
PIDS=()

cannot_run() {
	echo "cannot run: $*" >&2
	exit 2
}

stop_all() {
	local pid

	touch "$WORK/stopping"
	for pid in "${PIDS[@]}" $(cat "$WORK"/*.pid 2>/dev/null); do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -r "$WORK"
}

for program in "$NODE" "$KIT/store" "$KIT/backend" "$KIT/client" "$KIT/ports"
do
	if [ ! -x "$program" ]; then
		rm -r "$WORK"
		cannot_run "$program is not built"
	fi
done
trap stop_all EXIT
trap 'exit 2' INT TERM HUP

mapfile -t PORTS < <("$KIT/ports" 24)
[ ${#PORTS[@]} = 24 ] || cannot_run "no free ports"
STORE=$NET.250:${PORTS[0]}
# Ports are the same on all machines of a day.
PEER=${PORTS[1]}
OUTBOUND=${PORTS[2]}
CONTROL=${PORTS[3]}
READY=${PORTS[4]}
OPERATOR=${PORTS[5]}
METRICS=${PORTS[6]}
APP=${PORTS[7]}

now() { date +%s.%N; }

# start_store CONFIG-TEXT
start_store() {
	printf '%s' "$1" > "$WORK/config.json"
	"$KIT/store" "$STORE" "$WORK/config.json" "$WORK/store.events" &
	STORE_PID=$!
	PIDS+=($!)
	sleep 0.2
	kill -0 $! || cannot_run "the store does not start"
}

# Fills in deploy/node.toml as DEPLOY.md says: settings I SERVICE
settings() {
	local ip=$NET.$1

	sed -e '/{{[#\/^]/d' \
	    -e "s/{{zone|json}}/\"hall-a\"/" \
	    -e "s/{{node_id|json}}/\"sidecar-hall-a-$1\"/" \
	    -e "s/{{service|json}}/\"$2\"/" \
	    -e "s/{{bootstrap}}/${BOOTSTRAP:-true}/" \
	    -e "s/{{limits.link_mbps}}/1000.0/" \
	    -e "s/{{ip}}:{{port_range.0}}/$ip:$PEER/" \
	    -e "s/{{listen.outbound|json}}/\"$ip:$OUTBOUND\"/" \
	    -e "s/{{listen.control|json}}/\"$ip:$CONTROL\"/" \
	    -e "s/{{listen.ready|json}}/\"$ip:$READY\"/" \
	    -e "s/127.0.0.1:7103/$ip:$OPERATOR/" \
	    -e "s/{{ip}}:9464/$ip:$METRICS/" \
	    -e "s/{{provider.address|json}}/\"$STORE\"/" \
	    -e "s/{{app_addr|json}}/\"$ip:$APP\"/" \
	    -e "s/{{bounds.budget_slack}}/58/" \
	    -e "s/{{bounds.budget_window_s}}/10/" \
	    -e "s/{{heartbeat_interval_s}}/1.5/" "$ROOT/deploy/node.toml"
}

# Starts the node of machine I and starts it again after each end, as the
# platform does. A node may be ended by its id in $WORK/node-I.pid.
start_node() {
	settings "$1" "$2" > "$WORK/node-$1.toml"
	(
		trap - EXIT INT TERM HUP
		cd "$ROOT" || exit
		while [ ! -e "$WORK/stopping" ]; do
			env -i PATH="$PATH" HOME=/tmp \
				GERANIUMPLANK_SETTINGS="$WORK/node-$1.toml" \
				"$NODE" node >> "$WORK/node-$1.log" 2>&1 &
			echo $! > "$WORK/node-$1.pid"
			wait $!
			status=$?
			[ -e "$WORK/stopping" ] && break
			echo "$(now) node-$1 ended status=$status" \
				>> "$WORK/node-$1.events"
			sed -i 's/first_start = true/first_start = false/' \
				"$WORK/node-$1.toml"
			sleep 0.5
		done
	) 2>/dev/null &
	PIDS+=($!)
}

# start_backend I ID SERVICE OPTION=VALUE...
start_backend() {
	local i=$1 id=$2 service=$3

	shift 3
	"$KIT/backend" address="$NET.$i:$APP" control="$NET.$i:$CONTROL" \
		id="$id" service="$service" log="$WORK/$id.events" "$@" &
	echo $! > "$WORK/$id.pid"
	PIDS+=($!)
}

# start_client NAME I HOST PATH METHOD BODY-BYTES CONNECTIONS PAUSE-MS
#	DEADLINE-MS SECONDS
start_client() {
	"$KIT/client" "$NET.$2:$OUTBOUND" "$3" "$4" "$5" "$6" "$7" "$8" "$9" \
		"${10}" "$1" "$WORK/$1.events" &
	CLIENT=$!
	PIDS+=($CLIENT)
}

is_ready() {
	exec 9<>"/dev/tcp/$NET.$1/$READY" || return 1
	printf 'GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&9
	read -r -t 2 line <&9
	exec 9<&- 9>&-
	[[ $line == *" 200 "* ]]
}

# Waits until the nodes of these machines say that they are ready.
wait_ready() {
	local i tries

	for i in "$@"; do
		for ((tries = 0; tries < 60; tries++)); do
			is_ready "$i" 2>/dev/null && continue 2
			sleep 0.25
		done
		cat "$WORK/node-$i.log" >&2
		cannot_run "node $i is not ready after 15 s"
	done
}

# Writes record.txt: what was sent, answered and run, in order of time.
write_record() {
	{
		echo "# TROUBLE=${TROUBLE:-1}"
		sort -n "$WORK"/*.events
	} > "$RECORD"
}

# config ROUTES SERVICES: the operator's document with the limits of the pages
service_json() {
	printf '"%s":{"health_path":"/healthz","max_connections":110,' "$1"
	printf '"protocol":"h1","tls":false}'
}

route_json() {
	printf '"r-%s":{"host":"%s.example","prefix":"/%s/","kind":"%s",' \
		"$1" "$1" "$1" "$2"
	printf '"timeout_s":1.2,"target_latency_s":0.5,"priority":1,'
	printf '"service":"%s","max_attempts":%d}' "$1" "${MAX_ATTEMPTS:-2}"
}

# alpha has safe requests, beta has unsafe ones
config_json() {
	printf '{"version":"r7","routes":{%s,%s},"services":{%s,%s},' \
		"$(route_json alpha safe)" "$(route_json beta unsafe)" \
		"$(service_json alpha)" "$(service_json beta)"
	printf '"limits":{"max_header_bytes":16384,'
	printf '"max_body_bytes":67108864,"header_timeout_s":3,'
	printf '"idle_timeout_s":15}}'
}

# Three machines in one zone: alpha on 1 and 3, beta on 2.
start_nodes() {
	start_store "$(config_json)"
	start_node 1 alpha
	start_node 2 beta
	start_node 3 alpha
}

# How a backend spoils its answers: trouble HOW SHARE SECONDS. The time begins
# TROUBLE_AFTER seconds after the call. Nothing with TROUBLE=0.
trouble() {
	local from

	[ "${TROUBLE:-1}" = 0 ] && return
	from=$(awk -v now="$(now)" -v after="$TROUBLE_AFTER" \
		'BEGIN { printf "%.3f", now + after }')
	echo "spoil=$1 share=$2 from=$from" \
		"to=$(awk -v from="$from" -v s="$3" \
			'BEGIN { printf "%.3f", from + s }')"
}

# Takes numbers from the judgement and ends with the status of the case.
finish() {
	local broken=$1 answered=$2 wanted=$3

	[ "$answered" -ge "$wanted" ] ||
		cannot_run "only $answered requests were answered"
	[ "$broken" = 0 ] && exit 0
	exit 1
}
