#include "status.h"

#include "cancel.h"
#include "member.h"
#include "queue.h"
#include "render.h"
#include "suspect_core.h"

#include <stdlib.h>

/* Suspect and quarantined requests listed. */
#define SUSPECTS_SHOWN 100

/* Context of the functions that fill a list. */
typedef struct
{
  const MfCore *core;
  json_object *list;
} Listing;

static void
add_config (const MfCore *core, json_object *status)
{
  const MfConfigState *state = &core->board.config_state;
  json_object *config = json_object_new_object ();
  json_object *refused;

  mf_render_number (config, "revision",
                    core->board.config != NULL ? core->board.config->revision : 0);
  mf_render_text (config, "source", state->source);
  mf_render_age (config, "age_s", core, state->accepted_us);
  mf_render_age (config, "platform_heard_s", core, state->platform_answered_us);
  mf_render_age (config, "platform_lost_s", core, state->platform_failed_us);
  mf_render_number (config, "list_index", core->board.list_index);
  if (state->refused_revision != 0)
    {
      refused = json_object_new_object ();
      mf_render_number (refused, "revision", state->refused_revision);
      mf_render_age (refused, "age_s", core, state->refused_us);
      mf_render_number (refused, "line", state->refused_fault.line);
      mf_render_number (refused, "column", state->refused_fault.column);
      mf_render_code (refused, state->refused_fault.code);
      mf_render_text (refused, "text", state->refused_fault.text);
      json_object_object_add (config, "refused", refused);
    }
  json_object_object_add (status, "config", config);
}

/* Lists the pools of a service, each with its numbers of upstreams and of usable ones. */
static void
add_pools (const MfCore *core, const MfService *service, json_object *object)
{
  const uint32_t rows[] = { service->prefill_pool, service->decode_pool, service->plain_pool };
  json_object *pools = json_object_new_array ();

  for (size_t i = 0; i < MF_ARRAY_LEN (rows); i++)
    {
      json_object *pool;
      const MfPoolRow *row;

      if (rows[i] >= core->board.services.n_pools)
        continue;
      row = &core->board.services.pools[rows[i]];
      pool = json_object_new_object ();
      mf_render_text (pool, "role", mf_role_name (row->role));
      mf_render_number (pool, "usable", row->n_usable);
      mf_render_number (pool, "members", row->n_members);
      json_object_array_add (pools, pool);
    }
  json_object_object_add (object, "pools", pools);
}

/* Lists the dependencies of a service, and those that are down. */
static void
add_needs (const MfCore *core, const MfService *service, json_object *object)
{
  json_object *needs = json_object_new_array ();
  json_object *down = json_object_new_array ();

  for (uint32_t i = 0; i < service->n_depends; i++)
    {
      const char *name = core->board.services.rows[service->depends[i]].config.name;
      MfCode missing;

      json_object_array_add (needs, json_object_new_string (name));
      if (!mf_service_is_up (core, service->depends[i], &missing))
        json_object_array_add (down, json_object_new_string (name));
    }
  json_object_object_add (object, "needs", needs);
  json_object_object_add (object, "needs_down", down);
}

static void
add_services (const MfCore *core, json_object *status)
{
  json_object *services = json_object_new_array ();

  for (uint32_t i = 0; i < core->board.services.n_rows; i++)
    {
      const MfServiceRow *row = &core->board.services.rows[i];
      json_object *object;
      MfCode missing = MF_CODE_OK;
      bool up;

      if (!row->in_config)
        continue;
      up = mf_service_is_up (core, i, &missing);
      object = json_object_new_object ();
      mf_render_text (object, "service", row->config.name);
      mf_render_text (object, "kind", row->config.kind == MF_SERVICE_MODEL ? "model" : "plain");
      mf_render_text (object, "class", mf_class_name (row->config.class_));
      mf_render_text (object, "state", up ? "up" : "down");
      mf_render_code (object, missing);
      mf_render_number (object, "in_flight", row->n_in_flight);
      mf_render_number (object, "queued", mf_queue_service_length (core, i));
      add_needs (core, &row->config, object);
      add_pools (core, &row->config, object);
      json_object_array_add (services, object);
    }
  json_object_object_add (status, "services", services);
}

