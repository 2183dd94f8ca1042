#include "gate/scheduler.h"

#include <string.h>

#include <utlist.h>
#include <xxhash.h>

/* Least service time in a priority; shorter times are below timer precision. */
#define WORK_MIN_US 1000.0

static const char any_kind[KIND_NAME_SIZE];
static const char any_tenant[TENANT_SIZE];

/* Returns the level of a weight. If all levels are in use by other weights,
 * returns the first one, whatever its weight. */
static struct gate_level *level_get(struct gate *gate, double weight)
{
	struct gate_level *unused = NULL;
	struct gate_level *level;
	uint32_t i;

	for (i = 0; i < gate->level_count; i++) {
		level = &gate->levels[i];
		if (level->weight == weight)
			return level;
		if (!level->waiting_count && !level->running_count)
			unused = level;
	}
	if (gate->level_count < GATE_CLASSES_MAX)
		unused = &gate->levels[gate->level_count++];
	if (!unused)
		return &gate->levels[0];
	memset(unused, 0, sizeof(*unused));
	unused->weight = weight;
	return unused;
}

static struct gate_class *class_get_unused(struct gate *gate)
{
	uint32_t i;

	if (gate->class_count < GATE_CLASSES_MAX)
		return &gate->classes[gate->class_count++];
	for (i = 0; i < GATE_CLASSES_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		if (!class->waiting_count && !class->running_count)
			return class;
	}
	return NULL;
}

/* Returns the class of the nearest weight, used if no class is unused. */
static struct gate_class *class_nearest(struct gate *gate, double weight)
{
	struct gate_class *best = &gate->classes[0];
	uint32_t i;

	for (i = 1; i < gate->class_count; i++) {
		double gap = gate->classes[i].weight - weight;
		double best_gap = best->weight - weight;

		if (gap * gap < best_gap * best_gap)
			best = &gate->classes[i];
	}
	return best;
}

static struct gate_class *class_get(struct gate *gate, const char *kind,
				    double weight)
{
	struct gate_class *class;
	uint32_t i;

	for (i = 0; i < gate->class_count; i++) {
		class = &gate->classes[i];
		if (class->weight == weight && !strcmp(class->kind, kind))
			return class;
	}
	class = class_get_unused(gate);
	if (!class)
		return class_nearest(gate, weight);
	memset(class, 0, sizeof(*class));
	memcpy(class->kind, kind, KIND_NAME_SIZE);
	class->weight = weight;
	return class;
}

/* Assigns a level to an unused class: its former level may have been reused
 * for another weight. */
static void class_assign_level(struct gate *gate, struct gate_class *class)
{
	if (class->waiting_count || class->running_count)
		return;
	class->level =
		(uint32_t)(level_get(gate, class->weight) - gate->levels);
}

static bool tenant_is_idle(const struct gate_tenant *tenant)
{
	return !tenant->waiting_count && !tenant->running_count;
}

/* Returns the tenant without requests that has the least tag, or NULL. A reused
 * entry starts with a tag of 0; the least tag gives its former tenant the least
 * advantage. */
static struct gate_tenant *tenant_to_reuse(struct gate *gate)
{
	struct gate_tenant *best = NULL;
	uint32_t i;

	for (i = 0; i < GATE_TENANTS_MAX; i++) {
		struct gate_tenant *tenant = &gate->tenants[i];

		if (!tenant_is_idle(tenant))
			continue;
		if (!best || tenant->tag < best->tag)
			best = tenant;
	}
	return best;
}

static struct gate_tenant *tenant_get(struct gate *gate, const char *name)
{
	uint64_t hash = XXH3_64bits(name, strlen(name));
	struct gate_tenant *tenant;
	uint32_t i;

	for (i = 0; i < gate->tenant_count; i++) {
		tenant = &gate->tenants[i];
		if (tenant->hash == hash && !strcmp(tenant->name, name))
			return tenant;
	}
	if (gate->tenant_count < GATE_TENANTS_MAX)
		tenant = &gate->tenants[gate->tenant_count++];
	else
		tenant = tenant_to_reuse(gate);
	/* All entries have requests: several tenants share one entry. */
	if (!tenant)
		return &gate->tenants[hash % GATE_TENANTS_MAX];
	memset(tenant, 0, sizeof(*tenant));
	memcpy(tenant->name, name, TENANT_SIZE);
	tenant->hash = hash;
	return tenant;
}

static struct gate_class *class_of(struct gate *gate,
				   const struct gate_request *request)
{
	return &gate->classes[request->class_index];
}

