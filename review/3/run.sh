#!/bin/bash
# Case 3. Exits with 1 if the rule REFUSED was broken, 0 if it held, 2 if the
# case could not run. With TROUBLE=0 no answer is sent a second time. With
# MAX_ATTEMPTS=3 the route allows three attempts instead of two; the same fault
# then breaks the rule TWICE, which also gives 1.
CASE=$(cd "$(dirname "$0")" && pwd)
source "$CASE/../kit/lib.sh"

start_nodes
# The backend of beta rejects every eighth request with 429 and X-Not-Executed,
# all the time. For 5 s, 3 of 100 of its answers come a second time, at the
# point where the next answer of their connection is expected.
TROUBLE_AFTER=10
start_backend 1 i-alpha-1 alpha work_ms=20
start_backend 2 i-beta-2 beta work_ms=10 reject_every=8 \
	$(trouble copy 0.03 5)
start_backend 3 i-alpha-3 alpha work_ms=20
wait_ready 1 2 3
sleep 3
start_client beta-client 1 beta.example /beta/ POST 400 8 0 1200 16
wait "$CLIENT"
sleep 1
write_record

# Unsafe requests that were answered 429, 503, 408 or 421 and have run.
refused=$(awk '$2 == "i-beta-2" && $3 == "runs" { ran[$4] = 1 }
	$2 == "beta-client" && $3 == "got" &&
		$5 ~ /^status=(408|421|429|503)$/ { refused[$4] = 1 }
	END {
		for (id in refused)
			n += ran[id]
		print n + 0
	}' "$RECORD")
# Work that ran for the refused request and for the repeat of its client.
double=$(awk '$2 == "i-beta-2" && $3 == "runs" { ran[$4] = 1 }
	$2 == "beta-client" && $3 == "got" && $5 ~ /^status=(429|503)$/ &&
		$4 !~ /r$/ { refused[$4] = 1 }
	END {
		for (id in refused)
			n += ran[id] && ran[id "r"]
		print n + 0
	}' "$RECORD")
# Runs of one request under one id.
twice=$(awk '$2 == "i-beta-2" && $3 == "runs" && ++runs[$4] == 2 { n++ }
	END { print n + 0 }' "$RECORD")
answered=$(grep -c ' got .* status=200 ' "$RECORD")
echo "unsafe requests refused that have run: $refused (any breaks the rule" \
	"REFUSED), of which $double ran again when the client repeated them;" \
	"run twice under one id: $twice; answered: $answered" | tee -a "$RECORD"
finish $((refused + twice > 0)) "$answered" 500
