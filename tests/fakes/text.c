#include "text.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct
{
  char *text;
  size_t n_bytes;
  size_t at;
} Writer;

static void put (Writer *writer, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

static void
put (Writer *writer, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  writer->at
      += (size_t)vsnprintf (writer->text + writer->at, writer->n_bytes - writer->at, format, args);
  va_end (args);
}

static const char *
comma (uint32_t i)
{
  return i > 0 ? ",\n" : "";
}

static void
put_services (Writer *writer, const FakeTextOptions *options, uint32_t n_services)
{
  for (uint32_t i = 0; i < n_services; i++)
    put (writer,
         "%s{\"name\":\"s%u\",\"kind\":\"model\",\"model\":\"m%u\",\"class\":\"summary\","
         "\"version\":\"%s\",\"prefill_pool\":\"p%u\",\"decode_pool\":\"d%u\","
         "\"deadline_ms\":60000,\"ttft_target_ms\":1500,\"tbt_target_ms\":30,"
         "\"kv_token_bytes\":131072,\"expected_tokens\":200}",
         comma (i), i, i, options->version != NULL ? options->version : "", i, i);
}

static void
put_pools (Writer *writer, const FakeTextOptions *options, uint32_t n_services)
{
  for (uint32_t i = 0; i < n_services; i++)
    {
      put (writer,
           "%s{\"name\":\"p%u\",\"role\":\"prefill\",\"upstreams\":[{\"name\":\"p%u\","
           "\"address\":\"127.0.0.1:%u\",\"data_centre\":\"dc0\",\"slots\":8,\"pieces\":200}]},\n"
           "{\"name\":\"d%u\",\"role\":\"decode\",\"upstreams\":[",
           comma (i), i, i, 10000 + i, i);
      for (uint32_t k = i; k < options->n_upstreams; k += n_services)
        put (writer,
             "%s{\"name\":\"d%u\",\"address\":\"127.0.0.1:%u\",\"data_centre\":\"dc0\","
             "\"slots\":%u,\"pieces\":200,\"checks_fencing\":%s}",
             comma (k - i), k, 20000 + k, options->slots,
             options->checks_fencing ? "true" : "false");
      put (writer, "]}");
    }
}

/* Returns a sound text; the caller frees it. */
char *
fake_text (const FakeTextOptions *options)
{
  uint32_t n_services = options->n_services > 0 ? options->n_services : 1;
  Writer writer = {
    .n_bytes = 1024 + 800 * (size_t)n_services + 160 * (size_t)options->n_upstreams
               + 200 * (size_t)options->n_customers,
  };

  writer.text = malloc (writer.n_bytes);
  put (&writer, "{\"services\":[");
  put_services (&writer, options, n_services);
  put (&writer, "],\"pools\":[");
  put_pools (&writer, options, n_services);
  put (&writer, "],\"customers\":[");
  for (uint32_t i = 0; i < options->n_customers; i++)
    put (&writer, "%s{\"name\":\"c%u\",\"share\":1,\"in_flight_max\":200,\"key_digest\":\"%064x\"}",
         comma (i), i, i + 1);
  put (&writer, "],\"allow_anonymous\":true}");
  return writer.text;
}
