#include "relay_counters.h"

#include <stdio.h>

typedef struct
{
  const char *name;
  const char *help;
} CounterInfo;

static const CounterInfo counter_infos[] = {
#define COUNTER_INFO(id, name_, help_) { .name = (name_), .help = (help_) },
  MF_RELAY_COUNTER_TABLE (COUNTER_INFO)
#undef COUNTER_INFO
};

/* Adds a time in microseconds to a histogram. */
void
mf_relay_histogram_observe (MfRelayHistogram *histogram, uint64_t value_us)
{
  uint32_t bucket = 0;

  while (bucket < MF_RELAY_BUCKETS && value_us > (MF_US_PER_MS << bucket))
    bucket++;
  histogram->buckets[bucket]++;
  histogram->sum_us += value_us;
  histogram->count++;
}

static void
histogram_render (const MfRelayHistogram *histogram, const char *name, MfBuffer *out)
{
  char line[160];
  uint64_t sum = 0;

  snprintf (line, sizeof line, "# TYPE mangofork_relay_%s_seconds histogram\n", name);
  mf_buffer_add_text (out, line);
  for (uint32_t i = 0; i < MF_RELAY_BUCKETS; i++)
    {
      sum += histogram->buckets[i];
      snprintf (line, sizeof line, "mangofork_relay_%s_seconds_bucket{le=\"%.3f\"} %llu\n", name,
                (double)(UINT64_C (1) << i) / 1000., (unsigned long long)sum);
      mf_buffer_add_text (out, line);
    }
  snprintf (line, sizeof line,
            "mangofork_relay_%s_seconds_bucket{le=\"+Inf\"} %llu\n"
            "mangofork_relay_%s_seconds_sum %.6f\nmangofork_relay_%s_seconds_count %llu\n",
            name, (unsigned long long)histogram->count, name, (double)histogram->sum_us / 1e6, name,
            (unsigned long long)histogram->count);
  mf_buffer_add_text (out, line);
}

/* Passed to code_render. */
typedef struct
{
  const MfRelayCounters *counters;
  MfBuffer *out;
} CodeRender;

static bool
code_render (const MfCodeInfo *info, void *data)
{
  const CodeRender *render = data;
  size_t index = mf_code_index (info->code);
  char line[128];

  if (index >= MF_ARRAY_LEN (render->counters->by_code) || render->counters->by_code[index] == 0)
    return true;
  snprintf (line, sizeof line, "mangofork_relay_ends_total{name=\"%s\"} %llu\n", info->name,
            (unsigned long long)render->counters->by_code[index]);
  mf_buffer_add_text (render->out, line);
  return true;
}

/* Appends all counters and histograms in the Prometheus text format. */
void
mf_relay_counters_render (const MfRelayCounters *counters, MfBuffer *out)
{
  char line[256];

  for (uint32_t i = 0; i < MF_RELAY_N_COUNTERS; i++)
    {
      snprintf (line, sizeof line,
                "# HELP mangofork_relay_%s %s\n# TYPE mangofork_relay_%s counter\n"
                "mangofork_relay_%s %llu\n",
                counter_infos[i].name, counter_infos[i].help, counter_infos[i].name,
                counter_infos[i].name, (unsigned long long)counters->counts[i]);
      mf_buffer_add_text (out, line);
    }
  mf_code_foreach (code_render, &(CodeRender){ .counters = counters, .out = out });
  histogram_render (&counters->answer, "answer", out);
  histogram_render (&counters->first_event, "first_event", out);
  histogram_render (&counters->waited, "waited", out);
}
