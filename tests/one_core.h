#ifndef TESTS_ONE_CORE_H
#define TESTS_ONE_CORE_H

#include "libmangofork/buffer.h"
#include "libmangofork/core.h"

#include <json-c/json.h>

/* One core under a virtual clock, with the plain services "orders" on /orders, which depends on
 * "stock" on /stock. Their upstreams "o1" and "s1" behave as the test specifies. */
typedef struct
{
  MfCore *core;
  uint64_t now_us;
  uint64_t next_request;
  uint64_t call_id; /* of the last call started; 0 for none */
  MfCode code;      /* of the last refusal */
  uint32_t n_answered;
} OneCore;

/* How a request ends. */
typedef enum
{
  ONE_ANSWERS,
  ONE_FAILS,         /* the connection breaks after the call was sent */
  ONE_CALLER_LEAVES, /* the caller disconnects after the call was sent */
} OneResult;

OneCore *one_core_new (void);
void one_core_free (OneCore *one);
void one_core_step (OneCore *one, MfEvent *event);
void one_core_wait (OneCore *one, uint64_t us);
/* Sends GET path with a request name; the answer arrives after answer_us. */
void one_core_request (OneCore *one, const char *name, const char *path, OneResult result,
                       uint64_t answer_us);

/* Parses the output of a renderer; the caller frees the object with json_object_put. */
json_object *one_core_json (MfBuffer *buffer);
/* Follows keys, separated by '.', to a value; a number is an index into an array. */
json_object *one_core_at (json_object *object, const char *path);
uint64_t one_core_number (json_object *object, const char *path);
const char *one_core_text (json_object *object, const char *path);

#endif
