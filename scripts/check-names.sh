#!/bin/sh
# Checks that src/ and include/, except for tests, contain no names of the
# target platform: header fields, paths, keys and fields of documents.
names='X-Request-Id|X-Deadline-Ms|X-Response-Stamp|X-Target-Instance'
names="$names|Server-Limit|Server-Leaving|X-Caller-Service|X-Not-Executed|X-Server-Load|X-Instance-Id"
names="$names|/-/|Instances\\.|weighted_clusters|target_latency_s"
names="$names|max_attempts|op/config|cold_left_s|heartbeat_addr"
names="$names|has_more|as_of|stale_ok|ttl_s_time"
names="$names|op/rollout|status/rollout|target_version|over_s\""
names="$names|X-Tenant|api_keys"
status=0
for file in $(find src include -name '*.c' -o -name '*.h' -o -name '*.cc' |
	grep -v '_test\.[ch]$')
do
	if grep -nE "$names" "$file" /dev/null
	then
		status=1
	fi
done
# Only the files listed here may include headers of platform/; all other files
# use the types of the project.
for file in $(grep -rlE '"platform/' src)
do
	case $file in
	src/call/announce.c | src/call/names.c | src/node/ready.c | \
		src/profile/translation.h | src/rollout/controller.c | \
		src/rollout/net.c | src/store/store.c) ;;
	*)
		echo "$file: may not include platform/"
		status=1
		;;
	esac
done
exit $status
