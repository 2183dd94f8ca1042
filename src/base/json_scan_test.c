#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "base/json_scan.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

/* The members as "name=value;", and the state behind the last one. */
static const struct {
	const char *text;
	const char *members;
	enum json_scan_state state;
	bool is_last;
} cases[] = {
	{ "{}", "", JSON_SCAN_END, true },
	{ " { } \n", "", JSON_SCAN_END, true },
	{ "{\"a\":1}", "\"a\"=1;", JSON_SCAN_END, true },
	{ " {\t\"a\" : 1 , \"b\":[1,{\"c\":2}] }",
	  "\"a\"=1 ;\"b\"=[1,{\"c\":2}];", JSON_SCAN_END, true },
	{ "{\"a\":{\"b\":{}},\"c\":\"}\"}", "\"a\"={\"b\":{}};\"c\"=\"}\";",
	  JSON_SCAN_END, true },
	{ "{\"a\\\"b\":\"x\\\\\",\"c\":\"\\\\\\\"\"}",
	  "\"a\\\"b\"=\"x\\\\\";\"c\"=\"\\\\\\\"\";", JSON_SCAN_END, true },
	{ "{\"a\":1} x", "\"a\"=1;", JSON_SCAN_END, false },
	{ "", "", JSON_SCAN_FAILED, false },
	{ "[]", "", JSON_SCAN_FAILED, false },
	{ "{", "", JSON_SCAN_FAILED, false },
	{ "{\"a\"", "", JSON_SCAN_FAILED, false },
	{ "{\"a\":", "", JSON_SCAN_FAILED, false },
	{ "{\"a\":}", "", JSON_SCAN_FAILED, false },
	{ "{\"a\":1", "", JSON_SCAN_FAILED, false },
	{ "{\"a\":{\"b\":1}", "\"a\"={\"b\":1};", JSON_SCAN_FAILED, false },
	{ "{\"a\":1 \"b\":2}", "\"a\"=1 \"b\";", JSON_SCAN_FAILED, false },
	{ "{\"a\":\"1\"\"b\":2}", "\"a\"=\"1\";", JSON_SCAN_FAILED, false },
	{ "{\"a\":1,}", "\"a\"=1;", JSON_SCAN_FAILED, false },
	{ "{\"a", "", JSON_SCAN_FAILED, false },
	{ "{\"a\\\"", "", JSON_SCAN_FAILED, false },
	{ "{a:1}", "", JSON_SCAN_FAILED, false },
};

Test(json_scan, members_are_found_without_parsing_their_values)
{
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		char members[256] = "";
		struct json_span name;
		struct json_span value;
		struct json_scan scan;
		int size = 0;

		json_scan_init(&scan, cases[i].text, strlen(cases[i].text));
		while (json_scan_name(&scan, &name) &&
		       json_scan_value(&scan, &value))
			size += snprintf(members + size,
					 sizeof(members) - (size_t)size,
					 "%.*s=%.*s;", (int)name.size,
					 name.text, (int)value.size,
					 value.text);
		cr_expect_str_eq(members, cases[i].members, "%s: %s",
				 cases[i].text, members);
		cr_expect_eq(scan.state, cases[i].state, "%s", cases[i].text);
		cr_expect_eq(json_scan_is_last(&scan), cases[i].is_last, "%s",
			     cases[i].text);
	}
}

Test(json_scan, an_inner_object_is_scanned_in_place)
{
	static const char text[] = "{\"a\":{\"b\":1,\"c\":2},\"d\":3}";
	struct json_span span;
	struct json_scan outer;
	struct json_scan inner;

	json_scan_init(&outer, text, strlen(text));
	cr_assert(json_scan_name(&outer, &span));
	cr_assert(json_scan_enter(&outer, &inner));
	while (json_scan_name(&inner, &span))
		cr_assert(json_scan_value(&inner, &span));
	json_scan_leave(&outer, &inner);
	cr_assert(json_scan_name(&outer, &span));
	cr_expect(json_span_equals(&span, "d"));
	cr_expect_not(json_scan_enter(&outer, &inner));
	cr_assert(json_scan_value(&outer, &span));
	cr_expect_not(json_scan_name(&outer, &span));
	cr_expect(json_scan_is_last(&outer));
}
