#include "libmangofork/core.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* What one placement costs as the number of upstreams grows, and whether tokens allocate. */

#define TEXT_BYTES (1024 * 1024)
#define N_SIZES 5
#define TOKENS 200000

void *__real_malloc (size_t n_bytes);
void *__real_calloc (size_t n, size_t n_bytes);
void *__real_realloc (void *old, size_t n_bytes);
void *__wrap_malloc (size_t n_bytes);
void *__wrap_calloc (size_t n, size_t n_bytes);
void *__wrap_realloc (void *old, size_t n_bytes);

static uint64_t n_allocations;

void *
__wrap_malloc (size_t n_bytes)
{
  n_allocations++;
  return __real_malloc (n_bytes);
}

void *
__wrap_calloc (size_t n, size_t n_bytes)
{
  n_allocations++;
  return __real_calloc (n, n_bytes);
}

void *
__wrap_realloc (void *old, size_t n_bytes)
{
  n_allocations++;
  return __real_realloc (old, n_bytes);
}

typedef struct
{
  MfCore *core;
  uint64_t now_us;
  uint64_t next_request;
  uint64_t last_call[MF_CALL_COUNT];
  uint32_t last_upstream;
} Bench;

static void
on_action (const MfAction *action, void *data)
{
  Bench *bench = data;

  if (action->type != MF_ACTION_CALL_START)
    return;
  bench->last_call[action->call.kind] = action->call.call_id;
  bench->last_upstream = action->call.upstream;
}

static uint64_t
wall_ns (void)
{
  struct timespec at;

  clock_gettime (CLOCK_MONOTONIC, &at);
  return (uint64_t)at.tv_sec * 1000000000 + (uint64_t)at.tv_nsec;
}

static void
step (Bench *bench, MfEvent *event)
{
  event->now_us = ++bench->now_us;
  mf_core_step (bench->core, event);
}

static size_t
add_pool (char *text, size_t text_bytes, const char *name, uint32_t n)
{
  size_t len = (size_t)snprintf (text, text_bytes,
                                 "{\"name\":\"%s\",\"role\":\"%s\",\"upstreams\":[", name, name);

  for (uint32_t i = 0; i < n; i++)
    len += (size_t)snprintf (text + len, text_bytes - len,
                             "%s{\"name\":\"%s%u\",\"address\":\"127.0.0.1:%u\","
                             "\"data_centre\":\"a\",\"slots\":20,\"pieces\":200}",
                             i > 0 ? "," : "", name, i, 1000 + i);
  return len + (size_t)snprintf (text + len, text_bytes - len, "]}");
}

static void
bench_init (Bench *bench, uint32_t n_upstreams, uint64_t seed)
{
  char *text = malloc (TEXT_BYTES);
  size_t len;
  MfOptions options;
  MfError error = { 0 };

  if (text == NULL)
    abort ();
  len = (size_t)snprintf (text, TEXT_BYTES,
                          "{\"services\":[{\"name\":\"m\",\"kind\":\"model\",\"model\":\"m\","
                          "\"class\":\"summary\",\"prefill_pool\":\"prefill\","
                          "\"decode_pool\":\"decode\",\"kv_token_bytes\":131072,"
                          "\"deadline_ms\":3600000}],\"pools\":[");
  len += add_pool (text + len, TEXT_BYTES - len, "prefill", n_upstreams / 3);
  len += (size_t)snprintf (text + len, TEXT_BYTES - len, ",");
  len += add_pool (text + len, TEXT_BYTES - len, "decode", n_upstreams - n_upstreams / 3);
  len += (size_t)snprintf (text + len, TEXT_BYTES - len, "],\"allow_anonymous\":true}");
  *bench = (Bench){ .now_us = MF_US_PER_S };
  mf_core_options (&options);
  mf_name_set (options.self.name, MF_NAME_BYTES, "entry-1");
  options.self.incarnation = 1;
  options.seed = seed;
  options.load_period_us = 3600 * MF_US_PER_S;
  bench->core = mf_core_new (&options, bench->now_us, 0, on_action, bench, &error);
  mf_core_set_config (bench->core, mf_config_parse (text, len, 1, NULL, NULL));
  free (text);
}

static void
call_step (Bench *bench, MfEventType type, MfCallKind kind, MfCallEvent call)
{
  MfEvent event = { .type = type, .call = call };

  event.call.call_id = bench->last_call[kind];
  step (bench, &event);
}

/* One request from its arrival to its placement, then on to its end. Returns the time of the first
 * part. */
