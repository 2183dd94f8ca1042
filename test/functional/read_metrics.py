"""Parse metrics with the Prometheus client library and check them.

usage: read_metrics.py FILE SERVICE COUNT

Exits with status 0 if the text is well formed, the buckets of each histogram
add up, and exactly COUNT requests of SERVICE were answered with 2xx.
"""

import sys

from prometheus_client.parser import text_string_to_metric_families

GAUGES = (
    "geraniumplank_config_version",
    "geraniumplank_membership_live",
    "geraniumplank_gate_limit",
    "geraniumplank_gate_waiting",
    "geraniumplank_call_retry_tokens",
    "geraniumplank_platform_last_answer_age_ms",
)


def read(path):
    with open(path, encoding="utf-8") as file:
        families = list(text_string_to_metric_families(file.read()))
    names = [family.name for family in families]
    assert len(names) == len(set(names)), "duplicate metric"
    return {family.name: family for family in families}


def check_histogram(family):
    last = {}
    for sample in family.samples:
        labels = dict(sample.labels)
        bound = labels.pop("le", None)
        key = tuple(sorted(labels.items()))
        if sample.name.endswith("_bucket"):
            assert sample.value >= last.get(key, 0), "buckets decrease"
            last[key] = sample.value
            assert bound, "bucket without label le"
        elif sample.name.endswith("_count"):
            assert sample.value == last[key], "count is not the last bucket"


def main(path, service, count):
    families = read(path)
    for name in GAUGES:
        assert families[name].type == "gauge", name
    assert families["geraniumplank_call_started"].type == "counter"
    for family in families.values():
        if family.type == "histogram":
            check_histogram(family)
    answered = [
        sample.value
        for sample in families["geraniumplank_call_seconds"].samples
        if sample.name.endswith("_count")
        and sample.labels == {"service": service, "outcome": "2xx"}
    ]
    assert answered == [float(count)], f"{answered} answered, not {count}"


main(sys.argv[1], sys.argv[2], int(sys.argv[3]))
