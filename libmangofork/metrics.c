#include "metrics.h"

#include "cancel.h"
#include "member.h"
#include "queue.h"
#include "suspect_core.h"

#include <stdarg.h>
#include <stdio.h>

#define LINE_BYTES 512

static void add_line (MfBuffer *out, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
add_line (MfBuffer *out, const char *format, ...)
{
  char line[LINE_BYTES];
  va_list args;

  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  mf_buffer_add_text (out, line);
}

static void
add_head (MfBuffer *out, const char *name, const char *type, const char *help)
{
  add_line (out, "# HELP %s %s\n# TYPE %s %s\n", name, help, name, type);
}

static void
add_gauge (MfBuffer *out, const char *name, const char *help, double value)
{
  add_head (out, name, "gauge", help);
  add_line (out, "%s %.17g\n", name, value);
}

/* Seconds since a time of the core's clock; -1 for a time of 0. */
static double
age_s (const MfCore *core, uint64_t at_us)
{
  return at_us == 0 ? -1 : (double)(core->board.now_us - at_us) / (double)MF_US_PER_S;
}

static void
add_counters (const MfCore *core, MfBuffer *out)
{
  for (uint32_t i = 0; i < MF_COUNTER_COUNT; i++)
    {
      const char *name = mf_counter_name ((MfCounter)i);

      add_head (out, name, "counter", mf_counter_help ((MfCounter)i));
      add_line (out, "%s %llu\n", name, (unsigned long long)core->board.counters.values[i]);
    }
}

/* Context of add_code. */
typedef struct
{
  const MfCore *core;
  MfBuffer *out;
} Output;

static bool
add_code (const MfCodeInfo *info, void *data)
{
  const Output *output = data;
  uint64_t n = output->core->board.counters.by_code[mf_code_index (info->code)];

  if (info->http_status != 0 || n > 0)
    add_line (output->out, "mangofork_ended_total{code=\"%d\",name=\"%s\"} %llu\n", (int)info->code,
              info->name, (unsigned long long)n);
  return true;
}

static void
add_ends (const MfCore *core, MfBuffer *out)
{
  Output output = { .core = core, .out = out };

  add_head (out, "mangofork_ended_total", "counter", "requests ended, by result code");
  mf_code_foreach (add_code, &output);
  add_head (out, "mangofork_ended_by_total", "counter",
            "requests ended without an answer, by party and phase");
  for (uint32_t by = MF_ENDED_BY_CALLER; by < MF_ENDED_BY_COUNT; by++)
    {
      for (uint32_t phase = 0; phase < MF_PHASE_COUNT; phase++)
        add_line (out, "mangofork_ended_by_total{by=\"%s\",phase=\"%s\"} %llu\n",
                  mf_ended_by_name ((MfEndedBy)by), mf_phase_name ((MfPhase)phase),
                  (unsigned long long)mf_trace_n_ended (core->board.trace, (MfEndedBy)by, phase));
    }
}

static bool
count_member (const MfMember *member, void *data)
{
  uint32_t *counts = data;

  counts[member->state]++;
  return true;
}

static void
add_members (const MfCore *core, MfBuffer *out)
{
  static const char *const states[] = {
    [MF_MEMBER_ALIVE] = "alive",
    [MF_MEMBER_SUSPECT] = "suspect",
    [MF_MEMBER_DEAD] = "dead",
    [MF_MEMBER_LEAVING] = "leaving",
  };
  uint32_t counts[MF_ARRAY_LEN (states)] = { 0 };

  mf_member_foreach (core, count_member, counts);
  add_head (out, "mangofork_instances", "gauge", "other instances, by membership state");
  for (size_t i = 0; i < MF_ARRAY_LEN (states); i++)
    add_line (out, "mangofork_instances{state=\"%s\"} %u\n", states[i], counts[i]);
}

static void
add_instance (const MfCore *core, MfBuffer *out)
{
  const MfBoard *board = &core->board;

  add_gauge (out, "mangofork_ready", "whether the load balancer may send requests here",
             board->ready);
  add_gauge (out, "mangofork_draining", "whether this process is shutting down", board->draining);
  add_gauge (out, "mangofork_votes", "whether this process votes on idempotency keys",
             board->voter_admitted);
  add_gauge (out, "mangofork_in_flight", "requests in progress", mf_request_count (core));
  add_gauge (out, "mangofork_queued", "requests that wait for capacity", mf_queue_length (core));
  add_gauge (out, "mangofork_debts", "cancels not yet confirmed by engines",
             mf_cancel_count (core));
  add_gauge (out, "mangofork_suspected_requests",
             "requests suspected of crashing upstreams or quarantined", mf_suspect_count (core));
  add_gauge (out, "mangofork_config_revision", "revision of the configuration in force",
             board->config != NULL ? (double)board->config->revision : 0);
  add_gauge (out, "mangofork_config_age_seconds",
             "time since the configuration came into force; -1 if there is none",
             age_s (core, board->config_state.accepted_us));
  add_gauge (out, "mangofork_platform_heard_seconds",
             "time since the platform last answered this process; -1 if it never has",
             age_s (core, board->config_state.platform_answered_us));
  add_members (core, out);
}

static void
add_service_counts (const MfCore *core, const MfServiceRow *row, MfBuffer *out)
{
  const char *name = row->config.name;
  MfBurnCounts counts;

  mf_burn_counts (core->board.burn, MF_BURN_SERVICE, mf_hash_name (name), MF_BURN_WINDOW_COUNT,
                  false, core->board.now_us, &counts);
  const struct
  {
    const char *result;
    uint64_t n;
  } results[] = {
    { "good", counts.good },
    { "late", counts.total[MF_SLI_TTFT] - counts.good },
    { "failed", counts.bad[MF_SLI_AVAILABILITY] },
    { "refused", counts.refused },
    { "departed", counts.departed },
  };

  for (size_t i = 0; i < MF_ARRAY_LEN (results); i++)
    add_line (out, "mangofork_service_requests_total{service=\"%s\",result=\"%s\"} %llu\n", name,
              results[i].result, (unsigned long long)results[i].n);
}

static void
add_service_burn (const MfCore *core, const MfServiceRow *row, MfBuffer *out)
{
  for (uint32_t window = 0; window < MF_BURN_WINDOW_COUNT; window++)
    {
      MfBurnCounts counts;

      mf_burn_counts (core->board.burn, MF_BURN_SERVICE, mf_hash_name (row->config.name),
                      (MfBurnWindow)window, true, core->board.now_us, &counts);
      for (uint32_t sli = 0; sli < MF_SLI_COUNT; sli++)
        add_line (out,
                  "mangofork_service_burn_rate{service=\"%s\",objective=\"%s\",window=\"%s\"} "
                  "%.3f\n",
                  row->config.name, mf_sli_name ((MfSli)sli),
                  mf_burn_window_name ((MfBurnWindow)window), mf_burn_rate (&counts, (MfSli)sli));
    }
}

static void
add_service_state (const MfCore *core, uint32_t service, MfBuffer *out)
{
  const MfServiceRow *row = &core->board.services.rows[service];
  const char *name = row->config.name;
  MfCode missing;

  add_line (out, "mangofork_service_up{service=\"%s\"} %d\n", name,
            mf_service_is_up (core, service, &missing));
  add_line (out, "mangofork_service_in_flight{service=\"%s\"} %u\n", name, row->n_in_flight);
  add_line (out, "mangofork_service_queued{service=\"%s\"} %u\n", name,
            mf_queue_service_length (core, service));
}

static void
add_services (const MfCore *core, MfBuffer *out)
{
  const MfServices *services = &core->board.services;

  add_head (out, "mangofork_service_requests_total", "counter", "requests ended, by service");
  for (uint32_t i = 0; i < services->n_rows; i++)
    {
      if (services->rows[i].in_config)
        add_service_counts (core, &services->rows[i], out);
    }
  add_head (out, "mangofork_service_burn_rate", "gauge",
            "rate at which the error budget is spent, over this process and its peers");
  for (uint32_t i = 0; i < services->n_rows; i++)
    {
      if (services->rows[i].in_config)
        add_service_burn (core, &services->rows[i], out);
    }
  add_line (out, "# TYPE mangofork_service_up gauge\n# TYPE mangofork_service_in_flight gauge\n"
                 "# TYPE mangofork_service_queued gauge\n");
  for (uint32_t i = 0; i < services->n_rows; i++)
    {
      if (services->rows[i].in_config)
        add_service_state (core, i, out);
    }
}

static void
add_upstream (const MfCore *core, const MfUpstream *upstream, MfBuffer *out)
{
  char labels[LINE_BYTES / 2];

  snprintf (labels, sizeof labels, "{upstream=\"%s\",role=\"%s\"}", upstream->config.name,
            mf_role_name (upstream->role));
  add_line (out, "mangofork_upstream_health%s %d\n", labels, (int)upstream->health);
  add_line (out, "mangofork_upstream_slots%s %u\n", labels, mf_upstream_slots (upstream));
  add_line (out, "mangofork_upstream_slots_used%s %u\n", labels, mf_upstream_slots_used (upstream));
  add_line (out, "mangofork_upstream_own_slots%s %u\n", labels, upstream->own_slots);
  add_line (out, "mangofork_upstream_report_age_seconds%s %.3f\n", labels,
            age_s (core, upstream->load_at_us));
  add_line (out, "mangofork_upstream_token_gap_seconds%s %.6f\n", labels,
            (double)upstream->token_gap_us / (double)MF_US_PER_S);
}

/* Adds only the upstreams that this instance uses, a bounded number per pool. */
static void
add_upstreams (const MfCore *core, MfBuffer *out)
{
  const MfServices *services = &core->board.services;

  add_line (out, "# HELP mangofork_upstream_health 0 ok, 1 slow, 2 ejected, 3 dead, 4 leaving\n"
                 "# TYPE mangofork_upstream_health gauge\n"
                 "# TYPE mangofork_upstream_slots gauge\n"
                 "# TYPE mangofork_upstream_slots_used gauge\n"
                 "# TYPE mangofork_upstream_own_slots gauge\n"
                 "# TYPE mangofork_upstream_report_age_seconds gauge\n"
                 "# TYPE mangofork_upstream_token_gap_seconds gauge\n");
  for (uint32_t i = 0; i < services->n_pools; i++)
    {
      const MfPoolRow *pool = &services->pools[i];

      for (uint32_t k = 0; pool->in_config && k < pool->n_active; k++)
        add_upstream (core, &core->board.upstreams[pool->active[k]], out);
    }
}

bool
mf_metrics_render (const MfCore *core, MfBuffer *out)
{
  add_counters (core, out);
  add_ends (core, out);
  add_instance (core, out);
  add_services (core, out);
  add_upstreams (core, out);
  return !out->failed;
}
