#ifndef MF_ANSWER_H
#define MF_ANSWER_H

#include "action.h"
#include "buffer.h"

/* What the answer to a request is built from, apart from its text. */
typedef struct
{
  bool chat;
  const char *name; /* the request id */
  const char *model;
  uint64_t created_s;
  uint32_t prompt_tokens;
  uint32_t max_tokens; /* 0 when the caller set no limit */
} MfAnswerShape;

/* Streamed answers, as server-sent events. The text is JSON-escaped. */
void mf_answer_chunk (MfBuffer *out, const MfAnswerShape *shape, bool first, const char *text,
                      size_t text_bytes);
void mf_answer_chunk_end (MfBuffer *out, const MfAnswerShape *shape, uint32_t n_tokens);
/* Writes the error event that ends a started stream. */
void mf_answer_chunk_error (MfBuffer *out, const MfAnswerAction *refusal, const char *name);

/* An answer that is not streamed. The text is JSON-escaped. */
void mf_answer_full (MfBuffer *out, const MfAnswerShape *shape, const char *text, size_t text_bytes,
                     uint32_t n_tokens);
/* The problem document (RFC 9457) of a refusal. detail may be NULL. */
void mf_answer_problem (MfBuffer *out, const MfAnswerAction *refusal, const char *name,
                        const char *detail);
/* The list of models of a configuration, which may be NULL. */
void mf_answer_models (MfBuffer *out, const MfConfig *config);
/* Value of Retry-After, rounded up to seconds; 0 for no header. */
uint64_t mf_answer_retry_after_s (uint64_t retry_after_ms);

#endif
