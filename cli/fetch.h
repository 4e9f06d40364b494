#ifndef CLI_FETCH_H
#define CLI_FETCH_H

#include "libmangofork/buffer.h"

#include <json-c/json.h>

/* What status, report and explain have in common: they fetch a page of an instance's admin port and
 * print it. */

/* Gets URL and path as a JSON object, which the caller puts. Prints a message and returns NULL when
 * that fails; path is escaped by the caller. */
json_object *fetch_json (const char *url, const char *path);
/* Escapes one part of a path; the caller frees it with free. NULL when memory ran out. */
char *fetch_escape (const char *part);

/* Values of an object; 0, "" or NULL when the key is absent or null. */
uint64_t fetch_number (json_object *object, const char *key);
double fetch_real (json_object *object, const char *key);
const char *fetch_text (json_object *object, const char *key);
bool fetch_bool (json_object *object, const char *key);
json_object *fetch_object (json_object *object, const char *key);
/* Length of the array under a key, and its i-th element. */
size_t fetch_length (json_object *object, const char *key);
json_object *fetch_element (json_object *object, const char *key, size_t i);

/* Prints the whole object, indented. */
void fetch_print (json_object *object);
/* Writes an age such as "12 s" or "3 h"; "never" for null. */
void fetch_age (char *dst, size_t dst_bytes, json_object *object, const char *key);
/* Prints the first line of a page: which instance speaks. */
void fetch_print_instance (json_object *page);

#endif
