#include "report.h"

#include "member.h"
#include "render.h"
#include "request.h"
#include "series.h"

#include <stdlib.h>
#include <string.h>

/* Customers listed: those with the highest burn rates. */
#define CUSTOMERS_SHOWN 20

/* An objective and its latency target. */
typedef struct
{
  uint32_t objective_ppm;
  uint64_t target_us; /* 0 for none */
} Objective;

static Objective
objective_of (const MfService *service, MfSli sli)
{
  switch (sli)
    {
    case MF_SLI_TTFT:
      return (Objective){ service->objective_ttft_ppm, service->ttft_target_us };
    case MF_SLI_TBT:
      return (Objective){ service->objective_tbt_ppm, service->tbt_target_us };
    case MF_SLI_AVAILABILITY:
    case MF_SLI_REFUSALS:
    case MF_SLI_COUNT:
      break;
    }
  return (Objective){ service->objective_availability_ppm, 0 };
}

/* Adds the counts and burn rate of one objective over each window, and the alerts that fire. */
static void
add_windows (const MfCore *core, MfBurnKind kind, uint64_t name_hash, MfSli sli,
             json_object *object)
{
  json_object *windows = json_object_new_object ();
  json_object *alerts = json_object_new_array ();
  double rates[MF_BURN_WINDOW_COUNT];

  for (uint32_t i = 0; i < MF_BURN_WINDOW_COUNT; i++)
    {
      json_object *window = json_object_new_object ();
      MfBurnCounts counts;

      mf_burn_counts (core->board.burn, kind, name_hash, (MfBurnWindow)i, true, core->board.now_us,
                      &counts);
      rates[i] = mf_burn_rate (&counts, sli);
      mf_render_number (window, "total", counts.total[sli]);
      mf_render_number (window, "bad", counts.bad[sli]);
      mf_render_real (window, "burn", rates[i]);
      json_object_object_add (windows, mf_burn_window_name ((MfBurnWindow)i), window);
    }
  for (uint32_t i = 0; i < MF_BURN_ALERT_COUNT; i++)
    {
      const MfBurnAlert *alert = &mf_burn_alerts[i];

      if (rates[alert->short_window] >= alert->rate && rates[alert->long_window] >= alert->rate)
        json_object_array_add (alerts, json_object_new_string (alert->name));
    }
  json_object_object_add (object, "windows", windows);
  json_object_object_add (object, "alerts", alerts);
}

/* Adds the counts of a row since this process started, without peers. */
static void
add_own_counts (const MfCore *core, MfBurnKind kind, uint64_t name_hash, json_object *object)
{
  MfBurnCounts counts;

  mf_burn_counts (core->board.burn, kind, name_hash, MF_BURN_WINDOW_COUNT, false,
                  core->board.now_us, &counts);
  mf_render_number (object, "answered", counts.total[MF_SLI_TTFT]);
  mf_render_number (object, "good", counts.good);
  mf_render_number (object, "failed", counts.bad[MF_SLI_AVAILABILITY]);
  mf_render_number (object, "refused", counts.refused);
  mf_render_number (object, "departed", counts.departed);
}

static void
add_services (const MfCore *core, json_object *report)
{
  const MfConfig *config = core->board.config;
  json_object *services = json_object_new_array ();

  for (uint32_t i = 0; config != NULL && i < config->n_services; i++)
    {
      const MfService *service = &config->services[i];
      uint64_t name_hash = mf_hash_name (service->name);
      json_object *object = json_object_new_object ();
      json_object *objectives = json_object_new_array ();

      mf_render_text (object, "service", service->name);
      mf_render_text (object, "class", mf_class_name (service->class_));
      add_own_counts (core, MF_BURN_SERVICE, name_hash, object);
      for (uint32_t sli = 0; sli < MF_SLI_COUNT; sli++)
        {
          Objective objective = objective_of (service, (MfSli)sli);
          json_object *row;

          if (sli == MF_SLI_TBT && service->kind == MF_SERVICE_PLAIN)
            continue;
          row = json_object_new_object ();
          mf_render_text (row, "objective", mf_sli_name ((MfSli)sli));
          mf_render_number (row, "objective_ppm", objective.objective_ppm);
          mf_render_number (row, "target_us", objective.target_us);
          add_windows (core, MF_BURN_SERVICE, name_hash, (MfSli)sli, row);
          json_object_array_add (objectives, row);
        }
      json_object_object_add (object, "objectives", objectives);
      json_object_array_add (services, object);
    }
  json_object_object_add (report, "services", services);
}

/* A customer with the figures that the list is sorted by. */
typedef struct
{
  uint32_t index;
  double burn; /* highest burn rate of its objectives over the last hour */
  uint64_t total;
} RankedCustomer;

static int
ranked_compare (const void *a, const void *b)
{
  const RankedCustomer *left = a;
  const RankedCustomer *right = b;

  if (left->burn != right->burn)
    return left->burn > right->burn ? -1 : 1;
  if (left->total != right->total)
    return left->total > right->total ? -1 : 1;
  return left->index < right->index ? -1 : 1;
}