static json_object *
upstream_object (const MfCore *core, const MfUpstream *upstream)
{
  json_object *object = json_object_new_object ();

  mf_render_text (object, "upstream", upstream->config.name);
  mf_render_text (object, "role", mf_role_name (upstream->role));
  mf_render_text (object, "address", upstream->config.address);
  mf_render_text (object, "data_centre", upstream->config.data_centre);
  mf_render_text (object, "health", mf_health_name (upstream->health));
  mf_render_code (object, upstream->health_reason);
  mf_render_age (object, "since_s", core, upstream->health_since_us);
  mf_render_number (object, "slots_used", mf_upstream_slots_used (upstream));
  mf_render_number (object, "slots", mf_upstream_slots (upstream));
  mf_render_number (object, "own_slots", upstream->own_slots);
  mf_render_number (object, "pieces_free", upstream->load.pieces_free);
  mf_render_number (object, "pieces", upstream->config.pieces);
  mf_render_age (object, "report_age_s", core, upstream->load_at_us);
  mf_render_real (object, "token_gap_ms", (double)upstream->token_gap_us / 1000);
  mf_render_real (object, "answer_ms", (double)upstream->answer_us / 1000);
  mf_render_number (object, "prefill_tokens_per_s", upstream->prefill_tokens_per_s);
  mf_render_number (object, "suspects", upstream->n_suspects);
  mf_render_hex (object, "incarnation", upstream->load.incarnation);
  mf_render_text (object, "model", upstream->load.model);
  mf_render_bool (object, "loading", upstream->load.loading);
  mf_render_number (object, "fence", upstream->fence_last);
  return object;
}

/* Marks the upstreams that this instance uses, a bounded number per pool. */
static void
mark_used (const MfCore *core, bool *used)
{
  const MfServices *services = &core->board.services;

  for (uint32_t i = 0; i < services->n_pools; i++)
    {
      for (uint32_t k = 0; services->pools[i].in_config && k < services->pools[i].n_active; k++)
        used[services->pools[i].active[k]] = true;
    }
}

/* Lists the upstreams that this instance uses and those that are not healthy; of the others it
 * knows only the configuration. */
static void
add_upstreams (const MfCore *core, json_object *status)
{
  json_object *upstreams = json_object_new_array ();
  bool *used = calloc ((size_t)core->board.n_upstreams + 1, sizeof *used);
  uint32_t n_total = 0;

  if (used != NULL)
    mark_used (core, used);
  for (uint32_t role = 0; used != NULL && role < MF_ROLE_COUNT; role++)
    {
      for (uint32_t i = 0; i < core->board.n_upstreams; i++)
        {
          const MfUpstream *upstream = &core->board.upstreams[i];

          if (!upstream->in_config || (uint32_t)upstream->role != role)
            continue;
          n_total++;
          if (used[i] || upstream->health != MF_HEALTH_OK)
            json_object_array_add (upstreams, upstream_object (core, upstream));
        }
    }
  free (used);
  mf_render_number (status, "upstreams_total", n_total);
  json_object_object_add (status, "upstreams", upstreams);
}

static bool
add_member (const MfMember *member, void *data)
{
  static const char *const states[] = {
    [MF_MEMBER_ALIVE] = "alive",
    [MF_MEMBER_SUSPECT] = "suspect",
    [MF_MEMBER_DEAD] = "dead",
    [MF_MEMBER_LEAVING] = "leaving",
  };
  const Listing *listing = data;
  json_object *object = json_object_new_object ();

  mf_render_text (object, "instance", member->id.name);
  mf_render_hex (object, "incarnation", member->id.incarnation);
  mf_render_text (object, "data_centre", member->data_centre);
  mf_render_text (object, "address", member->address);
  mf_render_text (object, "state", states[member->state]);
  mf_render_bool (object, "linked", member->link_id != 0);
  mf_render_bool (object, "listed", member->listed);
  mf_render_bool (object, "votes", member->admitted);
  mf_render_age (object, "heard_s", listing->core, member->last_seen_us);
  json_object_array_add (listing->list, object);
  return true;
}

static bool
add_suspect (void *data, const MfSuspect *suspect)
{
  const Listing *listing = data;
  json_object *object = json_object_new_object ();
  bool quarantined = suspect->quarantined_until_us > listing->core->board.now_us;

  mf_render_hex (object, "digest", suspect->digest);
  mf_render_number (object, "deaths", suspect->n_crashes);
  mf_render_text (object, "state", quarantined ? "convicted" : "suspected");
  mf_render_age (object, "age_s", listing->core, suspect->at_us);
  json_object_array_add (listing->list, object);
  return json_object_array_length (listing->list) < SUSPECTS_SHOWN;
}

bool
mf_status_render (const MfCore *core, MfBuffer *out)
{
  json_object *status = json_object_new_object ();
  Listing members = { .core = core, .list = json_object_new_array () };
  Listing suspects = { .core = core, .list = json_object_new_array () };

  mf_render_instance (status, core);
  mf_render_number (status, "in_flight", mf_request_count (core));
  mf_render_number (status, "queued", mf_queue_length (core));
  mf_render_number (status, "debts", mf_cancel_count (core));
  mf_render_number (status, "suspected_requests", mf_suspect_count (core));
  add_config (core, status);
  add_services (core, status);
  add_upstreams (core, status);
  mf_member_foreach (core, add_member, &members);
  json_object_object_add (status, "instances", members.list);
  mf_suspect_foreach (core, add_suspect, &suspects);
  json_object_object_add (status, "suspects", suspects.list);
  return mf_render_finish (status, out);
}
