#include "base/toml.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <new>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace
{

toml_node *new_node(toml_type type, const toml::source_region &source)
{
	auto *node = static_cast<toml_node *>(calloc(1, sizeof(toml_node)));
	if (!node)
		throw std::bad_alloc();
	node->type = type;
	node->line = source.begin.line;
	return node;
}

char *copy_text(std::string_view text)
{
	char *copy = strndup(text.data(), text.size());
	if (!copy)
		throw std::bad_alloc();
	return copy;
}

toml_node *convert(const toml::node &value);

void append(toml_node *parent, toml_node **last, toml_node *child)
{
	if (*last)
		(*last)->next = child;
	else
		parent->first_child = child;
	*last = child;
}

void convert_children(toml_node *node, const toml::node &value)
{
	toml_node *last = nullptr;

	if (const auto *array = value.as_array()) {
		for (const auto &element : *array)
			append(node, &last, convert(element));
		return;
	}
	/* toml++ sorts keys by name; faults are told in the file's order. */
	std::vector<std::pair<std::string_view, const toml::node *>> entries;
	for (const auto &[key, element] : *value.as_table())
		entries.emplace_back(key.str(), &element);
	std::stable_sort(entries.begin(), entries.end(),
			 [](const auto &a, const auto &b) {
				 return a.second->source().begin <
					b.second->source().begin;
			 });
	for (const auto &[key, element] : entries) {
		toml_node *child = convert(*element);
		append(node, &last, child);
		child->key = copy_text(key);
	}
}

toml_node *convert(const toml::node &value)
{
	toml_type type = TOML_OTHER;
	switch (value.type()) {
	case toml::node_type::table:
		type = TOML_TABLE;
		break;
	case toml::node_type::array:
		type = TOML_ARRAY;
		break;
	case toml::node_type::string:
		type = TOML_STRING;
		break;
	case toml::node_type::integer:
		type = TOML_INTEGER;
		break;
	case toml::node_type::floating_point:
		type = TOML_FLOAT;
		break;
	case toml::node_type::boolean:
		type = TOML_BOOLEAN;
		break;
	default:
		break;
	}
	toml_node *node = new_node(type, value.source());
	try {
		if (type == TOML_TABLE || type == TOML_ARRAY)
			convert_children(node, value);
		else if (type == TOML_STRING)
			node->string = copy_text(value.as_string()->get());
		else if (type == TOML_INTEGER)
			node->integer = value.as_integer()->get();
		else if (type == TOML_FLOAT)
			node->real = value.as_floating_point()->get();
		else if (type == TOML_BOOLEAN)
			node->boolean = value.as_boolean()->get();
	} catch (...) {
		toml_free(node);
		throw;
	}
	return node;
}

} /* namespace */

extern "C" struct toml_node *toml_parse(const char *text, size_t size_bytes,
					uint32_t *line, struct error *err)
{
	try {
		toml::table root =
			toml::parse(std::string_view(text, size_bytes));
		return convert(root);
	} catch (const toml::parse_error &failure) {
		if (line)
			*line = failure.source().begin.line;
		error_set(err, ERROR_INVALID, "%s",
			  std::string(failure.description()).c_str());
	} catch (const std::bad_alloc &) {
		error_set(err, ERROR_MEMORY, "out of memory");
	} catch (const std::exception &failure) {
		error_set(err, ERROR_INVALID, "%s", failure.what());
	}
	return nullptr;
}

extern "C" void toml_free(struct toml_node *node)
{
	while (node) {
		toml_node *next = node->next;
		toml_free(node->first_child);
		if (node->type == TOML_STRING)
			free(node->string);
		free(node->key);
		free(node);
		node = next;
	}
}

extern "C" const struct toml_node *toml_find(const struct toml_node *table,
					     const char *key)
{
	for (const toml_node *child = table->first_child; child;
	     child = child->next)
		if (child->key && !strcmp(child->key, key))
			return child;
	return nullptr;
}
