#!/bin/bash
# Case 1. Exits with 1 if the rule LOST was broken, 0 if it held, 2 if the case
# could not run. With TROUBLE=0 no answer is spoiled.
CASE=$(cd "$(dirname "$0")" && pwd)
source "$CASE/../kit/lib.sh"

start_nodes
# One backend of three spoils 2 of 100 answers for 5.5 s.
TROUBLE_AFTER=10
start_backend 1 i-alpha-1 alpha work_ms=20 $(trouble junk 0.02 5.5)
start_backend 2 i-beta-2 beta work_ms=300
start_backend 3 i-alpha-3 alpha work_ms=20
wait_ready 1 2 3
sleep 3
# All clients are on machine 1. Those of beta send unsafe requests, each on a
# kept connection; beta is sound.
start_client alpha-client 1 alpha.example /alpha/ GET 0 6 20 1200 16
start_client beta-client 1 beta.example /beta/ POST 400 8 0 1200 16
wait "$CLIENT"
sleep 1
write_record

# Requests that came on a kept connection, were passed on to the sound backend
# of beta and whose connection was closed without an answer.
lost=$(awk '$2 == "i-beta-2" && $3 == "runs" { ran[$4] = 1 }
	$2 == "beta-client" && $3 == "closed" && $5 == "kept=1" {
		closed[$4] = 1
	}
	END {
		for (id in closed)
			n += ran[id]
		print n + 0
	}' "$RECORD")
ends=$(grep -c ' node-1 ended status=' "$RECORD")
answered=$(grep -c ' got .* status=200 ' "$RECORD")
echo "requests lost: $lost (more than 3 break the rule LOST);" \
	"ends of the process of node 1: $ends; answered: $answered" |
	tee -a "$RECORD"
finish $((lost > 3)) "$answered" 500
