#ifndef RETRIES_FRAMES_H
#define RETRIES_FRAMES_H

#include "retries/retries_defs.h"
#include "wire/codec.h"
#include "wire/frame_types.h"

/**
 * DOC: retries frames
 *
 *	RETRIES_REPORT [service, [share_permille, firsts, wanted, taken] x 2]
 *	RETRIES_NEWS   [service, chance_permille, chance_permille]
 */

enum frame_retries {
	FRAME_RETRIES_REPORT = FRAME_RANGE_RETRIES,
	FRAME_RETRIES_NEWS,
};

void retries_report_encode(struct encoder *encoder,
			   const struct retries_report *report);
bool retries_report_decode(const struct message *message,
			   struct retries_report *report, struct error *err);
void retries_news_encode(struct encoder *encoder,
			 const struct retries_news *news);
bool retries_news_decode(const struct message *message,
			 struct retries_news *news, struct error *err);

#endif
