#ifndef MF_INTAKE_H
#define MF_INTAKE_H

#include "event.h"

#define MF_REQUEST_NAME_BYTES 64
#define MF_IDEMPOTENCY_KEY_BYTES_MAX 255

/* A caller's request as it came over HTTP. Headers that were not sent are NULL. */
typedef struct
{
  const char *method;
  const char *path; /* without its query */
  const char *content_type;
  const char *authorization;
  const char *idempotency_key;
  const char *request_name; /* X-Request-Id, or one made by the adapter; never NULL */
  const char *deadline_ms;  /* Mangofork-Deadline-Ms */
  const char *class_;       /* Mangofork-Class */
  const char *body;
  size_t body_bytes;
} MfIntakeSource;

/* What a request asks for. The request's pointers stand in this structure or in the source. */
typedef struct
{
  MfRequestEvent request;
  char name[MF_REQUEST_NAME_BYTES];
  char model[MF_NAME_BYTES];
  bool chat;
} MfIntake;

/* Whether a path is one of the model interface, and whether it is the chat form. */
bool mf_intake_is_model_path (const char *path, bool *chat);
/* Reads and checks a request. Returns false with error set when it is malformed; the intake's name
 * is set even then. */
bool mf_intake_read (const MfIntakeSource *source, uint64_t request_id, MfIntake *intake,
                     MfError *error);
/* Writes the chained hashes of the whole pieces of the prompt in a body, as the request event
 * carries them, and returns how many there are. */
uint32_t mf_intake_prefix_hashes (const char *body, size_t body_bytes,
                                  uint64_t hashes[MF_PREFIX_HASHES_MAX]);

#endif
