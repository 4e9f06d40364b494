#ifndef MF_ANSWER_H
#define MF_ANSWER_H

#include "action.h"
#include "buffer.h"

/* What the answer to one request looks like. */
typedef struct
{
  bool chat;
  const char *name; /* the request's */
  const char *model;
  uint64_t created_s;
  uint32_t prompt_tokens;
  uint32_t max_tokens; /* 0 when the caller named none */
} MfAnswerShape;

/* Streamed answers, as server-sent events. The text is JSON-escaped. */
void mf_answer_chunk (MfBuffer *out, const MfAnswerShape *shape, bool first, const char *text,
                      size_t text_bytes);
void mf_answer_chunk_end (MfBuffer *out, const MfAnswerShape *shape, uint32_t n_tokens);
/* Ends a stream that has begun. */
void mf_answer_chunk_error (MfBuffer *out, const MfAnswerAction *refusal, const char *name);

/* A gathered answer. The text is JSON-escaped. */
void mf_answer_full (MfBuffer *out, const MfAnswerShape *shape, const char *text, size_t text_bytes,
                     uint32_t n_tokens);
/* The problem document of a refusal. detail may be NULL. */
void mf_answer_problem (MfBuffer *out, const MfAnswerAction *refusal, const char *name,
                        const char *detail);
/* The models of the text in force; config may be NULL. */
void mf_answer_models (MfBuffer *out, const MfConfig *config);
/* Whole seconds to name in Retry-After; 0 for none. */
uint64_t mf_answer_retry_after_s (uint64_t retry_after_ms);

#endif