static RankedCustomer
rank_customer (const MfCore *core, uint32_t index)
{
  RankedCustomer ranked = { .index = index };
  MfBurnCounts counts;

  mf_burn_counts (core->board.burn, MF_BURN_CUSTOMER,
                  mf_hash_name (core->board.config->customers[index].name), MF_BURN_WINDOW_1H, true,
                  core->board.now_us, &counts);
  for (uint32_t sli = 0; sli < MF_SLI_COUNT; sli++)
    {
      double burn = mf_burn_rate (&counts, (MfSli)sli);

      if (burn > ranked.burn)
        ranked.burn = burn;
    }
  ranked.total = counts.total[MF_SLI_AVAILABILITY] + counts.refused;
  return ranked;
}

static json_object *
customer_object (const MfCore *core, const RankedCustomer *ranked)
{
  const char *name = core->board.config->customers[ranked->index].name;
  uint64_t name_hash = mf_hash_name (name);
  json_object *object = json_object_new_object ();
  json_object *objectives = json_object_new_array ();

  mf_render_text (object, "customer", name);
  add_own_counts (core, MF_BURN_CUSTOMER, name_hash, object);
  for (uint32_t sli = 0; sli < MF_SLI_COUNT; sli++)
    {
      json_object *row = json_object_new_object ();

      mf_render_text (row, "objective", mf_sli_name ((MfSli)sli));
      add_windows (core, MF_BURN_CUSTOMER, name_hash, (MfSli)sli, row);
      json_object_array_add (objectives, row);
    }
  json_object_object_add (object, "objectives", objectives);
  return object;
}

/* Lists the customers with the highest burn rates, of those with requests in the last hour. */
static void
add_customers (const MfCore *core, json_object *report)
{
  uint32_t n = core->board.config != NULL ? core->board.config->n_customers : 0;
  json_object *customers = json_object_new_array ();
  RankedCustomer *ranked = calloc ((size_t)n + 1, sizeof *ranked);

  for (uint32_t i = 0; ranked != NULL && i < n; i++)
    ranked[i] = rank_customer (core, i);
  if (ranked != NULL)
    qsort (ranked, n, sizeof *ranked, ranked_compare);
  for (uint32_t i = 0; ranked != NULL && i < n && i < CUSTOMERS_SHOWN; i++)
    {
      if (ranked[i].total > 0)
        json_object_array_add (customers, customer_object (core, &ranked[i]));
    }
  free (ranked);
  mf_render_number (report, "customers_total", n);
  json_object_object_add (report, "customers", customers);
}

/* The instances whose counts are in the sums, and the live ones whose counts are not. */
typedef struct
{
  const MfCore *core;
  json_object *merged;
  json_object *missing;
} Coverage;

static bool
add_merged (const MfBurnPeer *peer, void *data)
{
  const Coverage *coverage = data;
  json_object *object = json_object_new_object ();

  mf_render_text (object, "instance", peer->peer.name);
  mf_render_hex (object, "incarnation", peer->peer.incarnation);
  mf_render_age (object, "since_s", coverage->core, peer->merged_since_us);
  mf_render_age (object, "heard_s", coverage->core, peer->last_seen_us);
  json_object_array_add (coverage->merged, object);
  return true;
}

typedef struct
{
  const char *name;
  bool found;
} PeerSearch;

static bool
search_merged (const MfBurnPeer *peer, void *data)
{
  PeerSearch *search = data;

  search->found = strcmp (peer->peer.name, search->name) == 0;
  return !search->found;
}

static bool
add_missing (const MfMember *member, void *data)
{
  const Coverage *coverage = data;
  PeerSearch search = { .name = member->owner.name };

  if (!mf_member_is_live (member))
    return true;
  mf_burn_foreach_peer (coverage->core->board.burn, search_merged, &search);
  if (!search.found)
    json_object_array_add (coverage->missing, json_object_new_string (member->owner.name));
  return true;
}

/* Adds which instances the sums cover and since when. Instances do not store counts, so a window
 * only has what its instances counted since they started. */
static void
add_coverage (const MfCore *core, json_object *report)
{
  Coverage coverage = {
    .core = core,
    .merged = json_object_new_array (),
    .missing = json_object_new_array (),
  };

  mf_render_age (report, "counting_since_s", core, mf_burn_started_us (core->board.burn));
  mf_burn_foreach_peer (core->board.burn, add_merged, &coverage);
  mf_member_foreach (core, add_missing, &coverage);
  json_object_object_add (report, "merged", coverage.merged);
  json_object_object_add (report, "missing", coverage.missing);
  mf_render_number (report, "rows_missed", mf_burn_n_rows_missed (core->board.burn));
}

/* Counts of ended requests by code: of the process, or of one point of a series. */
typedef struct
{
  const uint64_t *by_code;
  json_object *list;
} EndCounts;

