#include "explain.h"

#include "render.h"
#include "request.h"

#include <inttypes.h>
#include <stdio.h>

#define STEP_TEXT_BYTES 256

/* State while the requests of one name are written. */
typedef struct
{
  const MfCore *core;
  json_object *requests;
  json_object *request; /* being written */
  json_object *steps;
  uint64_t request_id;
  uint64_t start_us;
} Explanation;

static const char *
call_name (uint64_t kind)
{
  static const char *const names[MF_CALL_COUNT] = {
    [MF_CALL_PREFILL] = "prefill",  [MF_CALL_DECODE] = "decode",
    [MF_CALL_RESUME] = "resume",    [MF_CALL_PLAIN] = "plain call",
    [MF_CALL_CANCEL] = "cancel",    [MF_CALL_CANCEL_OWNER] = "cancel of all work of an instance",
    [MF_CALL_LOAD] = "load report", [MF_CALL_ORDER] = "order",
  };

  return kind < MF_CALL_COUNT ? names[kind] : "call";
}

static const char *
decision_name (uint64_t decision)
{
  static const char *const names[] = {
    [MF_CLAIM_GRANTED] = "granted",
    [MF_CLAIM_ANSWERED] = "answered before",
    [MF_CLAIM_UNKNOWN] = "the outcome of an earlier run is unknown",
    [MF_CLAIM_NO_QUORUM] = "too few votes",
    [MF_CLAIM_BODY_DIFFERS] = "used before with another body",
    [MF_CLAIM_TOO_OLD] = "older than the time that keys are kept",
  };

  return decision < MF_ARRAY_LEN (names) ? names[decision] : "settled";
}

/* Describes a step in one line. */
static void
step_text (const MfCore *core, const MfTraceStep *step, char *text)
{
  const char *upstream = mf_render_upstream_name (core, step->upstream);
  const char *other = mf_render_upstream_name (core, step->other_upstream);
  double ms = (double)step->value / 1000;
  uint64_t n = step->value;

  switch (step->kind)
    {
    case MF_TRACE_ARRIVED:
      snprintf (text, STEP_TEXT_BYTES, "received completely, %" PRIu64 " prompt tokens", n);
      return;
    case MF_TRACE_QUEUED:
      snprintf (text, STEP_TEXT_BYTES, "queued behind %" PRIu64 " other requests", n);
      return;
    case MF_TRACE_PLACED:
      if (step->other_upstream == MF_NONE)
        other = "an engine to be chosen when the KV is ready";
      snprintf (text, STEP_TEXT_BYTES,
                "placed: prefill on %s, decode on %s, first token predicted in %.1f ms", upstream,
                other, ms);
      return;
    case MF_TRACE_ALTERNATIVE:
      snprintf (text, STEP_TEXT_BYTES,
                "second best, not used: prefill on %s, first token predicted in %.1f ms", upstream,
                ms);
      return;
    case MF_TRACE_CALLED:
      snprintf (text, STEP_TEXT_BYTES, "%s sent to %s", call_name (n), upstream);
      return;
    case MF_TRACE_PREFILLED:
      snprintf (text, STEP_TEXT_BYTES, "prefill finished on %s; its KV waits to be imported",
                upstream);
      return;
    case MF_TRACE_IMPORTED:
      snprintf (text, STEP_TEXT_BYTES, "KV imported by %s", upstream);
      return;
    case MF_TRACE_FIRST_TOKEN:
      snprintf (text, STEP_TEXT_BYTES, "first token from %s after %.1f ms", upstream, ms);
      return;
    case MF_TRACE_CALL_FAILED:
      snprintf (text, STEP_TEXT_BYTES, "call to %s failed after %" PRIu64 " tokens delivered",
                upstream, n);
      return;
    case MF_TRACE_RETRIED:
      snprintf (text, STEP_TEXT_BYTES, "to be retried on an upstream other than %s", upstream);
      return;
    case MF_TRACE_RESUMED:
      snprintf (text, STEP_TEXT_BYTES, "resumed on %s at token %" PRIu64, upstream, n);
      return;
    case MF_TRACE_HEDGED:
      snprintf (text, STEP_TEXT_BYTES, "hedged: also sent to %s because %s is slow", upstream,
                other);
      return;
    case MF_TRACE_CLAIMED:
      snprintf (text, STEP_TEXT_BYTES, "claim of its idempotency key: %s", decision_name (n));
      return;
    case MF_TRACE_CANCELLED:
      snprintf (text, STEP_TEXT_BYTES, "cancel to be confirmed by %s", upstream);
      return;
    case MF_TRACE_SUSPECTED:
      snprintf (text, STEP_TEXT_BYTES,
                "%s died while running it; suspected of causing %" PRIu64 " deaths", upstream, n);
      return;
    case MF_TRACE_ENDED:
      if (step->code == MF_CODE_OK)
        {
          snprintf (text, STEP_TEXT_BYTES, "answered in full, %" PRIu64 " tokens delivered", n);
          return;
        }
      snprintf (text, STEP_TEXT_BYTES,
                "ended by the %s while %s: %d %s, %" PRIu64 " tokens delivered",
                mf_ended_by_name (step->ended_by), mf_phase_name (step->phase), (int)step->code,
                mf_code_info (step->code)->name, n);
      return;
    case MF_TRACE_KIND_COUNT:
      break;
    }
  text[0] = '\0';
}

static void
request_begin (Explanation *explanation, const MfTraceStep *step)
{
  explanation->request_id = step->request_id;
  explanation->start_us = step->at_us;
  explanation->request = json_object_new_object ();
  explanation->steps = json_object_new_array ();
  mf_render_number (explanation->request, "request_id", step->request_id);
  mf_render_age (explanation->request, "age_s", explanation->core, step->at_us);
  mf_render_text (explanation->request, "state", "running");
  json_object_object_add (explanation->request, "steps", explanation->steps);
  json_object_array_add (explanation->requests, explanation->request);
}

static void
request_end (const Explanation *explanation, const MfTraceStep *step)
{
  mf_render_text (explanation->request, "state", "ended");
  mf_render_text (explanation->request, "ended_by", mf_ended_by_name (step->ended_by));
  mf_render_text (explanation->request, "phase", mf_phase_name (step->phase));
  mf_render_number (explanation->request, "tokens", step->value);
  mf_render_code (explanation->request, step->code);
}

static void
add_step (const MfTraceStep *step, void *data)
{
  Explanation *explanation = data;
  json_object *object = json_object_new_object ();
  char text[STEP_TEXT_BYTES];

  if (explanation->request == NULL || explanation->request_id != step->request_id)
    request_begin (explanation, step);
  step_text (explanation->core, step, text);
  mf_render_real (object, "at_ms", (double)(step->at_us - explanation->start_us) / 1000);
  mf_render_text (object, "step", mf_trace_kind_name (step->kind));
  mf_render_text (object, "phase", mf_phase_name (step->phase));
  mf_render_text (object, "text", text);
  json_object_array_add (explanation->steps, object);
  if (step->kind == MF_TRACE_ENDED)
    request_end (explanation, step);
}

bool
mf_explain_render (const MfCore *core, const char *name, MfBuffer *out)
{
  json_object *object = json_object_new_object ();
  Explanation explanation = { .core = core, .requests = json_object_new_array () };

  mf_render_instance (object, core);
  mf_render_text (object, "request", name);
  json_object_object_add (object, "requests", explanation.requests);
  if (mf_trace_foreach (core->board.trace, name, add_step, &explanation)
      && explanation.request != NULL)
    return mf_render_finish (object, out);
  json_object_put (object);
  return false;
}
