#include "retries/frames.h"

enum { ACCOUNT_FIELDS = 4, FIELDS = 1 + RETRIES_ACCOUNTS };

void retries_report_encode(struct encoder *encoder,
			   const struct retries_report *report)
{
	uint32_t i;

	encoder_begin(encoder, FRAME_RETRIES_REPORT, FIELDS);
	encode_text(encoder, report->service);
	for (i = 0; i < RETRIES_ACCOUNTS; i++) {
		encode_array(encoder, ACCOUNT_FIELDS);
		encode_uint(encoder, report->share_permille[i]);
		encode_uint(encoder, report->use[i].firsts);
		encode_uint(encoder, report->use[i].wanted);
		encode_uint(encoder, report->use[i].taken);
	}
}

static bool decode_account(const msgpack_object *object,
			   uint32_t *share_permille, struct retry_use *use,
			   struct error *err)
{
	const msgpack_object *fields;
	uint32_t count;

	if (!decode_array(object, &fields, &count, "account", err))
		return false;
	if (count != ACCOUNT_FIELDS) {
		error_set(err, ERROR_PROTOCOL,
			  "account has a wrong number of fields: %u", count);
		return false;
	}
	return decode_uint32(&fields[0], RETRIES_PERMILLE, share_permille,
			     "share", err) &&
	       decode_uint32(&fields[1], RETRIES_COUNT_MAX, &use->firsts,
			     "firsts", err) &&
	       decode_uint32(&fields[2], RETRIES_COUNT_MAX, &use->wanted,
			     "wanted", err) &&
	       decode_uint32(&fields[3], RETRIES_COUNT_MAX, &use->taken,
			     "taken", err);
}

static bool decode_service(const struct message *message, char *service,
			   struct error *err)
{
	return decode_count(message, FIELDS, "retries", err) &&
	       decode_text(&message->fields[0], service, SERVICE_NAME_SIZE,
			   "service", err);
}

bool retries_report_decode(const struct message *message,
			   struct retries_report *report, struct error *err)
{
	uint32_t i;

	if (!decode_service(message, report->service, err))
		return false;
	for (i = 0; i < RETRIES_ACCOUNTS; i++)
		if (!decode_account(&message->fields[1 + i],
				    &report->share_permille[i], &report->use[i],
				    err))
			return false;
	return true;
}

void retries_news_encode(struct encoder *encoder,
			 const struct retries_news *news)
{
	uint32_t i;

	encoder_begin(encoder, FRAME_RETRIES_NEWS, FIELDS);
	encode_text(encoder, news->service);
	for (i = 0; i < RETRIES_ACCOUNTS; i++)
		encode_uint(encoder, news->chance_permille[i]);
}

bool retries_news_decode(const struct message *message,
			 struct retries_news *news, struct error *err)
{
	uint32_t i;

	if (!decode_service(message, news->service, err))
		return false;
	for (i = 0; i < RETRIES_ACCOUNTS; i++)
		if (!decode_uint32(&message->fields[1 + i], RETRIES_PERMILLE,
				   &news->chance_permille[i], "chance", err))
			return false;
	return true;
}