static struct gate_tenant *tenant_of(struct gate *gate,
				     const struct gate_request *request)
{
	return &gate->tenants[request->tenant_index];
}

static struct gate_level *level_of(struct gate *gate,
				   const struct gate_request *request)
{
	return &gate->levels[class_of(gate, request)->level];
}

void scheduler_classify(struct gate *gate, struct gate_request *request)
{
	bool fair = gate->options.fair;
	struct gate_class *class;
	struct gate_tenant *tenant;

	/* Without fairness all requests share one class and one tenant. */
	class = fair ? class_get(gate, request->kind, request->weight)
		     : class_get(gate, any_kind, 1);
	class_assign_level(gate, class);
	tenant = tenant_get(gate, fair ? request->tenant : any_tenant);
	request->class_index = (uint32_t)(class - gate->classes);
	request->tenant_index = (uint32_t)(tenant - gate->tenants);
}

/* Returns the least tag of a tenant with queued requests; without any, the
 * virtual time. A lower tag of a tenant whose queue was empty is raised to this
 * value, so that idle time does not count as credit. */
static double tenant_base(const struct gate *gate)
{
	double base = gate->tenant_virtual_time;
	bool found = false;
	uint32_t i;

	for (i = 0; i < gate->tenant_count; i++) {
		const struct gate_tenant *tenant = &gate->tenants[i];

		if (!tenant->waiting_count || (found && tenant->tag >= base))
			continue;
		base = tenant->tag;
		found = true;
	}
	return base;
}

static void catch_up_tags(struct gate *gate, const struct gate_request *request)
{
	struct gate_level *level = level_of(gate, request);
	struct gate_tenant *tenant = tenant_of(gate, request);
	double base;

	if (!level->waiting_count && level->tag < gate->level_virtual_time)
		level->tag = gate->level_virtual_time;
	if (tenant->waiting_count)
		return;
	base = tenant_base(gate);
	if (tenant->tag < base)
		tenant->tag = base;
}

uint32_t scheduler_rank(const struct gate_request *request)
{
	if (request->rank < 0 || request->rank > KIND_PRIORITY_MAX)
		return GATE_RANKS - 1;
	return (uint32_t)request->rank;
}

/* Returns the counter of the queued requests that are ranked like @request. */
static uint32_t *rank_count(struct gate *gate,
			    const struct gate_request *request)
{
	return &gate->rank_counts[scheduler_rank(request)]
				 [class_of(gate, request)->weight > 0];
}

static int by_deadline(const struct gate_request *a,
		       const struct gate_request *b)
{
	return a->deadline_us < b->deadline_us
		       ? -1
		       : a->deadline_us > b->deadline_us;
}

void scheduler_enqueue(struct gate *gate, struct gate_request *request)
{
	struct gate_class *class = class_of(gate, request);

	catch_up_tags(gate, request);
	if (gate->options.fair)
		DL_INSERT_INORDER(class->waiting, request, by_deadline);
	else
		DL_APPEND(class->waiting, request);
	class->waiting_count++;
	level_of(gate, request)->waiting_count++;
	tenant_of(gate, request)->waiting_count++;
	(*rank_count(gate, request))++;
	gate->waiting_count++;
	request->phase = GATE_WAITING;
}

void scheduler_dequeue(struct gate *gate, struct gate_request *request)
{
	struct gate_class *class = class_of(gate, request);

	DL_DELETE(class->waiting, request);
	class->waiting_count--;
	level_of(gate, request)->waiting_count--;
	tenant_of(gate, request)->waiting_count--;
	(*rank_count(gate, request))--;
	gate->waiting_count--;
	request->phase = GATE_IDLE;
}

static void charge(struct gate *gate, const struct gate_request *request,
		   double used_us)
{
	struct gate_level *level = level_of(gate, request);

	level->tag += used_us / (level->weight > 0 ? level->weight : 1);
	tenant_of(gate, request)->tag += used_us;
}

static void count_running(struct gate *gate, const struct gate_request *request,
			  int change)
{
	struct gate_level *level = level_of(gate, request);

	class_of(gate, request)->running_count += change;
	level->running_count += change;
	tenant_of(gate, request)->running_count += change;
	gate->running_count += change;
	if (level->weight <= 0)
		gate->background_count += change;
}

