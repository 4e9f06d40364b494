#ifndef CLI_FETCH_H
#define CLI_FETCH_H

#include "libmangofork/buffer.h"

#include <json-c/json.h>

/* Helpers for status, report and explain, which fetch a page from the admin port of an instance and
 * print it. */

/* Fetches a path from the instance at a URL and parses it as a JSON object, which the caller
 * releases with json_object_put. Prints a message and returns NULL on failure. The path must be
 * escaped. */
json_object *fetch_json (const char *url, const char *path);
/* Escapes one segment of a URL path. The caller frees the result; NULL when out of memory. */
char *fetch_escape (const char *segment);

/* Value of a key; 0, "" or NULL when the key is absent or null. */
uint64_t fetch_number (json_object *object, const char *key);
double fetch_real (json_object *object, const char *key);
const char *fetch_text (json_object *object, const char *key);
bool fetch_bool (json_object *object, const char *key);
json_object *fetch_object (json_object *object, const char *key);
/* Length of the array that is the value of a key, and its i-th element. */
size_t fetch_length (json_object *object, const char *key);
json_object *fetch_element (json_object *object, const char *key, size_t i);

/* Prints an object as indented JSON. */
void fetch_print (json_object *object);
/* Formats an age in seconds as "12 s" or "3 h"; "never" if the value is absent or null. */
void fetch_age (char *dst, size_t dst_bytes, json_object *object, const char *key);
/* Prints the line that heads each page: the instance that served it, and its state. */
void fetch_print_instance (json_object *page);

#endif
