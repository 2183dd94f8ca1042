#!/bin/sh
# Runs benches and appends their figures to docs/measurements.jsonl, one per
# line. Keeps the figures of earlier runs of the same commit, so that several
# runs show the variation. Then updates the table in docs/MEASUREMENTS.md.
# Usage: [RUNS=n] bench.sh BUILD_DIRECTORY BENCH...
build=$1
shift
out=docs/measurements.jsonl
status=0
run=0
while [ "$run" -lt "${RUNS:-1}" ]
do
	run=$((run + 1))
	for bench in "$@"
	do
		"$build/bench_$bench" "$build" >"$build/$bench.out"
		code=$?
		cat "$build/$bench.out"
		# Records a bench that missed a bound with its exit status, so
		# that the table shows the failure.
		sed "s/^{/{\"bench\":\"$bench\",\"exit\":$code,/" \
			"$build/$bench.out" >>"$out"
		[ "$code" -eq 0 ] || status=1
	done
done
scripts/measurements.sh
exit $status
