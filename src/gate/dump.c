#include "gate/gate.h"

static json_t *dump_class(const struct gate_class *class)
{
	return json_pack("{s:s, s:f, s:i, s:i, s:f, s:f, s:f}", "kind",
			 class->kind, "weight", class->weight, "running",
			 (int)class->running_count, "waiting",
			 (int)class->waiting_count, "service_us",
			 class->service_us, "spread_us", class->spread_us,
			 "best_us", class->best_us);
}

static json_t *dump_classes(const struct gate *gate)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < gate->class_count; i++)
		json_array_append_new(list, dump_class(&gate->classes[i]));
	return list;
}

/* Omits tenants that have no queued or running requests. */
static json_t *dump_tenants(const struct gate *gate)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < gate->tenant_count; i++) {
		const struct gate_tenant *tenant = &gate->tenants[i];

		if (!tenant->waiting_count && !tenant->running_count)
			continue;
		json_array_append_new(
			list,
			json_pack("{s:s, s:i, s:i}", "tenant", tenant->name,
				  "running", (int)tenant->running_count,
				  "waiting", (int)tenant->waiting_count));
	}
	return list;
}

static json_t *dump_refused(const struct gate *gate)
{
	json_t *refused = json_object();
	enum gate_refusal i;

	for (i = GATE_REFUSED_CLOSED; i <= GATE_REFUSED_BUSY; i++)
		json_object_set_new(
			refused, gate_refusal_name(i),
			json_integer((json_int_t)gate->totals.refused[i]));
	return refused;
}

json_t *gate_dump(const struct gate *gate, int64_t now_us)
{
	return json_pack(
		"{s:s, s:i, s:i, s:f, s:i, s:i, s:f, s:f, s:i, s:o, s:o, s:o}",
		"state", gate_state_name(gate->state), "slots",
		(int)gate->limit.slots, "limit", (int)gate_limit(gate, now_us),
		"learned_limit", gate->limit.current, "running",
		(int)gate->running_count, "waiting", (int)gate->waiting_count,
		"load", gate_load(gate), "rate_limit",
		gate->rate.limited ? gate->rate.per_s : -1.0, "work_pct",
		(int)gate_work_pct(gate, now_us), "refused", dump_refused(gate),
		"classes", dump_classes(gate), "tenants", dump_tenants(gate));
}
