#include "job_row.h"

#include "load.h"

#include "libmangofork/clock.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define TEXT_BYTES 1024
/* A draw outside of every share, for which the placement of spillover is that of most requests. */
#define DRAW_STAYING UINT32_MAX

/* The request that is asked about. */
typedef struct
{
  char host[TEXT_BYTES];
  char path[TEXT_BYTES];
  char method[TEXT_BYTES];
  uint64_t prompt_tokens;
  uint64_t output_tokens;
} Question;

static int
hex_digit (char digit)
{
  if (digit >= '0' && digit <= '9')
    return digit - '0';
  digit |= 0x20;
  return digit >= 'a' && digit <= 'f' ? digit - 'a' + 10 : -1;
}

/* Copies the unescaped value of a key of a query of n_bytes. Returns false if it is missing, too
 * long or badly escaped. */
static bool
query_value (const char *query, size_t n_bytes, const char *key, char value[TEXT_BYTES])
{
  size_t key_bytes = strlen (key);
  const char *end = query + n_bytes;
  size_t at = 0;

  while (query < end
         && ((size_t)(end - query) <= key_bytes || memcmp (query, key, key_bytes) != 0
             || query[key_bytes] != '='))
    {
      const char *next = memchr (query, '&', (size_t)(end - query));

      query = next != NULL ? next + 1 : end;
    }
  if (query == end)
    return false;
  for (query += key_bytes + 1; query < end && *query != '&'; query++)
    {
      char byte = *query;

      if (byte == '%')
        {
          int high = end - query > 2 ? hex_digit (query[1]) : -1;
          int low = high >= 0 ? hex_digit (query[2]) : -1;

          if (low < 0 || high * 16 + low == 0)
            return false;
          byte = (char)(high * 16 + low);
          query += 2;
        }
      if (at + 1 == TEXT_BYTES)
        return false;
      value[at++] = byte;
    }
  value[at] = '\0';
  return true;
}

/* Reads what is asked. Returns false if host or path are missing, or a value is not readable. */
static bool
question_read (const char *query, size_t n_bytes, Question *question)
{
  char tokens[TEXT_BYTES];
  char *end;

  if (!query_value (query, n_bytes, "host", question->host)
      || !query_value (query, n_bytes, "path", question->path))
    return false;
  if (!query_value (query, n_bytes, "method", question->method))
    question->method[0] = '\0';
  if (!query_value (query, n_bytes, "tokens", tokens))
    return true;
  question->prompt_tokens = strtoull (tokens, &end, 10);
  if (end == tokens || *end != ',')
    return false;
  question->output_tokens = strtoull (end + 1, &end, 10);
  return *end == '\0';
}

static void
add_text (json_object *object, const char *key, const char *text)
{
  json_object_object_add (object, key, json_object_new_string (text));
}

static void
add_number (json_object *object, const char *key, uint64_t number)
{
  json_object_object_add (object, key, json_object_new_uint64 (number));
}

static void
add_real (json_object *object, const char *key, double number)
{
  json_object_object_add (object, key, json_object_new_double (number));
}

static void
add_bool (json_object *object, const char *key, bool value)
{
  json_object_object_add (object, key, json_object_new_boolean (value));
}

static json_object *
candidate_render (const MfTarget *target, const MfPlaceQuery *query, uint64_t now_us)
{
  json_object *object = json_object_new_object ();
  MfPlaceObstacle obstacle = mf_place_obstacle (target, query, now_us);

  add_text (object, "upstream", target->info.id);
  add_text (object, "data_centre", target->info.data_centre);
  add_text (object, "version", target->info.version);
  add_real (object, "cost_ms", mf_place_cost_us (target, query, now_us) / 1e3);
  add_number (object, "load", mf_target_load (target));
  add_number (object, "load_tokens", mf_target_load_tokens (target));
  add_real (object, "failure_share", mf_target_failure_share (target, now_us));
  add_text (object, "left_out", mf_place_obstacle_text (obstacle));
  return object;
}

/* Renders the choice for one role. Returns the upstream, or NULL. */
static const MfTarget *
role_render (const MfJobs *jobs, const MfPlaceQuery *query, uint64_t now_us, json_object *roles)
{
  json_object *object = json_object_new_object ();
  json_object *candidates = json_object_new_array ();
  MfPlaceQuery leaving = *query;
  bool any_available = false;
  const MfTarget *chosen = mf_place_choose (&jobs->targets, query, now_us, &any_available);
  const MfTarget *elsewhere;

  leaving.tie_break = 0;
  elsewhere = mf_place_choose (&jobs->targets, &leaving, now_us, &any_available);
  add_text (object, "role", mf_role_name (query->role));
  add_text (object, "chosen", chosen != NULL ? chosen->info.id : "");
  add_bool (object, "any_available", any_available);
  if (query->spillover != NULL && !query->is_grant)
    {
      add_real (object, "share",
                mf_spillover_share (query->spillover, query->service, query->role));
      add_text (object, "chosen_in_share", elsewhere != NULL ? elsewhere->info.id : "");
    }
  for (const MfTarget *target = jobs->targets.first; target != NULL; target = target->next)
    {
      if (target->info.role == query->role && strcmp (target->info.service, query->service) == 0)
        json_object_array_add (candidates, candidate_render (target, query, now_us));
    }
  json_object_object_add (object, "candidates", candidates);
  json_object_array_add (roles, object);
  return chosen;
}

