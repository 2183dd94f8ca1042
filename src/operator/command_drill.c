#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "operator/arguments.h"
#include "operator/command.h"
#include "operator/exchange.h"
#include "operator/remote.h"

enum { NETWORKS_MAX = 32 };

static const char summary[] =
	"Rehearses a partition: the node that is asked behaves as if the\n"
	"networks given were cut off, until --off or its restart. Without\n"
	"arguments, shows what is cut off. Do it on every node of a data\n"
	"centre to cut the whole of it off.";

static void print_networks(const json_t *json)
{
	const json_t *list = json_object_get(json, "networks");
	const json_t *item;
	size_t i;

	if (!json_array_size(list))
		puts("nothing is cut off");
	json_array_foreach(list, i, item)
		printf("cut off: %s\n", json_string_value(item));
}

static int replace_networks(const struct arguments *args,
			    const struct arg_str *networks)
{
	struct remote_request request = {
		.method = "PUT",
		.path = "/v1/drill",
		.content_type = "application/json",
	};
	json_t *list = json_array();
	json_t *json;
	char *body;
	int status;
	int i;

	for (i = 0; i < networks->count; i++)
		json_array_append_new(list, json_string(networks->sval[i]));
	json = json_pack("{s:o}", "networks", list);
	body = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	if (!body)
		abort();
	request.body = body;
	request.body_size = strlen(body);
	status = exchange_run(args, &request, print_networks);
	free(body);
	return status;
}

int command_drill(int argc, char **argv)
{
	struct arg_lit *off = arg_lit0(NULL, "off", "end the drill");
	struct arg_str *networks = arg_strn(NULL, NULL, "NETWORK", 0,
					    NETWORKS_MAX,
					    "cut off, like 10.2.0.0/16");
	struct remote_request show = { .method = "GET", .path = "/v1/drill" };
	struct arguments args;
	int status;

	arguments_init(&args, "drill", summary, ARGUMENTS_REMOTE);
	arguments_add(&args, off);
	arguments_add(&args, networks);
	if (arguments_parse(&args, argc, argv, &status)) {
		if (off->count && networks->count)
			status = arguments_usage(
				&args, "--off and NETWORK exclude each other");
		else if (off->count || networks->count)
			status = replace_networks(&args, networks);
		else
			status = exchange_run(&args, &show, print_networks);
	}
	arguments_finish(&args);
	return status;
}
