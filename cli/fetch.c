#include "fetch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#define TIMEOUT_S 10L
#define URL_BYTES 2048
#define ANSWER_BYTES_MAX ((size_t)64 * 1024 * 1024)

static size_t
on_data (char *data, size_t size, size_t n, void *userdata)
{
  MfBuffer *answer = userdata;
  size_t n_bytes = size * n;

  if (mf_buffer_bytes (answer) + n_bytes > ANSWER_BYTES_MAX)
    return 0;
  mf_buffer_add (answer, data, n_bytes);
  return answer->failed ? 0 : n_bytes;
}

/* Joins the address from the command line, with or without a scheme, and a path. */
static void
join_url (char dst[URL_BYTES], const char *url, const char *path)
{
  const char *scheme = strstr (url, "://") != NULL ? "" : "http://";
  size_t len = strlen (url);

  while (len > 0 && url[len - 1] == '/')
    len--;
  snprintf (dst, URL_BYTES, "%s%.*s%s", scheme, (int)len, url, path);
}

/* Fetches a page. Returns its HTTP status, or 0 after printing a message when the transfer failed.
 */
static long
get (const char *url, MfBuffer *answer)
{
  CURL *curl = curl_easy_init ();
  CURLcode result = CURLE_FAILED_INIT;
  long status = 0;

  if (curl != NULL)
    {
      curl_easy_setopt (curl, CURLOPT_URL, url);
      curl_easy_setopt (curl, CURLOPT_TIMEOUT, TIMEOUT_S);
      curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
      curl_easy_setopt (curl, CURLOPT_PROXY, "");
      curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_data);
      curl_easy_setopt (curl, CURLOPT_WRITEDATA, answer);
      result = curl_easy_perform (curl);
      curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
      curl_easy_cleanup (curl);
    }
  if (result == CURLE_OK)
    return status;
  fprintf (stderr, "mangofork: %s: %s\n", url, curl_easy_strerror (result));
  return 0;
}

json_object *
fetch_json (const char *url, const char *path)
{
  char full_url[URL_BYTES];
  MfBuffer answer = { 0 };
  json_object *page = NULL;
  long status;

  join_url (full_url, url, path);
  status = get (full_url, &answer);
  mf_buffer_add (&answer, "", 1);
  if (status != 0 && !answer.failed)
    page = json_tokener_parse (mf_buffer_data (&answer));
  mf_buffer_clear (&answer);
  if (status == 200 && page != NULL)
    return page;
  if (status != 0)
    fprintf (stderr, "mangofork: %s: HTTP status %ld%s%s\n", full_url, status,
             page != NULL ? ": " : "", fetch_text (page, "error"));
  json_object_put (page);
  return NULL;
}

char *
fetch_escape (const char *segment)
{
  char *escaped = curl_easy_escape (NULL, segment, 0);
  char *copy = escaped != NULL ? strdup (escaped) : NULL;

  curl_free (escaped);
  return copy;
}

json_object *
fetch_object (json_object *object, const char *key)
{
  json_object *value = NULL;

  json_object_object_get_ex (object, key, &value);
  return value;
}

uint64_t
fetch_number (json_object *object, const char *key)
{
  return json_object_get_uint64 (fetch_object (object, key));
}

double
fetch_real (json_object *object, const char *key)
{
  return json_object_get_double (fetch_object (object, key));
}

const char *
fetch_text (json_object *object, const char *key)
{
  const char *text = json_object_get_string (fetch_object (object, key));

  return text != NULL ? text : "";
}

bool
fetch_bool (json_object *object, const char *key)
{
  return json_object_get_boolean (fetch_object (object, key)) != 0;
}

size_t
fetch_length (json_object *object, const char *key)
{
  json_object *array = fetch_object (object, key);

  return json_object_is_type (array, json_type_array) ? json_object_array_length (array) : 0;
}

json_object *
fetch_element (json_object *object, const char *key, size_t i)
{
  return json_object_array_get_idx (fetch_object (object, key), i);
}

void
fetch_print (json_object *object)
{
  printf ("%s\n", json_object_to_json_string_ext (object, JSON_C_TO_STRING_PRETTY
                                                              | JSON_C_TO_STRING_NOSLASHESCAPE));
}

void
fetch_age (char *dst, size_t dst_bytes, json_object *object, const char *key)
{
  double age_s = fetch_real (object, key);

  if (fetch_object (object, key) == NULL)
    snprintf (dst, dst_bytes, "never");
  else if (age_s < 10)
    snprintf (dst, dst_bytes, "%.1f s", age_s);
  else if (age_s < 120)
    snprintf (dst, dst_bytes, "%.0f s", age_s);
  else if (age_s < 7200)
    snprintf (dst, dst_bytes, "%.0f min", age_s / 60);
  else
    snprintf (dst, dst_bytes, "%.0f h", age_s / 3600);
}

void
fetch_print_instance (json_object *page)
{
  json_object *instance = fetch_object (page, "instance");

  printf ("instance %s in %s, incarnation %s: %s%s%s\n", fetch_text (instance, "name"),
          fetch_text (instance, "data_centre"), fetch_text (instance, "incarnation"),
          fetch_bool (instance, "ready") ? "ready" : "not ready",
          fetch_bool (instance, "draining") ? ", draining" : "",
          fetch_bool (instance, "votes") ? ", votes" : ", does not vote");
}
