#include "one_core.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static const char text[]
    = "{ \"services\": [\n"
      "{ \"name\": \"stock\", \"kind\": \"plain\", \"path\": \"/stock\", \"class\": \"read\","
      "  \"pool\": \"stock\", \"get_is_idempotent\": true, \"deadline_ms\": 2000,"
      "  \"ttft_target_ms\": 200 },\n"
      "{ \"name\": \"orders\", \"kind\": \"plain\", \"path\": \"/orders\", \"class\": \"order\","
      "  \"pool\": \"orders\", \"deadline_ms\": 5000, \"ttft_target_ms\": 200,"
      "  \"depends_on\": [\"stock\"] } ],\n"
      "\"pools\": [ { \"name\": \"stock\", \"role\": \"plain\", \"upstreams\": [ { \"name\": "
      "\"s1\","
      "  \"address\": \"127.0.0.1:9001\", \"data_centre\": \"a\", \"slots\": 8 } ] },\n"
      "{ \"name\": \"orders\", \"role\": \"plain\", \"upstreams\": [ { \"name\": \"o1\","
      "  \"address\": \"127.0.0.1:9002\", \"data_centre\": \"a\", \"slots\": 8 } ] } ],\n"
      "\"allow_anonymous\": true }";

static void
on_action (const MfAction *action, void *data)
{
  OneCore *one = data;

  if (action->type == MF_ACTION_CALL_START && action->call.kind == MF_CALL_PLAIN)
    one->call_id = action->call.call_id;
  else if (action->type == MF_ACTION_ANSWER_REFUSE)
    one->code = action->answer.code;
  else if (action->type == MF_ACTION_ANSWER_PLAIN)
    one->n_answered++;
}

void
one_core_step (OneCore *one, MfEvent *event)
{
  event->now_us = one->now_us;
  event->wall_ms = one->now_us / MF_US_PER_MS;
  mf_core_step (one->core, event);
}

/* Advances the clock with every tick that the core requests. */
void
one_core_wait (OneCore *one, uint64_t us)
{
  uint64_t until_us = one->now_us + us;

  while (one->now_us < until_us)
    {
      uint64_t next_us = mf_core_next_us (one->core);
      MfEvent event = { .type = MF_EVENT_TICK };

      one->now_us = next_us > one->now_us ? next_us : one->now_us + 1;
      if (one->now_us > until_us)
        one->now_us = until_us;
      one_core_step (one, &event);
    }
}

OneCore *
one_core_new (void)
{
  OneCore *one = calloc (1, sizeof *one);
  MfEvent event = { .type = MF_EVENT_PLATFORM_TEXT,
                    .text = { .revision = 7, .text = text, .text_bytes = sizeof text - 1 } };
  MfPlatformListEvent list = { .index = 1 };
  MfOptions options;
  MfError error = { 0 };

  assert_non_null (one);
  mf_core_options (&options);
  options.self = (MfInstanceId){ .name = "entry-1", .incarnation = 9 };
  one->now_us = 1000 * MF_US_PER_S;
  one->core = mf_core_new (&options, one->now_us, 0, on_action, one, &error);
  assert_non_null (one->core);
  one_core_step (one, &event);
  event = (MfEvent){ .type = MF_EVENT_PLATFORM_LIST, .list = list };
  one_core_step (one, &event);
  one_core_wait (one, 5 * MF_US_PER_S);
  assert_non_null (one->core->board.config);
  return one;
}

void
one_core_free (OneCore *one)
{
  mf_core_free (one->core);
  free (one);
}

void
one_core_request (OneCore *one, const char *name, const char *path, OneResult result,
                  uint64_t answer_us)
{
  uint64_t id = ++one->next_request;
  MfEvent event = { .type = MF_EVENT_REQUEST };

  one->call_id = 0;
  event.request = (MfRequestEvent){
    .request_id = id, .name = name, .path = path, .method = "GET", .digest = id
  };
  one_core_step (one, &event);
  if (one->call_id == 0)
    return;
  event = (MfEvent){ .type = MF_EVENT_CALL_SENT, .call = { .call_id = one->call_id } };
  one_core_step (one, &event);
  one_core_wait (one, answer_us);
  if (result == ONE_CALLER_LEAVES)
    event = (MfEvent){ .type = MF_EVENT_DEPARTED, .departed_id = id };
  else
    {
      event
          = (MfEvent){ .type = result == ONE_ANSWERS ? MF_EVENT_CALL_DONE : MF_EVENT_CALL_FAILED };
      event.call = (MfCallEvent){ .call_id = one->call_id,
                                  .sent = true,
                                  .status = 200,
                                  .data = "{}",
                                  .data_bytes = 2,
                                  .content_type = "application/json" };
    }
  one_core_step (one, &event);
}

json_object *
one_core_json (MfBuffer *buffer)
{
  json_object *object;

  mf_buffer_add (buffer, "", 1);
  object = json_tokener_parse (mf_buffer_data (buffer));
  assert_non_null (object);
  mf_buffer_clear (buffer);
  return object;
}

json_object *
one_core_at (json_object *object, const char *path)
{
  char key[64];

  while (*path != '\0')
    {
      size_t len = strcspn (path, ".");

      assert_true (len < sizeof key);
      memcpy (key, path, len);
      key[len] = '\0';
      path += path[len] == '.' ? len + 1 : len;
      if (json_object_is_type (object, json_type_array))
        object = json_object_array_get_idx (object, strtoul (key, NULL, 10));
      else if (!json_object_object_get_ex (object, key, &object))
        fail_msg ("no key %s", key);
    }
  return object;
}

uint64_t
one_core_number (json_object *object, const char *path)
{
  return json_object_get_uint64 (one_core_at (object, path));
}

const char *
one_core_text (json_object *object, const char *path)
{
  return json_object_get_string (one_core_at (object, path));
}
