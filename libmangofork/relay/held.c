#include "held.h"

#include "load_report.h"

#include "libmangofork/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Parts kept: those of all engines of a large service. */
#define N_SETS 4096
#define SET_PARTS 4
/* The engines of a service are not asked again within this time: what they hold of earlier streams
 * becomes less only. */
#define ROUND_INTERVAL_US (2 * MF_US_PER_S)
/* Of the changes, the last ones are asked for: an engine sends no more than these at once. */
#define CHANGES_MAX 500
/* Engines asked in one round at most. */
#define ENGINES_MAX 64
/* An engine answers within a few round trips, but the answers of all come at once. */
#define ANSWER_TIMEOUT_US (400 * MF_US_PER_MS)
/* Bytes of one answer at most; a row has less than 50. */
#define ANSWER_BYTES_MAX (256 * 1024)
/* An engine holds whole blocks of tokens only, and less of a part when it has begun to evict it. */
#define HELD_PERCENT 90
#define SERVICES_MAX 16

typedef struct
{
  uint64_t key; /* hash of part, service and version; 0: unused */
  uint64_t tokens;
} HeldPart;

/* The last round of questions to the engines of a service. */
typedef struct
{
  char service[MF_NAME_BYTES];
  uint64_t started_us; /* of the last one that asked for changes; 0: none has */
  bool with_changes;
  uint32_t n_open;
} Round;

/* A question to one engine: first what it holds, then what it has held lately. */
typedef struct Question Question;
struct Question
{
  MfHeldParts *held;
  Question *next;
  Round *round;
  MfTarget *target;
  MfLink *link;
  bool asks_changes;
  uint32_t status;
  MfBuffer body;
};

struct MfHeldParts
{
  MfTargets *targets;
  const MfHeldCallbacks *callbacks;
  void *data;
  HeldPart sets[N_SETS][SET_PARTS];
  uint32_t next_victim;
  Round rounds[SERVICES_MAX];
  uint32_t n_rounds;
  Question *questions;
};

static uint64_t
held_key (uint64_t part, uint64_t service, uint64_t version)
{
  uint64_t parts[] = { part, service, version };
  uint64_t key = XXH3_64bits (parts, sizeof parts);

  return key != 0 ? key : 1;
}

static void
held_note (MfHeldParts *held, uint64_t key, uint64_t tokens)
{
  HeldPart *set = held->sets[key % N_SETS];
  HeldPart *victim = &set[held->next_victim++ % SET_PARTS];

  for (uint32_t i = 0; i < SET_PARTS; i++)
    {
      if (set[i].key == key)
        {
          if (tokens > set[i].tokens)
            set[i].tokens = tokens;
          return;
        }
      if (set[i].key == 0)
        victim = &set[i];
    }
  *victim = (HeldPart){ .key = key, .tokens = tokens };
}

static uint64_t
held_tokens (const MfHeldParts *held, uint64_t key)
{
  const HeldPart *set = held->sets[key % N_SETS];

  for (uint32_t i = 0; i < SET_PARTS; i++)
    {
      if (set[i].key == key)
        return set[i].tokens;
    }
  return 0;
}

/* The targets, the callbacks and their data are borrowed. Returns NULL when out of memory. */
MfHeldParts *
mf_held_parts_new (MfTargets *targets, const MfHeldCallbacks *callbacks, void *data)
{
  MfHeldParts *held = calloc (1, sizeof *held);

  if (held == NULL)
    return NULL;
  held->targets = targets;
  held->callbacks = callbacks;
  held->data = data;
  return held;
}

static void
question_free (Question *question)
{
  for (Question **link = &question->held->questions; *link != NULL; link = &(*link)->next)
    {
      if (*link != question)
        continue;
      *link = question->next;
      break;
    }
  mf_target_unref (question->target);
  mf_buffer_clear (&question->body);
  free (question);
}

