#include "event/turn.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "os/clock.h"

/* Shorter turns matter little to target latencies of 100 ms and more. */
enum { LONG_TURN_MS = 20 };

HISTOGRAM(turn_time, "loop.turn_us",
	  "Time of a turn of the event loop, without the wait for events");
COUNTER(long_turns, "loop.long_turns",
	"Turns of the event loop of 20 ms or more");

void turn_begin(struct turn *turn, int64_t now_us)
{
	memset(turn, 0, sizeof(*turn));
	turn->started_us = now_us;
	turn->callback_us = now_us;
}

void turn_callback_ended(struct turn *turn, const char *name, int64_t now_us)
{
	int64_t took_us = now_us - turn->callback_us;

	turn->callbacks++;
	if (!turn->longest || took_us > turn->longest_us) {
		turn->longest_us = took_us;
		turn->longest = name;
		turn->longest_work = turn->work;
	}
	turn->callback_us = now_us;
	turn->work = NULL;
}

void turn_end(struct turn *turn, int64_t now_us)
{
	int64_t took_us = now_us - turn->started_us;

	histogram_add(&turn_time, took_us);
	if (took_us < LONG_TURN_MS * US_PER_MS)
		return;
	counter_add(&long_turns, 1);
	log_info("loop", "long_turn",
		 LOG_NUMBER("took_ms", took_us / US_PER_MS),
		 LOG_NUMBER("callbacks", turn->callbacks),
		 LOG_TEXT("longest", turn->longest),
		 LOG_NUMBER("longest_ms", turn->longest_us / US_PER_MS),
		 LOG_TEXT("work", turn->longest_work));
}
