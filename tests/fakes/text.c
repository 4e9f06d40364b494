#include "text.h"

#include <stdio.h>
#include <stdlib.h>

static const char *
comma (uint32_t i)
{
  return i > 0 ? ",\n" : "";
}

static void
put_services (FILE *stream, const FakeConfigTextOptions *options, uint32_t n_services)
{
  for (uint32_t i = 0; i < n_services; i++)
    fprintf (stream,
             "%s{\"name\":\"s%u\",\"kind\":\"model\",\"model\":\"m%u\",\"class\":\"summary\","
             "\"version\":\"%s\",\"prefill_pool\":\"p%u\",\"decode_pool\":\"d%u\","
             "\"deadline_ms\":60000,\"ttft_target_ms\":1500,\"tbt_target_ms\":30,"
             "\"kv_token_bytes\":131072,\"expected_tokens\":200}",
             comma (i), i, i, options->version != NULL ? options->version : "", i, i);
}

static void
put_pools (FILE *stream, const FakeConfigTextOptions *options, uint32_t n_services)
{
  for (uint32_t i = 0; i < n_services; i++)
    {
      fprintf (
          stream,
          "%s{\"name\":\"p%u\",\"role\":\"prefill\",\"upstreams\":[{\"name\":\"p%u\","
          "\"address\":\"127.0.0.1:%u\",\"data_centre\":\"dc0\",\"slots\":8,\"pieces\":200}]},\n"
          "{\"name\":\"d%u\",\"role\":\"decode\",\"upstreams\":[",
          comma (i), i, i, 10000 + i, i);
      for (uint32_t k = i; k < options->n_upstreams; k += n_services)
        fprintf (stream,
                 "%s{\"name\":\"d%u\",\"address\":\"127.0.0.1:%u\",\"data_centre\":\"dc0\","
                 "\"slots\":%u,\"pieces\":200,\"checks_fencing\":%s}",
                 comma (k - i), k, 20000 + k, options->slots,
                 options->checks_fencing ? "true" : "false");
      fprintf (stream, "]}");
    }
}

char *
fake_config_text (const FakeConfigTextOptions *options)
{
  uint32_t n_services = options->n_services > 0 ? options->n_services : 1;
  char *text = NULL;
  size_t n_bytes;
  FILE *stream = open_memstream (&text, &n_bytes);

  fprintf (stream, "{\"services\":[");
  put_services (stream, options, n_services);
  fprintf (stream, "],\"pools\":[");
  put_pools (stream, options, n_services);
  fprintf (stream, "],\"customers\":[");
  for (uint32_t i = 0; i < options->n_customers; i++)
    fprintf (stream,
             "%s{\"name\":\"c%u\",\"share\":1,\"in_flight_max\":200,\"key_digest\":\"%064x\"}",
             comma (i), i, i + 1);
  fprintf (stream, "],\"allow_anonymous\":true}");
  fclose (stream);
  return text;
}
