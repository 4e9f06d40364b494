/* What control costs one instance as the fleet grows: bytes and messages out, processor time and
 * memory of a real core among real cores, every message through the codec. The load of one instance
 * stays what it is at the target size; engines, customers and events grow with the fleet. */

#include "libmangofork/member_row.h"
#include "libmangofork/news.h"
#include "tests/fakes/cores.h"
#include "tests/fakes/text.h"

#include <argp.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The target size. */
#define INSTANCES 380
#define ENGINES 2400
#define CUSTOMERS 2400
#define SERVICES 8
#define CHANGES_A_DAY 7400
#define SECONDS_A_DAY 86400
/* 2.4 million tokens a second at 30 ms each, over all instances. */
#define STREAMS 190
/* Limits of one instance. */
#define CPU_PPM_MAX 11000
#define MEMORY_MB_MAX 256
#define BYTES_PER_S_MAX 23000

typedef struct
{
  uint64_t seed;
  bool quick;
} Options;

typedef struct
{
  uint32_t n_instances;
  uint32_t n_neighbours;
  double bytes_per_s;
  double messages_per_s;
  double cpu_us_per_s;
  double memory_mb;
  double change_us;    /* processor time of one change of the text */
  double change_bytes; /* out, above the steady rate */
  double report_us;    /* one load report */
  double text_kb;
} Row;

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  Options *options = state->input;

  switch (key)
    {
    case 's':
      options->seed = strtoull (arg, NULL, 10);
      return 0;
    case 'q':
      options->quick = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static uint32_t
scaled (uint32_t at_target, uint32_t n_instances)
{
  return (at_target * n_instances + INSTANCES - 1) / INSTANCES;
}

static void
publish (FakeCores *cores, uint32_t n_instances, uint64_t revision)
{
  FakeTextOptions options = {
    .n_services = SERVICES,
    .n_upstreams = scaled (ENGINES, n_instances) + SERVICES,
    .n_customers = scaled (CUSTOMERS, n_instances),
    .slots = 20,
  };
  char *text = fake_text (&options);
  char *place = strstr (text, "\"share\":1");

  place[strlen ("\"share\":")] = (char)('1' + revision % 9);
  fake_cores_publish (cores, revision, text);
  free (text);
}

/* Puts an instance's streams on the engines that it uses, a tenth of them elsewhere each time. */
static void
place_streams (MfCore *core, uint32_t round)
{
  MfBoard *board = &core->board;
  uint32_t n_used = board->n_upstreams < STREAMS ? board->n_upstreams : STREAMS;

  if (n_used == 0)
    return;

  for (uint32_t i = 0; i < board->n_upstreams; i++)
    board->upstreams[i].own_slots = 0;
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      uint32_t moved = i % 10 == 0 ? round : 0;
      uint64_t place = (board->options.seed + i % n_used + moved) % board->n_upstreams;

      board->upstreams[place].own_slots++;
    }
}

/* One second of a fleet: streams move, and as many events happen as the fleet is large. */
static void
run_second (FakeCores *cores, uint32_t n_instances, uint32_t second)
{
  uint32_t teller = n_instances > 0 ? second * 7 % n_instances : 0;

  for (uint32_t i = 0; i < n_instances; i++)
    place_streams (fake_cores_core (cores, i), second);
  if (second * n_instances / INSTANCES != (second + 1) * n_instances / INSTANCES)
    mf_news_note (fake_cores_core (cores, teller), MF_NEWS_SUSPECT, 1000 + second, 1);
  fake_cores_run (cores, MF_US_PER_S);
}

static double
heap_mb (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double)(info.uordblks + info.hblkhd) / 1e6;
}

/* Means over all instances for what does not need timing. */
static void
measure_steady (FakeCores *cores, uint32_t seconds, Row *row)
{
  uint64_t bytes = 0, messages = 0, timed_ns = fake_cores_timed_ns (cores);
  uint32_t n = row->n_instances > 0 ? row->n_instances : 1;

  for (uint32_t i = 0; i < row->n_instances; i++)
    {
      bytes -= fake_cores_bytes_out (cores, i);
      messages -= fake_cores_messages_out (cores, i);
    }
  for (uint32_t second = 0; second < seconds; second++)
    run_second (cores, row->n_instances, second);
  for (uint32_t i = 0; i < row->n_instances; i++)
    {
      bytes += fake_cores_bytes_out (cores, i);
      messages += fake_cores_messages_out (cores, i);
      row->n_neighbours += fake_cores_core (cores, i)->board.members->n_neighbours;
    }
  row->n_neighbours = (row->n_neighbours + n / 2) / n;
  row->bytes_per_s = (double)bytes / seconds / n;
  row->messages_per_s = (double)messages / seconds / n;
  row->cpu_us_per_s = (double)(fake_cores_timed_ns (cores) - timed_ns) / 1e3 / seconds;
}

