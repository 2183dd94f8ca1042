#!/bin/sh
# Writes the table of docs/MEASUREMENTS.md from docs/measurements.jsonl: median,
# minimum and maximum of the runs of each figure.
page=docs/MEASUREMENTS.md
table=$(mktemp)
awk '
function member(line, name,    at, rest) {
	at = index(line, "\"" name "\":")
	if (!at)
		return ""
	rest = substr(line, at + length(name) + 3)
	if (substr(rest, 1, 1) == "\"") {
		rest = substr(rest, 2)
		return substr(rest, 1, index(rest, "\"") - 1)
	}
	match(rest, /^[-+0-9.e]+/)
	return substr(rest, RSTART, RLENGTH)
}
{
	key = member($0, "name")
	n = split("nodes mode policy kind changed records", words, " ")
	for (j = 1; j <= n; j++)
		if (member($0, words[j]) != "")
			key = key ", " words[j] " " member($0, words[j])
	if (!(key in unit)) {
		order[++count] = key
		unit[key] = member($0, "unit")
	}
	runs[key]++
	values[key, runs[key]] = member($0, "value") + 0
	if (member($0, "exit") + 0 != 0)
		missed[key]++
}
END {
	print "| figure | median | least | greatest | unit | runs | in a run that missed a bound |"
	print "|---|---|---|---|---|---|---|"
	for (i = 1; i <= count; i++) {
		key = order[i]
		n = runs[key]
		for (j = 1; j <= n; j++)
			v[j] = values[key, j]
		for (j = 2; j <= n; j++)
			for (k = j; k > 1 && v[k - 1] > v[k]; k--) {
				t = v[k]; v[k] = v[k - 1]; v[k - 1] = t
			}
		printf "| `%s` | %.4g | %.4g | %.4g | %s | %d | %d |\n", key,
			v[int((n + 1) / 2)], v[1], v[n], unit[key], n,
			missed[key] + 0
	}
}' docs/measurements.jsonl >"$table"
awk -v table="$table" '
/^<!-- table begins -->$/ {
	print
	while ((getline line < table) > 0)
		print line
	skip = 1
	next
}
/^<!-- table ends -->$/ { skip = 0 }
!skip { print }' "$page" >"$page.new" && mv "$page.new" "$page"
rm -f "$table"
