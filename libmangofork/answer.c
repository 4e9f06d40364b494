#include "answer.h"

#include <string.h>

static void
add_text (MfBuffer *out, const char *text)
{
  mf_buffer_add_text (out, text);
}

/* Starts an object with the members that all answers of the model interface have. */
static void
object_begin (MfBuffer *out, const MfAnswerShape *shape, const char *object)
{
  add_text (out, "{\"id\":\"");
  mf_buffer_add_escaped (out, shape->name);
  add_text (out, "\",\"object\":\"");
  add_text (out, object);
  add_text (out, "\",\"created\":");
  mf_buffer_add_number (out, shape->created_s);
  add_text (out, ",\"model\":\"");
  mf_buffer_add_escaped (out, shape->model);
  add_text (out, "\",\"choices\":[{\"index\":0,");
}

static void
chunk_begin (MfBuffer *out, const MfAnswerShape *shape)
{
  add_text (out, "data: ");
  object_begin (out, shape, shape->chat ? "chat.completion.chunk" : "text_completion");
}

void
mf_answer_chunk (MfBuffer *out, const MfAnswerShape *shape, bool first, const char *text,
                 size_t text_bytes)
{
  chunk_begin (out, shape);
  if (!shape->chat)
    add_text (out, "\"text\":\"");
  else
    add_text (out, first ? "\"delta\":{\"role\":\"assistant\",\"content\":\""
                         : "\"delta\":{\"content\":\"");
  mf_buffer_add (out, text, text_bytes);
  add_text (out,
            shape->chat ? "\"},\"finish_reason\":null}]}\n\n" : "\",\"finish_reason\":null}]}\n\n");
}

/* "length" when the answer reached the caller's limit, "stop" when it ended before. */
static const char *
finish_reason (const MfAnswerShape *shape, uint32_t n_tokens)
{
  return shape->max_tokens != 0 && n_tokens >= shape->max_tokens ? "length" : "stop";
}

static void
usage_add (MfBuffer *out, const MfAnswerShape *shape, uint32_t n_tokens)
{
  add_text (out, "\"usage\":{\"prompt_tokens\":");
  mf_buffer_add_number (out, shape->prompt_tokens);
  add_text (out, ",\"completion_tokens\":");
  mf_buffer_add_number (out, n_tokens);
  add_text (out, ",\"total_tokens\":");
  mf_buffer_add_number (out, (uint64_t)shape->prompt_tokens + n_tokens);
  add_text (out, "}}");
}

void
mf_answer_chunk_end (MfBuffer *out, const MfAnswerShape *shape, uint32_t n_tokens)
{
  chunk_begin (out, shape);
  add_text (out, shape->chat ? "\"delta\":{}" : "\"text\":\"\"");
  add_text (out, ",\"finish_reason\":\"");
  add_text (out, finish_reason (shape, n_tokens));
  add_text (out, "\"}],");
  usage_add (out, shape, n_tokens);
  add_text (out, "\n\ndata: [DONE]\n\n");
}

/* A stream that cannot be completed ends with an error event and without the line data: [DONE]. */
void
mf_answer_chunk_error (MfBuffer *out, const MfAnswerAction *refusal, const char *name)
{
  add_text (out, "event: error\ndata: ");
  mf_answer_problem (out, refusal, name, NULL);
  add_text (out, "\n\n");
}

void
mf_answer_full (MfBuffer *out, const MfAnswerShape *shape, const char *text, size_t text_bytes,
                uint32_t n_tokens)
{
  object_begin (out, shape, shape->chat ? "chat.completion" : "text_completion");
  add_text (out,
            shape->chat ? "\"message\":{\"role\":\"assistant\",\"content\":\"" : "\"text\":\"");
  mf_buffer_add (out, text, text_bytes);
  add_text (out, shape->chat ? "\"}" : "\"");
  add_text (out, ",\"finish_reason\":\"");
  add_text (out, finish_reason (shape, n_tokens));
  add_text (out, "\"}],");
  usage_add (out, shape, n_tokens);
}

void
mf_answer_problem (MfBuffer *out, const MfAnswerAction *refusal, const char *name,
                   const char *detail)
{
  const MfCodeInfo *info = mf_code_info (refusal->code);
  uint64_t retry_after_s = mf_answer_retry_after_s (refusal->retry_after_ms);

  add_text (out, "{\"type\":\"urn:mangofork:code:");
  mf_buffer_add_number (out, (uint64_t)info->code);
  add_text (out, "\",\"title\":\"");
  mf_buffer_add_escaped (out, info->summary);
  add_text (out, "\",\"status\":");
  mf_buffer_add_number (out, refusal->status != 0 ? refusal->status : info->http_status);
  if (detail != NULL && detail[0] != '\0')
    {
      add_text (out, ",\"detail\":\"");
      mf_buffer_add_escaped (out, detail);
      add_text (out, "\"");
    }
  add_text (out, ",\"code\":");
  mf_buffer_add_number (out, (uint64_t)info->code);
  add_text (out, ",\"name\":\"");
  add_text (out, info->name);
  add_text (out, "\",\"outcome\":\"");
  add_text (out, mf_outcome_name (refusal->outcome));
  if (retry_after_s != 0)
    {
      add_text (out, "\",\"retry_after_s\":");
      mf_buffer_add_number (out, retry_after_s);
      add_text (out, ",\"request\":\"");
    }
  else
    add_text (out, "\",\"request\":\"");
  mf_buffer_add_escaped (out, name);
  add_text (out, "\"}");
}

void
mf_answer_models (MfBuffer *out, const MfConfig *config)
{
  bool first = true;

  add_text (out, "{\"object\":\"list\",\"data\":[");
  for (uint32_t i = 0; config != NULL && i < config->n_services; i++)
    {
      const MfService *service = &config->services[i];

      if (service->kind != MF_SERVICE_MODEL)
        continue;
      add_text (out, first ? "{\"id\":\"" : ",{\"id\":\"");
      mf_buffer_add_escaped (out, service->model);
      add_text (out, "\",\"object\":\"model\",\"created\":0,\"owned_by\":\"");
      mf_buffer_add_escaped (out, service->name);
      add_text (out, "\"}");
      first = false;
    }
  add_text (out, "]}");
}

uint64_t
mf_answer_retry_after_s (uint64_t retry_after_ms)
{
  return (retry_after_ms + 999) / 1000;
}
