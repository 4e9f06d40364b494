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

static MfCustomerCounts *
customer_row (MfRelayCounters *counters, const char *name, uint64_t name_hash)
{
  MfCustomerCounts *row;

  for (uint32_t i = 0; i < counters->n_customers; i++)
    {
      if (counters->customers[i].name_hash == name_hash)
        return &counters->customers[i];
    }
  if (counters->n_customers == MF_RELAY_CUSTOMERS_MAX)
    return &counters->customers[MF_RELAY_CUSTOMERS_MAX];
  row = &counters->customers[counters->n_customers++];
  snprintf (row->name, sizeof row->name, "%s", name);
  row->name_hash = name_hash;
  return row;
}

/* Counts events or units of a customer. The first customers that are seen have rows of their own
 * until the process ends, which bounds the number of metrics. */
void
mf_relay_counters_note_customer (MfRelayCounters *counters, const char *name, uint64_t name_hash,
                                 MfCustomerCount count, uint64_t n)
{
  customer_row (counters, name, name_hash)->counts[count] += n;
}

static const CounterInfo customer_infos[MF_CUSTOMER_N_COUNTS] = {
  [MF_CUSTOMER_REQUESTS] = { "requests", "requests of a customer" },
  [MF_CUSTOMER_ANSWERED] = { "answers", "of these, answered completely" },
  [MF_CUSTOMER_REFUSED] = { "refusals", "of these, refused before they ran" },
  [MF_CUSTOMER_FAILED] = { "failures", "of these, failed, possibly after they ran" },
  [MF_CUSTOMER_DEPARTED] = { "departures", "of these, given up by the caller" },
  [MF_CUSTOMER_UNITS] = { "quota_units", "units of a customer that its quota has admitted" },
  [MF_CUSTOMER_UNITS_DENIED] = { "quota_denied_units", "units denied over the quota" },
  [MF_CUSTOMER_UNITS_RETURNED] = { "quota_returned_units", "units admitted and not used" },
};

/* Without customers nothing is written. */
static void
customers_render (const MfRelayCounters *counters, MfBuffer *out)
{
  char line[320];

  for (uint32_t i = 0; counters->n_customers > 0 && i < MF_CUSTOMER_N_COUNTS; i++)
    {
      const CounterInfo *info = &customer_infos[i];

      snprintf (line, sizeof line,
                "# HELP mangofork_relay_customer_%s_total %s\n"
                "# TYPE mangofork_relay_customer_%s_total counter\n",
                info->name, info->help, info->name);
      mf_buffer_add_text (out, line);
      for (uint32_t j = 0; j <= MF_RELAY_CUSTOMERS_MAX; j++)
        {
          const MfCustomerCounts *row = &counters->customers[j];

          if (row->counts[MF_CUSTOMER_REQUESTS] == 0)
            continue;
          snprintf (line, sizeof line, "mangofork_relay_customer_%s_total{customer=\"%s\"} %llu\n",
                    info->name, row->name, (unsigned long long)row->counts[i]);
          mf_buffer_add_text (out, line);
        }
    }
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
  customers_render (counters, out);
  histogram_render (&counters->answer, "answer", out);
  histogram_render (&counters->first_event, "first_event", out);
  histogram_render (&counters->waited, "waited", out);
}
