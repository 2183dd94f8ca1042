#ifndef HTTP_KEEP_ALIVE_H
#define HTTP_KEEP_ALIVE_H

#include "http/head.h"

/**
 * keep_alive_us() - how long the connection of an answer may stay idle
 * @head: head of the answer, with or without a Keep-Alive field
 *
 * Return: time in microseconds; 0 if the connection must not be reused.
 */
int64_t keep_alive_us(const struct http_head *head);

#endif
