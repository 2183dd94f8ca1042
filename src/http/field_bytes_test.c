#include <criterion/criterion.h>
#include <string.h>

#include "http/head.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define PART(text)                                                             \
	{                                                                      \
		text, sizeof(text) - 1                                         \
	}

struct part {
	const char *at;
	size_t size;
};

/* Guards against bytes in a field that end it in this process or begin another
 * field elsewhere; the parser accepts any byte at the start of a value. */
Test(field_bytes, are_those_of_a_name_and_a_value)
{
	static const struct {
		const char *name;
		struct part names[2];
		struct part values[2];
		bool invalid;
	} cases[] = {
		{ "usual", { PART("X-Field") }, { PART("some value") }, false },
		{ "empty value", { PART("X-Field") }, { PART("") }, false },
		{ "in parts",
		  { PART("X-"), PART("Field") },
		  { PART("some"), PART(" value") },
		  false },
		{ "empty part", { PART(""), PART("X") }, { PART("") }, false },
		{ "tab and bytes above ASCII",
		  { PART("X") },
		  { PART("a\tb\xff\x80") },
		  false },
		{ "blank at the end of a name",
		  { PART("X ") },
		  { PART("v") },
		  true },
		{ "blank in a name", { PART("X Y") }, { PART("v") }, true },
		{ "NUL at the start of a value",
		  { PART("X") },
		  { PART("\0v") },
		  true },
		{ "NUL alone", { PART("X") }, { PART("\0") }, true },
		{ "control byte", { PART("X") }, { PART("\x01") }, true },
		{ "delete", { PART("X") }, { PART("v"), PART("\x7f") }, true },
		{ "end of line", { PART("X") }, { PART("v\r\nY: w") }, true },
		{ "NUL in a name", { PART("X\0Y") }, { PART("v") }, true },
	};
	size_t i;
	size_t j;

	for (i = 0; i < COUNT(cases); i++) {
		struct http_head head = { .count = 0 };

		for (j = 0; j < 2; j++)
			if (cases[i].names[j].at)
				http_head_append_name(&head,
						      cases[i].names[j].at,
						      cases[i].names[j].size);
		for (j = 0; j < 2; j++)
			if (cases[i].values[j].at)
				http_head_append_value(&head,
						       cases[i].values[j].at,
						       cases[i].values[j].size);
		http_head_end(&head);
		cr_expect_eq(head.invalid, cases[i].invalid, "%s",
			     cases[i].name);
		http_head_reset(&head);
		cr_expect_not(head.invalid, "%s", cases[i].name);
		http_head_finish(&head);
	}
}