/* Cancels all questions. Accepts NULL. */
void
mf_held_parts_free (MfHeldParts *held)
{
  if (held == NULL)
    return;
  while (held->questions != NULL)
    {
      mf_link_cancel (held->questions->link);
      question_free (held->questions);
    }
  free (held);
}

static void
on_head (void *data, const MfHead *head, uint32_t status)
{
  Question *question = data;

  (void)head;
  question->status = status;
}

static void
on_body (void *data, const char *bytes, size_t n_bytes)
{
  Question *question = data;

  if (mf_buffer_bytes (&question->body) + n_bytes > ANSWER_BYTES_MAX)
    question->body.failed = true;
  else
    mf_buffer_add (&question->body, bytes, n_bytes);
}

static void
on_held_part (void *data, uint64_t part, uint64_t tokens)
{
  Question *question = data;
  const MfTarget *target = question->target;

  held_note (question->held, held_key (part, target->service, target->version), tokens);
}

static bool question_send (Question *question, const char *path);

/* Reads the answer. Returns the number of changes of what the engine holds; 0: there is no answer,
 * or they have been read. */
static uint64_t
question_read (Question *question, bool *is_good)
{
  const MfDialect *dialect = question->held->targets->dialect;
  const char *body = mf_buffer_data (&question->body);
  size_t body_bytes = mf_buffer_bytes (&question->body);
  uint64_t n_changes = 0;

  *is_good = question->status == 200 && !question->body.failed;
  if (*is_good && question->asks_changes)
    *is_good = dialect->read_held_changes (body, body_bytes, on_held_part, question);
  else if (*is_good)
    *is_good = dialect->read_held_parts (body, body_bytes, on_held_part, question, &n_changes);
  return *is_good ? n_changes : 0;
}

/* Asks for the last of the changes. Returns whether the answer is awaited. */
static bool
question_ask_changes (Question *question, uint64_t n_changes)
{
  char path[64];

  question->asks_changes = true;
  snprintf (path, sizeof path, "%s%llu", question->held->targets->dialect->held_changes_path,
            (unsigned long long)(n_changes > CHANGES_MAX ? n_changes - CHANGES_MAX : 0));
  return question_send (question, path);
}

static void
on_end (void *data, MfLinkEnd end, const char *why)
{
  Question *question = data;
  MfHeldParts *held = question->held;
  Round *round = question->round;
  bool is_good = false;
  uint64_t n_changes = end == MF_LINK_COMPLETE ? question_read (question, &is_good) : 0;

  if (held->targets->log != NULL)
    mf_relay_log_state (held->targets->log, "upstream.held_parts",
                        "upstream=%s version=%s changes=%s read=%s status=%u bytes=%zu why=\"%s\"",
                        question->target->info.id, question->target->info.version,
                        question->asks_changes ? "yes" : "no", is_good ? "yes" : "no",
                        question->status, mf_buffer_bytes (&question->body), why);
  if (round->with_changes && n_changes > 0 && question_ask_changes (question, n_changes))
    return;
  question_free (question);
  if (--round->n_open == 0)
    held->callbacks->answered (held->data, round->service);
}

static const MfLinkCallbacks question_callbacks = {
  .head = on_head,
  .body = on_body,
  .end = on_end,
};

/* Sends the question. Returns false when memory runs out. */
static bool
question_send (Question *question, const char *path)
{
  const MfTarget *target = question->target;
  const MfDialect *dialect = question->held->targets->dialect;
  char head[320];

  question->status = 0;
  mf_buffer_clear (&question->body);
  snprintf (head, sizeof head, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", path,
            target->info.address, mf_dialect_header_name (dialect, MF_HEADER_EXPECT_UPSTREAM),
            target->info.id);
  mf_target_note_send (question->target, mf_clock_now_us ());
  question->link = mf_link_start (&question->target->pool, &(MfLinkRequest){
                                                               .callbacks = &question_callbacks,
                                                               .data = question,
                                                               .head = head,
                                                               .head_bytes = strlen (head),
                                                               .timeout_us = ANSWER_TIMEOUT_US,
                                                           });
  return question->link != NULL;
}