void scheduler_start(struct gate *gate, struct gate_request *request,
		     double estimate_us)
{
	struct gate_level *level = level_of(gate, request);
	struct gate_tenant *tenant = tenant_of(gate, request);

	if (level->weight > 0 && gate->level_virtual_time < level->tag)
		gate->level_virtual_time = level->tag;
	if (gate->tenant_virtual_time < tenant->tag)
		gate->tenant_virtual_time = tenant->tag;
	DL_APPEND(gate->running, request);
	count_running(gate, request, 1);
	request->charged_us = estimate_us;
	request->phase = GATE_RUNNING;
	charge(gate, request, estimate_us);
}

void scheduler_end(struct gate *gate, struct gate_request *request,
		   double used_us)
{
	charge(gate, request, used_us - request->charged_us);
	DL_DELETE(gate->running, request);
	count_running(gate, request, -1);
	request->phase = GATE_IDLE;
}

/*
 * With by_work, the priority is the weight divided by the average service time.
 * A short request delays others little. Its caller may be a request that holds
 * a slot at another upstream while it waits, and whose work is lost if the
 * short request is refused. In a replayed load of 81 nodes in which one service
 * was short of slots, 23 of 100 requests failed because a look-up of 60 ms was
 * refused, and 3 of 100 with this priority.
 */
double scheduler_priority(const struct gate *gate,
			  const struct gate_class *class)
{
	double work_us = class->long_average_us > 0 ? class->long_average_us
						    : gate->service_us;

	if (!gate->options.by_work)
		return class->weight;
	return class->weight / (work_us > WORK_MIN_US ? work_us : WORK_MIN_US);
}

static bool level_before(const struct gate_level *a, const struct gate_level *b)
{
	if ((a->weight > 0) != (b->weight > 0))
		return a->weight > 0;
	return a->tag < b->tag;
}

static const struct gate_level *choose_level(const struct gate *gate,
					     bool background)
{
	const struct gate_level *best = NULL;
	uint32_t i;

	for (i = 0; i < gate->level_count; i++) {
		const struct gate_level *level = &gate->levels[i];

		if (!level->waiting_count ||
		    (!background && level->weight <= 0))
			continue;
		if (!best || level_before(level, best))
			best = level;
	}
	return best;
}

static bool request_before(const struct gate *gate,
			   const struct gate_request *a,
			   const struct gate_request *b)
{
	double tag_a = gate->tenants[a->tenant_index].tag;
	double tag_b = gate->tenants[b->tenant_index].tag;

	if (tag_a != tag_b)
		return tag_a < tag_b;
	return a->deadline_us < b->deadline_us;
}

/* Returns the first in order among @chosen, which may be NULL, and the queued
 * requests of @class. */
static struct gate_request *first_of(const struct gate *gate,
				     const struct gate_class *class,
				     struct gate_request *chosen)
{
	struct gate_request *request;

	DL_FOREACH(class->waiting, request) {
		if (!chosen || request_before(gate, request, chosen))
			chosen = request;
	}
	return chosen;
}

/* Returns the first rank of the queued requests that may start. */
static uint32_t first_rank(const struct gate *gate, bool background)
{
	uint32_t rank;

	for (rank = 0; rank + 1 < GATE_RANKS; rank++)
		if (gate->rank_counts[rank][true] ||
		    (background && gate->rank_counts[rank][false]))
			break;
	return rank;
}

/* Returns the first in order among @chosen, which may be NULL, and the queued
 * requests of @class with the rank @rank. */
static struct gate_request *first_ranked(const struct gate *gate,
					 const struct gate_class *class,
					 uint32_t rank,
					 struct gate_request *chosen)
{
	struct gate_request *request;

	DL_FOREACH(class->waiting, request) {
		if (scheduler_rank(request) != rank)
			continue;
		if (!chosen || request_before(gate, request, chosen))
			chosen = request;
	}
	return chosen;
}

/* Chooses from the requests of the first rank, and of these from the classes
 * with the greatest priority only. The requests of classes with equal priority
 * are ordered as in a single queue. */
static struct gate_request *choose_strictly(const struct gate *gate,
					    bool background)
{
	uint32_t rank = first_rank(gate, background);
	struct gate_request *chosen = NULL;
	double best = 0;
	uint32_t i;

	for (i = 0; i < gate->class_count; i++) {
		const struct gate_class *class = &gate->classes[i];
		struct gate_request *first;
		double class_priority;

		if (!class->waiting_count ||
		    (!background && class->weight <= 0))
			continue;
		class_priority = scheduler_priority(gate, class);
		if (chosen && class_priority < best)
			continue;
		first = first_ranked(gate, class, rank,
				     class_priority > best ? NULL : chosen);
		if (!first)
			continue;
		chosen = first;
		best = class_priority;
	}
	return chosen;
}

