#include "membership/fanout.h"

uint32_t fanout_to_centre(const struct fanout *fanout,
			  const struct data_centre *centre, uint32_t count_max,
			  const struct fanout_frame *frame)
{
	const struct members *members = fanout->members;
	uint32_t start = random_below(fanout->random, centre->count);
	uint32_t sent = 0;
	uint32_t i;

	for (i = 0; i < centre->count && sent < count_max; i++) {
		const struct member *member =
			centre->members[(start + i) % centre->count];
		struct wire_conn *conn;

		if (member == members->self ||
		    !members_reachable(members, member))
			continue;
		conn = wire_hub_connect(fanout->hub, &member->record.address);
		wire_conn_send(conn, frame->data, frame->size);
		sent++;
	}
	return sent;
}

uint32_t fanout_to_all(const struct fanout *fanout, uint32_t local_max,
		       uint32_t remote_max, const struct fanout_frame *frame)
{
	const struct members *members = fanout->members;
	const struct data_centre *centre;
	uint32_t sent = 0;

	for (centre = members->data_centres; centre; centre = centre->next)
		sent += fanout_to_centre(fanout, centre,
					 centre == members->home ? local_max
								 : remote_max,
					 frame);
	return sent;
}

uint32_t fanout_to_one(const struct fanout *fanout,
		       const struct fanout_frame *frame)
{
	const struct members *members = fanout->members;
	const struct data_centre *chosen = members->home;
	const struct data_centre *centre;
	uint32_t seen = 0;

	for (centre = members->data_centres; centre; centre = centre->next)
		if (random_below(fanout->random, ++seen) == 0)
			chosen = centre;
	return fanout_to_centre(fanout, chosen, 1, frame);
}