static void
measure_changes (FakeCores *cores, uint32_t n_changes, Row *row)
{
  const uint32_t seconds = 12; /* from one change to the next */
  uint64_t bytes = 0, timed_ns = fake_cores_timed_ns (cores);

  for (uint32_t i = 0; i < row->n_instances; i++)
    bytes -= fake_cores_bytes_out (cores, i);
  for (uint32_t change = 0; change < n_changes; change++)
    {
      publish (cores, row->n_instances, 2 + change);
      fake_cores_run (cores, seconds * MF_US_PER_S);
    }
  for (uint32_t i = 0; i < row->n_instances; i++)
    bytes += fake_cores_bytes_out (cores, i);
  row->change_us = (double)(fake_cores_timed_ns (cores) - timed_ns) / 1e3 / n_changes
                   - row->cpu_us_per_s * seconds;
  row->change_bytes = (double)bytes / row->n_instances / n_changes - row->bytes_per_s * seconds;
  row->text_kb = (double)fake_cores_core (cores, 0)->board.config->text_bytes / 1e3;
}

static void
measure_reports (FakeCores *cores, Row *row)
{
  MfCore *core = fake_cores_core (cores, 0);
  const uint32_t n_reports = core->board.n_upstreams > 0 ? 20000 : 0;
  uint64_t timed_ns = fake_cores_timed_ns (cores);

  for (uint32_t i = 0; i < n_reports; i++)
    {
      MfEvent event = { .type = MF_EVENT_LOAD,
                        .load = { .upstream = i % core->board.n_upstreams,
                                  .incarnation = 1,
                                  .measured_us = fake_cores_now_us (cores) - 1000,
                                  .slots_total = 20,
                                  .slots_used = i % 20,
                                  .pieces_total = 200,
                                  .pieces_free = 100 } };

      event.load.role = core->board.upstreams[event.load.upstream].role;
      fake_cores_event (cores, 0, &event);
    }
  row->report_us = (double)(fake_cores_timed_ns (cores) - timed_ns) / 1e3 / n_reports;
}

static Row
measure (uint32_t n_instances, const Options *options)
{
  const FakeCoresOptions fleet = {
    .n_slots = n_instances,
    .n_data_centres = 6,
    .delay_us = MF_US_PER_MS,
    .seed = options->seed,
  };
  double before_mb = heap_mb ();
  FakeCores *cores = fake_cores_new (&fleet);
  Row row = { .n_instances = n_instances };

  publish (cores, n_instances, 1);
  for (uint32_t i = 0; i < n_instances; i++)
    fake_cores_start (cores, i);
  fake_cores_run (cores, 10 * MF_US_PER_S);
  measure_steady (cores, options->quick ? 5 : 30, &row);
  row.memory_mb = (heap_mb () - before_mb) / n_instances;
  measure_changes (cores, options->quick ? 2 : 6, &row);
  measure_reports (cores, &row);
  fake_cores_free (cores);
  return row;
}

static double
cpu_with_changes (const Row *row)
{
  return row->cpu_us_per_s + row->change_us * CHANGES_A_DAY / SECONDS_A_DAY;
}

static double
bytes_with_changes (const Row *row)
{
  return row->bytes_per_s + row->change_bytes * CHANGES_A_DAY / SECONDS_A_DAY;
}

static void
print_row (const Row *row)
{
  printf (
      "%4u instances: %u neighbours, %.0f B/s, %.1f messages/s, %.0f us/s, %.1f MB; a change of "
      "%.0f KB: %.0f us, %.0f B; a load report: %.2f us\n",
      row->n_instances, row->n_neighbours, row->bytes_per_s, row->messages_per_s, row->cpu_us_per_s,
      row->memory_mb, row->text_kb, row->change_us, row->change_bytes, row->report_us);
}

static void
result (const char *name, double value, double target)
{
  printf ("RESULT %s %.2f %.2f %s\n", name, value, target, value <= target ? "met" : "missed");
}

int
main (int argc, char **argv)
{
  static const struct argp_option rows[] = {
    { "seed", 's', "N", 0, "Seed of the cores", 0 },
    { "quick", 'q', NULL, 0, "Fewer seconds", 0 },
    { 0 },
  };
  const struct argp parser = { .options = rows, .parser = parse_option };
  static const uint32_t sizes[] = { 7, 20, 60, 120, INSTANCES };
  Options options = { .seed = 1 };
  Row measured[MF_ARRAY_LEN (sizes)];
  const Row *last = &measured[MF_ARRAY_LEN (sizes) - 1], *base = &measured[1];
  double growth = log (INSTANCES) / log (sizes[1]);

  argp_parse (&parser, argc, argv, 0, NULL, &options);
  for (size_t i = 0; i < MF_ARRAY_LEN (sizes); i++)
    {
      measured[i] = measure (sizes[i], &options);
      print_row (&measured[i]);
      fflush (stdout);
    }
  result ("control-bytes-per-s", bytes_with_changes (last), BYTES_PER_S_MAX);
  result ("control-cpu-ppm", cpu_with_changes (last), CPU_PPM_MAX);
  result ("control-memory-mb", last->memory_mb, MEMORY_MB_MAX);
  result ("control-bytes-growth-20-to-380", bytes_with_changes (last) / bytes_with_changes (base),
          growth);
  result ("control-cpu-growth-20-to-380", cpu_with_changes (last) / cpu_with_changes (base),
          growth);
  return 0;
}