/* Renders the placement of a request to one service. Engine slots are granted by the leader of the
 * service; this is the choice that it would make if it knew what is known here. */
static json_object *
service_render (const MfJobs *jobs, const MfRouteService *service, const Question *question,
                uint64_t now_us)
{
  json_object *object = json_object_new_object ();
  json_object *roles = json_object_new_array ();
  MfPlaceQuery query = {
    .service = service->name,
    .role = service->is_engine ? MF_ROLE_DECODE : MF_ROLE_PLAIN,
    .service_config = service,
    .data_centre = jobs->targets.data_centre,
    .connections_max = mf_jobs_connections_max (jobs, service),
    .spillover = jobs->targets.spillover,
    .must_fit = service->is_engine,
    .is_grant = service->is_engine,
    .max_wait_us = service->is_engine ? MF_DISPATCH_RATE_WAIT_US : 0,
    .tie_break = DRAW_STAYING,
  };
  const MfTarget *chosen;

  if (service->is_engine)
    {
      query.tokens = mf_load_kv_tokens (
          question->prompt_tokens, 0, (uint64_t)jobs->mean_answer_tokens, question->output_tokens);
      query.connections_max = 0;
    }
  add_text (object, "service", service->name);
  chosen = role_render (jobs, &query, now_us, roles);
  if (service->is_engine)
    {
      query.role = MF_ROLE_PREFILL;
      query.tokens = question->prompt_tokens;
      query.must_fit = false;
      query.decode_data_centre = chosen != NULL ? chosen->info.data_centre : NULL;
      role_render (jobs, &query, now_us, roles);
    }
  json_object_object_add (object, "roles", roles);
  return object;
}

static void
route_render (const MfJobs *jobs, const MfRoute *route, const Question *question, uint64_t now_us,
              json_object *page)
{
  json_object *services = json_object_new_array ();

  add_text (page, "route", route->name);
  for (uint32_t i = 0; i < route->n_shares; i++)
    {
      const MfRouteShare *share = &route->shares[i];
      json_object *object;

      if (share->service >= jobs->routes->n_services)
        continue;
      object = service_render (jobs, &jobs->routes->services[share->service], question, now_us);
      add_number (object, "weight", share->weight);
      json_object_array_add (services, object);
    }
  json_object_object_add (page, "services", services);
}

/* Appends, as JSON, where a request would be sent now and what each upstream costs; query has its
 * host, path, method and tokens. Nothing is sent, reserved or counted. Returns the HTTP status. */
uint32_t
mf_jobs_render_placement (MfJobs *jobs, const char *query, size_t query_bytes, MfBuffer *out)
{
  json_object *page = json_object_new_object ();
  uint64_t now_us = mf_clock_now_us ();
  const MfRoute *route = NULL;
  Question question = { 0 };
  uint32_t status = 200;
  const char *error = NULL;

  if (!question_read (query, query_bytes, &question))
    {
      error = "host and path are needed, tokens are two numbers";
      status = 400;
    }
  else if (jobs->routes == NULL)
    {
      error = "no configuration is known";
      status = 503;
    }
  else
    {
      size_t path_bytes = strcspn (question.path, "?");

      route = mf_routes_find (jobs->routes, question.host, strlen (question.host), question.path,
                              path_bytes);
    }
  if (error == NULL && route == NULL)
    {
      error = "no route";
      status = 404;
    }
  add_text (page, "instance", jobs->instance);
  add_text (page, "data_centre", jobs->targets.data_centre);
  add_text (page, "method", question.method);
  add_bool (page, "spillover", jobs->targets.spillover != NULL);
  if (error != NULL)
    add_text (page, "error", error);
  else
    {
      mf_jobs_refresh_remote_load (jobs, now_us);
      add_number (page, "config", jobs->routes->version);
      route_render (jobs, route, &question, now_us, page);
    }
  mf_buffer_add_text (out, json_object_to_json_string_ext (page, JSON_C_TO_STRING_NOSLASHESCAPE));
  mf_buffer_add_text (out, "\n");
  json_object_put (page);
  return status;
}