static uint64_t
run_request (Bench *bench)
{
  MfEvent event = { .type = MF_EVENT_REQUEST,
                    .request = { .request_id = ++bench->next_request,
                                 .model = "m",
                                 .prompt_tokens = 1000,
                                 .max_tokens = 100,
                                 .n_prefix_hashes = 1,
                                 .prefix_hashes = { bench->next_request % 100 } } };
  uint64_t start_ns = wall_ns ();
  uint64_t placement_ns;

  step (bench, &event);
  placement_ns = wall_ns () - start_ns;
  call_step (bench, MF_EVENT_CALL_SENT, MF_CALL_PREFILL, (MfCallEvent){ 0 });
  call_step (bench, MF_EVENT_CALL_PREFILLED, MF_CALL_PREFILL,
             (MfCallEvent){ .expires_us = bench->now_us + MF_US_PER_S, .kv_bytes = 131072000 });
  call_step (bench, MF_EVENT_CALL_DONE, MF_CALL_PREFILL, (MfCallEvent){ .status = 200 });
  call_step (bench, MF_EVENT_CALL_SENT, MF_CALL_DECODE, (MfCallEvent){ 0 });
  call_step (bench, MF_EVENT_CALL_IMPORTED, MF_CALL_DECODE, (MfCallEvent){ 0 });
  call_step (bench, MF_EVENT_CALL_TOKENS, MF_CALL_DECODE,
             (MfCallEvent){ .n_tokens = 1, .data = "a", .data_bytes = 1 });
  call_step (bench, MF_EVENT_CALL_DONE, MF_CALL_DECODE,
             (MfCallEvent){ .status = 200, .stopped = true });
  return placement_ns;
}

static double
measure_decision_us (uint32_t n_upstreams, uint32_t n_requests, uint64_t seed)
{
  Bench bench;
  uint64_t sum_ns = 0;

  bench_init (&bench, n_upstreams, seed);
  for (uint32_t i = 0; i < n_requests / 10; i++)
    run_request (&bench);
  for (uint32_t i = 0; i < n_requests; i++)
    sum_ns += run_request (&bench);
  mf_core_free (bench.core);
  return (double)sum_ns / n_requests / 1000;
}

/* Streams tokens of one request; returns the allocations and the time of one token. */
static uint64_t
measure_stream (uint64_t seed, double *token_us)
{
  MfEvent event
      = { .type = MF_EVENT_REQUEST,
          .request
          = { .request_id = 1, .model = "m", .prompt_tokens = 10, .max_tokens = TOKENS + 10 } };
  uint64_t before;
  uint64_t start_ns;
  Bench bench;

  bench_init (&bench, 100, seed);
  step (&bench, &event);
  call_step (&bench, MF_EVENT_CALL_SENT, MF_CALL_PREFILL, (MfCallEvent){ 0 });
  call_step (&bench, MF_EVENT_CALL_PREFILLED, MF_CALL_PREFILL,
             (MfCallEvent){ .expires_us = bench.now_us + MF_US_PER_S, .kv_bytes = 1000 });
  call_step (&bench, MF_EVENT_CALL_IMPORTED, MF_CALL_DECODE, (MfCallEvent){ 0 });
  before = n_allocations;
  start_ns = wall_ns ();
  for (uint32_t i = 0; i < TOKENS; i++)
    call_step (&bench, MF_EVENT_CALL_TOKENS, MF_CALL_DECODE,
               (MfCallEvent){ .first_index = i, .n_tokens = 1, .data = "a", .data_bytes = 1 });
  *token_us = (double)(wall_ns () - start_ns) / TOKENS / 1000;
  before = n_allocations - before;
  mf_core_free (bench.core);
  return before;
}

static void
result (const char *name, double value, const char *unit, double target)
{
  printf ("RESULT decide.%s %.3f%s <=%.4g%s %s\n", name, value, unit, target, unit,
          value <= target ? "met" : "missed");
}

int
main (int argc, char **argv)
{
  static const uint32_t sizes[N_SIZES] = { 10, 40, 160, 640, 2400 };
  uint32_t n_requests = 100000;
  uint64_t seed = 1;
  double costs_us[N_SIZES];
  double token_us;
  uint64_t n;

  for (int i = 1; i < argc; i++)
    {
      if (strcmp (argv[i], "--quick") == 0)
        n_requests = 20000;
      else if (strcmp (argv[i], "--seed") == 0 && i + 1 < argc)
        seed = strtoull (argv[++i], NULL, 10);
    }
  for (int i = 0; i < N_SIZES; i++)
    {
      costs_us[i] = measure_decision_us (sizes[i], n_requests, seed);
      printf ("%u upstreams: %.2f us a decision\n", sizes[i], costs_us[i]);
    }
  n = measure_stream (seed, &token_us);
  printf ("%u tokens: %.2f us each, %llu allocations\n", TOKENS, token_us, (unsigned long long)n);
  result ("cost_at_2400", costs_us[N_SIZES - 1], "us", 10);
  result ("cost_at_2400_over_10", costs_us[N_SIZES - 1] / costs_us[0], "", 1.5);
  result ("allocations_per_token", (double)n / TOKENS, "", 0);
  return 0;
}