static bool
add_end (const MfCodeInfo *info, void *data)
{
  const EndCounts *ends = data;
  uint64_t n = ends->by_code[mf_code_index (info->code)];
  json_object *object;

  if (n == 0 || info->code == MF_CODE_OK)
    return true;
  object = json_object_new_object ();
  mf_render_code (object, info->code);
  mf_render_number (object, "count", n);
  json_object_array_add (ends->list, object);
  return true;
}

static void
add_ends (const MfCore *core, json_object *report)
{
  EndCounts ends = { .by_code = core->board.counters.by_code, .list = json_object_new_array () };
  json_object *phases = json_object_new_array ();

  mf_code_foreach (add_end, &ends);
  json_object_object_add (report, "ends", ends.list);
  for (uint32_t by = MF_ENDED_BY_CALLER; by < MF_ENDED_BY_COUNT; by++)
    {
      for (uint32_t phase = 0; phase < MF_PHASE_COUNT; phase++)
        {
          uint64_t n = mf_trace_n_ended (core->board.trace, (MfEndedBy)by, phase);
          json_object *object;

          if (n == 0)
            continue;
          object = json_object_new_object ();
          mf_render_text (object, "ended_by", mf_ended_by_name ((MfEndedBy)by));
          mf_render_text (object, "phase", mf_phase_name ((MfPhase)phase));
          mf_render_number (object, "count", n);
          json_object_array_add (phases, object);
        }
    }
  json_object_object_add (report, "ended_by", phases);
}

static void
add_counters (const MfCore *core, json_object *report)
{
  json_object *counters = json_object_new_object ();

  for (uint32_t i = 0; i < MF_COUNTER_COUNT; i++)
    mf_render_number (counters, mf_counter_name ((MfCounter)i), core->board.counters.values[i]);
  json_object_object_add (report, "counters", counters);
}

/* Context of add_point. */
typedef struct
{
  const MfCore *core;
  json_object *points;
} Points;

static bool
add_point_code (const MfCodeInfo *info, void *data)
{
  const EndCounts *ends = data;
  uint64_t n = ends->by_code[mf_code_index (info->code)];

  if (n > 0 && info->code != MF_CODE_OK)
    mf_render_number (ends->list, info->name, n);
  return true;
}

static void
add_point (const MfSeriesPoint *point, void *data)
{
  const Points *points = data;
  json_object *object = json_object_new_object ();
  uint64_t by_code[MF_CODES_MAX];
  EndCounts ends = { .by_code = by_code, .list = json_object_new_object () };

  for (uint32_t i = 0; i < MF_CODES_MAX; i++)
    by_code[i] = point->by_code[i];
  mf_render_age (object, "age_s", points->core, point->end_us);
  mf_render_real (object, "length_s", (double)point->length_us / (double)MF_US_PER_S);
  mf_render_number (object, "requests", point->counters[MF_COUNTER_REQUESTS]);
  mf_render_number (object, "answered", point->counters[MF_COUNTER_ANSWERED]);
  mf_render_number (object, "good", point->counters[MF_COUNTER_GOOD]);
  mf_render_number (object, "departed", point->counters[MF_COUNTER_DEPARTED]);
  mf_render_number (object, "tokens", point->counters[MF_COUNTER_TOKENS]);
  mf_render_number (object, "prefill_tokens", point->counters[MF_COUNTER_PREFILL_TOKENS]);
  mf_render_number (object, "wasted_tokens", point->counters[MF_COUNTER_WASTED_PREFILL_TOKENS]);
  mf_render_number (object, "queued", point->queued);
  mf_render_number (object, "in_flight", point->in_flight);
  mf_render_number (object, "debts", point->cancels);
  for (uint32_t role = 0; role < MF_ROLE_COUNT; role++)
    {
      json_object *slots = json_object_new_object ();

      mf_render_number (slots, "used", point->slots_used[role]);
      mf_render_number (slots, "slots", point->slots[role]);
      json_object_object_add (object, mf_role_name ((MfRole)role), slots);
    }
  mf_code_foreach (add_point_code, &ends);
  json_object_object_add (object, "ends", ends.list);
  json_object_array_add (points->points, object);
}

static void
add_series (const MfCore *core, json_object *report)
{
  static const char *const names[MF_SERIES_COUNT] = { "fine", "coarse" };
  json_object *series = json_object_new_object ();

  for (uint32_t i = 0; i < MF_SERIES_COUNT; i++)
    {
      Points points = { .core = core, .points = json_object_new_array () };

      mf_series_foreach (core, (MfSeriesKind)i, add_point, &points);
      json_object_object_add (series, names[i], points.points);
    }
  json_object_object_add (report, "series", series);
}

bool
mf_report_render (const MfCore *core, MfBuffer *out)
{
  json_object *report = json_object_new_object ();

  mf_render_instance (report, core);
  mf_render_number (report, "revision",
                    core->board.config != NULL ? core->board.config->revision : 0);
  add_coverage (core, report);
  add_services (core, report);
  add_customers (core, report);
  add_ends (core, report);
  add_counters (core, report);
  add_series (core, report);
  return mf_render_finish (report, out);
}