struct gate_request *scheduler_choose(const struct gate *gate, bool background)
{
	const struct gate_level *level;
	struct gate_request *chosen = NULL;
	uint32_t i;

	if (gate->options.fair && gate->options.strict)
		return choose_strictly(gate, background);
	level = choose_level(gate, background);
	if (level && !gate->options.fair)
		return gate->classes[0].waiting;
	for (i = 0; level && i < gate->class_count; i++)
		if (&gate->levels[gate->classes[i].level] == level)
			chosen = first_of(gate, &gate->classes[i], chosen);
	return chosen;
}

static void count_class(const struct gate_class *class,
			struct scheduler_backlog *backlog)
{
	const struct gate_request *request;

	DL_FOREACH(class->waiting, request) {
		if (!backlog->counts[request->tenant_index]++)
			backlog->tenants++;
		backlog->requests++;
	}
}

void scheduler_count_backlog(const struct gate *gate,
			     const struct gate_request *request,
			     struct scheduler_backlog *backlog)
{
	uint32_t level = gate->classes[request->class_index].level;
	uint32_t i;

	memset(backlog, 0, sizeof(*backlog));
	for (i = 0; i < gate->class_count; i++) {
		if (gate->classes[i].level == level)
			count_class(&gate->classes[i], backlog);
	}
}

bool scheduler_exceeds_share(const struct gate *gate,
			     const struct gate_request *request)
{
	struct scheduler_backlog backlog;
	uint32_t own;

	scheduler_count_backlog(gate, request, &backlog);
	own = backlog.counts[request->tenant_index];
	return backlog.tenants > 1 && own * backlog.tenants > backlog.requests;
}

/* Returns the last request in the queue of @class of the tenant that has the
 * most requests there, or NULL if no tenant has more than @count_max. */
static struct gate_request *
last_of_largest_tenant(const struct gate_class *class, uint32_t count_max)
{
	struct scheduler_backlog backlog = { 0 };
	struct gate_request *request;
	struct gate_request *last = NULL;

	count_class(class, &backlog);
	DL_FOREACH(class->waiting, request) {
		uint32_t own = backlog.counts[request->tenant_index];

		if (own <= count_max && !(last && own == count_max))
			continue;
		count_max = own;
		last = request;
	}
	return last;
}

static const struct gate_class *lightest_class(const struct gate *gate,
					       double below)
{
	const struct gate_class *lightest = NULL;
	uint32_t i;

	for (i = 0; i < gate->class_count; i++) {
		const struct gate_class *class = &gate->classes[i];

		if (!class->waiting_count || class->weight >= below)
			continue;
		below = class->weight;
		lightest = class;
	}
	return lightest;
}

/* Returns the last queued request of the lowest rank below that of @request,
 * or NULL. */
static struct gate_request *
last_of_lower_rank(const struct gate *gate, const struct gate_request *request)
{
	uint32_t lowest = scheduler_rank(request) + 1;
	struct gate_request *queued;
	struct gate_request *last = NULL;
	uint32_t i;

	for (i = 0; i < gate->class_count; i++)
		DL_FOREACH(gate->classes[i].waiting, queued) {
			if (scheduler_rank(queued) < lowest)
				continue;
			lowest = scheduler_rank(queued);
			last = queued;
		}
	return last;
}

static struct gate_request *
victim_of_equal_rank(const struct gate *gate,
		     const struct gate_request *request)
{
	const struct gate_class *own = &gate->classes[request->class_index];
	const struct gate_class *lighter = NULL;
	struct scheduler_backlog backlog = { 0 };

	if (gate->waiting_count >= gate->options.queue_max)
		lighter = lightest_class(gate, request->weight);
	if (lighter)
		return last_of_largest_tenant(lighter, 0);
	count_class(own, &backlog);
	return last_of_largest_tenant(
		own, backlog.counts[request->tenant_index] + 1);
}

struct gate_request *scheduler_victim(const struct gate *gate,
				      const struct gate_request *request)
{
	bool full = gate->waiting_count >= gate->options.queue_max;
	struct gate_request *victim = NULL;

	if (!gate->options.strict)
		return victim_of_equal_rank(gate, request);
	if (full)
		victim = last_of_lower_rank(gate, request);
	if (!victim)
		victim = victim_of_equal_rank(gate, request);
	return victim && scheduler_rank(victim) >= scheduler_rank(request)
		       ? victim
		       : NULL;
}
