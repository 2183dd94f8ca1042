"""Read metrics with Prometheus's own client library and check what must hold.

usage: read_metrics.py FILE SERVICE COUNT

Exit status 0 if the text is well formed, each histogram's buckets add up, and
COUNT requests of SERVICE were answered with 2xx.
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
    assert len(names) == len(set(names)), "a metric comes twice"
    return {family.name: family for family in families}


def check_histogram(family):
    last = {}
    for sample in family.samples:
        labels = dict(sample.labels)
        bound = labels.pop("le", None)
        key = tuple(sorted(labels.items()))
        if sample.name.endswith("_bucket"):
            assert sample.value >= last.get(key, 0), "buckets fall"
            last[key] = sample.value
            assert bound, "a bucket without bound"
        elif sample.name.endswith("_count"):
            assert sample.value == last[key], "buckets do not add up"


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