/* Asks one engine. Returns whether its answer is awaited. */
static bool
engine_ask (MfHeldParts *held, Round *round, MfTarget *target)
{
  Question *question = calloc (1, sizeof *question);

  if (question == NULL)
    return false;
  *question = (Question){
    .held = held,
    .next = held->questions,
    .round = round,
    .target = mf_target_ref (target),
  };
  held->questions = question;
  if (question_send (question, held->targets->dialect->held_parts_path))
    return true;
  question_free (question);
  return false;
}

static Round *
round_get (MfHeldParts *held, const char *service)
{
  for (uint32_t i = 0; i < held->n_rounds; i++)
    {
      if (strcmp (held->rounds[i].service, service) == 0)
        return &held->rounds[i];
    }
  if (held->n_rounds == SERVICES_MAX)
    return NULL;
  mf_name_set (held->rounds[held->n_rounds].service, MF_NAME_BYTES, service);
  return &held->rounds[held->n_rounds++];
}

/* Whether an engine can be queried. Queries are no requests of callers, so that one that is leaving
 * can be; one that is limited or has asked for a pause is left out. */
static bool
may_query (const MfTarget *target, uint64_t now_us)
{
  return target->info.role == MF_ROLE_DECODE && target->paused_until_us <= now_us
         && target->held_until_us <= now_us && !mf_target_is_limited (target);
}

/* Asks the decode engines of a service what they hold, with_changes also what they have held
 * lately, unless that has been done a moment ago. Returns whether answers are awaited. */
bool
mf_held_parts_ask (MfHeldParts *held, const char *service, bool with_changes)
{
  Round *round = round_get (held, service);
  uint64_t now_us = mf_clock_now_us ();

  if (round == NULL || round->n_open > 0
      || (round->started_us > 0 && now_us - round->started_us < ROUND_INTERVAL_US))
    return round != NULL && round->n_open > 0;
  round->with_changes = with_changes;
  for (MfTarget *target = held->targets->first; target != NULL && round->n_open < ENGINES_MAX;
       target = target->next)
    {
      if (may_query (target, now_us) && strcmp (target->info.service, service) == 0)
        round->n_open += engine_ask (held, round, target);
    }
  if (with_changes && round->n_open > 0)
    round->started_us = now_us;
  return round->n_open > 0;
}

/* Returns whether the engines of a service have answered a moment ago what they hold and have held
 * lately. An instance that has not read the list of upstreams yet has none to query. */
bool
mf_held_parts_are_current (const MfHeldParts *held, const char *service)
{
  for (uint32_t i = 0; i < held->n_rounds; i++)
    {
      const Round *round = &held->rounds[i];

      if (strcmp (round->service, service) == 0)
        return round->n_open == 0 && round->started_us > 0
               && mf_clock_now_us () - round->started_us < ROUND_INTERVAL_US;
    }
  return false;
}

/* Finds the version whose engines hold a part of this many tokens, as far as they have answered.
 * version is set only if it is the only one. */
MfHeldState
mf_held_parts_find (const MfHeldParts *held, const char *service, uint64_t part, uint64_t tokens,
                    uint64_t *version)
{
  uint64_t service_hash = mf_load_hash (service);
  MfHeldState state = MF_HELD_NOWHERE;

  if (part == 0 || tokens == 0)
    return MF_HELD_NOWHERE;
  for (const MfTarget *target = held->targets->first; target != NULL; target = target->next)
    {
      uint64_t key;

      if (target->service != service_hash
          || (state == MF_HELD_AT_ONE_VERSION && target->version == *version))
        continue;
      key = held_key (part, service_hash, target->version);
      if (held_tokens (held, key) * 100 < tokens * HELD_PERCENT)
        continue;
      if (state == MF_HELD_AT_ONE_VERSION)
        return MF_HELD_AT_SEVERAL;
      state = MF_HELD_AT_ONE_VERSION;
      *version = target->version;
    }
  return state;
}
