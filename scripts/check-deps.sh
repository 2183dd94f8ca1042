#!/bin/sh
# Checks that each folder of src/ includes only headers of folders that
# precede it in the order below. A cyclic dependency would prevent that a
# folder is read, tested or used in another program without the rest.
order="base os event wire http store profile membership spread rollout quarantine route quota retries gate
	call operator node"
status=0
rank=0
for slice in $order
do
	rank=$((rank + 1))
	eval "rank_$slice=$rank"
done
for slice in $order
do
	eval "mine=\$rank_$slice"
	for file in src/"$slice"/*.[ch]
	do
		[ -e "$file" ] || continue
		for used in $(sed -n 's,^#include "\([a-z]*\)/.*,\1,p' "$file" | sort -u)
		do
			eval "theirs=\${rank_$used:-0}"
			if [ "$theirs" -gt "$mine" ]
			then
				echo "$file: slice $slice may not include $used"
				status=1
			fi
		done
	done
done
exit $status
