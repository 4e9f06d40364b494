#include "rig.h"

#include "libmangofork/frame.h"
#include "libmangofork/table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PEER_HOP_US (1 * MF_US_PER_MS)
#define TTFT_TARGET_US (1500 * MF_US_PER_MS)
#define TBT_TARGET_US (30 * MF_US_PER_MS)
#define WALL_START_MS UINT64_C (1800000000000)
#define TOKEN_TEXT_BYTES 40
#define CACHE_EVENTS_MAX 64
#define LINKS_MAX 256
/* Time after which a core that is due again at once gets its next tick, so that time advances. */
#define TICK_INTERVAL_MIN_US 1

typedef enum
{
  ITEM_CORE_EVENT, /* an event is delivered to a core */
  ITEM_CALL,       /* a call reaches its upstream */
  ITEM_ABORT,      /* the end of a call's connection reaches it */
  ITEM_ENGINE,     /* an engine has work due */
  ITEM_PLAIN,      /* a plain call has been executed */
  ITEM_TIMEOUT,    /* a call's time limit */
} QueueItemType;

typedef struct
{
  uint64_t at_us;
  uint64_t sequence;
  QueueItemType type;
  uint32_t core;
  uint32_t engine;
  uint64_t call_id;
  MfEvent event;
  char data[TOKEN_TEXT_BYTES];
  uint64_t *hashes; /* of cache events; owned */
  bool *stored;
  MfFrame *frame; /* of a peer message; owned */
} QueueItem;

/* A call from a core to an upstream, with the state that the HTTP client would keep. */
typedef struct
{
  uint64_t key[2]; /* core, call_id */
  MfCallAction call;
  bool ended;   /* no more events of it are reported to the core */
  bool arrived; /* the upstream has received it */
  bool aborted;
  uint64_t kv_handle;
  uint32_t kv_engine;
  UT_hash_handle hh;
} Call;

/* Maps a piece of work at an engine to its call. */
typedef struct
{
  uint64_t key[4]; /* engine, core, request, attempt */
  uint64_t call_id;
  UT_hash_handle hh;
} WorkCall;

typedef struct
{
  uint32_t core[2];
  bool up;
} Link;

struct Rig
{
  RigOptions options;
  uint64_t now_us;
  uint64_t sequence;
  uint64_t random;
  QueueItem **queue;
  uint32_t n_queued;
  uint32_t n_queued_max;
  MfCore *cores[RIG_CORES_MAX];
  uint64_t core_due_us[RIG_CORES_MAX];
  bool exited[RIG_CORES_MAX];
  uint32_t current_core; /* the core whose step is running */
  FakeEngine *engines[RIG_ENGINES_MAX];
  uint64_t engine_due_us[RIG_ENGINES_MAX];
  uint64_t paused_until_us[RIG_ENGINES_MAX];
  uint32_t n_engines;
  RigPlain plains[RIG_PLAINS_MAX];
  struct
  {
    uint32_t core[4096];
    uint64_t call_id[4096];
    uint32_t first;
    uint32_t n;
  } plain_queues[RIG_PLAINS_MAX];
  Call *calls;
  WorkCall *work_calls;
  RigRequest *requests;
  uint32_t n_requests;
  uint32_t n_requests_max;
  Link links[LINKS_MAX];
  uint32_t n_links;
  char text[65536];
};

static void on_action (const MfAction *action, void *data);

static uint64_t
random_next (Rig *rig)
{
  uint64_t z = (rig->random += UINT64_C (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

static bool
queue_item_is_before (const QueueItem *a, const QueueItem *b)
{
  return a->at_us < b->at_us || (a->at_us == b->at_us && a->sequence < b->sequence);
}

static QueueItem *
queue_add (Rig *rig, QueueItemType type, uint64_t at_us)
{
  QueueItem *item = calloc (1, sizeof *item);
  uint32_t i = rig->n_queued++;

  if (rig->n_queued > rig->n_queued_max)
    {
      rig->n_queued_max = rig->n_queued_max * 2 + 1024;
      rig->queue = realloc (rig->queue, rig->n_queued_max * sizeof (QueueItem *));
    }
  if (item == NULL || rig->queue == NULL)
    abort ();
  item->type = type;
  item->at_us = at_us;
  item->sequence = rig->sequence++;
  while (i > 0 && queue_item_is_before (item, rig->queue[(i - 1) / 2]))
    {
      rig->queue[i] = rig->queue[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  rig->queue[i] = item;
  return item;
}

static QueueItem *
queue_pop (Rig *rig)
{
  QueueItem *first = rig->queue[0];
  QueueItem *last = rig->queue[--rig->n_queued];
  uint32_t i = 0;

  for (;;)
    {
      uint32_t child = i * 2 + 1;

      if (child >= rig->n_queued)
        break;
      if (child + 1 < rig->n_queued
          && queue_item_is_before (rig->queue[child + 1], rig->queue[child]))
        child++;
      if (!queue_item_is_before (rig->queue[child], last))
        break;
      rig->queue[i] = rig->queue[child];
      i = child;
    }
  rig->queue[i] = last;
  return first;
}

static void
queue_item_free (QueueItem *item)
{
  if (item->frame != NULL)
    mf_frame_clear (item->frame);
  free (item->frame);
  free (item->hashes);
  free (item->stored);
  free (item);
}

static QueueItem *
queue_core_event (Rig *rig, uint32_t core, MfEventType type, uint64_t at_us)
{
  QueueItem *item = queue_add (rig, ITEM_CORE_EVENT, at_us);

  item->core = core;
  item->event.type = type;
  return item;
}

static Call *
call_find (Rig *rig, uint32_t core, uint64_t call_id)
{
  uint64_t key[2] = { core, call_id };
  Call *call;

  HASH_FIND (hh, rig->calls, key, sizeof key, call);
  return call;
}

static QueueItem *
queue_call_event (Rig *rig, const Call *call, MfEventType type, uint64_t at_us)
{
  QueueItem *item = queue_core_event (rig, (uint32_t)call->key[0], type, at_us);

  item->event.call.call_id = call->key[1];
  item->call_id = call->key[1];
  return item;
}

static void
core_step (Rig *rig, uint32_t core, MfEvent *event)
{
  if (rig->exited[core])
    return;
  event->now_us = rig->now_us;
  event->wall_ms = WALL_START_MS + rig->now_us / MF_US_PER_MS;
  rig->current_core = core;
  mf_core_step (rig->cores[core], event);
  rig->core_due_us[core] = mf_core_next_us (rig->cores[core]);
}

static FakeWorkId
work_id (const Rig *rig, const Call *call)
{
  return (FakeWorkId){ .owner = rig->cores[call->key[0]]->board.options.self,
                       .request_id = call->call.request_id,
                       .attempt = call->call.attempt };
}

static void
bind_work (Rig *rig, uint32_t engine, const Call *call)
{
  uint64_t key[4] = { engine, call->key[0], call->call.request_id, call->call.attempt };
  WorkCall *binding;

  HASH_FIND (hh, rig->work_calls, key, sizeof key, binding);
  if (binding == NULL)
    {
      binding = calloc (1, sizeof *binding);
      if (binding == NULL)
        abort ();
      memcpy (binding->key, key, sizeof key);
      HASH_ADD (hh, rig->work_calls, key, sizeof binding->key, binding);
    }
  binding->call_id = call->key[1];
}

static Call *
find_call_of_work (Rig *rig, uint32_t engine, const FakeWorkId *id)
{
  uint64_t key[4] = { engine, 0, id->request_id, id->attempt };
  WorkCall *binding;

  key[1] = (uint64_t)(id->owner.name[strlen (id->owner.name) - 1] - '1');
  HASH_FIND (hh, rig->work_calls, key, sizeof key, binding);
  return binding == NULL ? NULL : call_find (rig, (uint32_t)key[1], binding->call_id);
}

static void
schedule_engine (Rig *rig, uint32_t engine)
{
  uint64_t next_us = fake_engine_next_us (rig->engines[engine]);

  if (next_us < rig->now_us)
    next_us = rig->now_us;
  if (next_us >= rig->engine_due_us[engine])
    return;
  rig->engine_due_us[engine] = next_us;
  queue_add (rig, ITEM_ENGINE, next_us)->engine = engine;
}

/* Reports the end or failure of a call to its core, once. */
static void
end_call (Rig *rig, Call *call, MfEventType type, const MfCallEvent *event)
{
  QueueItem *item;

  if (call->ended)
    return;
  call->ended = true;
  item = queue_call_event (rig, call, type, rig->now_us + rig->options.hop_us);
  item->event.call = *event;
  item->event.call.call_id = call->key[1];
}

/* Fails every call that an upstream had received when it crashed. */
static void
fail_calls (Rig *rig, uint32_t upstream)
{
  Call *call;
  Call *next;

  HASH_ITER (hh, rig->calls, call, next)
  {
    if (call->call.upstream == upstream && call->arrived && !call->ended)
      end_call (rig, call, MF_EVENT_CALL_FAILED, &(MfCallEvent){ .sent = true });
  }
}

static void
on_engine_event (FakeEngine *model, const FakeEvent *event, void *data)
{
  Rig *rig = data;
  uint32_t engine = 0;
  Call *call;
  QueueItem *item;

  while (rig->engines[engine] != model)
    engine++;
  if (event->type == FAKE_DIED)
    {
      fail_calls (rig, engine);
      return;
    }
  call = find_call_of_work (rig, engine, &event->id);
  if (call == NULL || call->ended)
    return;
  switch (event->type)
    {
    case FAKE_PREFILLED:
      call->kv_handle = event->n;
      call->kv_engine = engine;
      item = queue_call_event (rig, call, MF_EVENT_CALL_PREFILLED,
                               event->at_us + rig->options.hop_us);
      item->event.call.expires_us = event->until_us;
      item->event.call.kv_bytes = event->bytes;
      end_call (rig, call, MF_EVENT_CALL_DONE, &(MfCallEvent){ .status = 200 });
      break;
    case FAKE_IMPORTED:
      queue_call_event (rig, call, MF_EVENT_CALL_IMPORTED, event->at_us + rig->options.hop_us);
      break;
    case FAKE_TOKEN:
      item = queue_call_event (rig, call, MF_EVENT_CALL_TOKENS, event->at_us + rig->options.hop_us);
      item->event.call.first_index = (uint32_t)event->n;
      item->event.call.n_tokens = 1;
      snprintf (item->data, sizeof item->data, "%llu:%llu",
                (unsigned long long)call->call.request_id, (unsigned long long)event->n);
      break;
    case FAKE_FINISHED:
      end_call (rig, call, MF_EVENT_CALL_DONE, &(MfCallEvent){ .status = 200, .stopped = true });
      break;
    case FAKE_EXPIRED:
      end_call (rig, call, MF_EVENT_CALL_DONE, &(MfCallEvent){ .status = 410 });
      break;
    case FAKE_DIED:
      break;
    }
}

static void
run_engine (Rig *rig, uint32_t engine)
{
  rig->engine_due_us[engine] = UINT64_MAX;
  fake_engine_run (rig->engines[engine], rig->now_us, on_engine_event, rig);
  schedule_engine (rig, engine);
}

static void
answer_result (Rig *rig, Call *call, FakeEngineResult result)
{
  if (result == FAKE_REFUSED)
    end_call (rig, call, MF_EVENT_CALL_DONE, &(MfCallEvent){ .status = 503, .refused = true });
  else if (result == FAKE_LEAVING)
    end_call (rig, call, MF_EVENT_CALL_DONE,
              &(MfCallEvent){ .status = 503, .refused = true, .leaving = true });
  else if (result == FAKE_GONE)
    end_call (rig, call, MF_EVENT_CALL_DONE, &(MfCallEvent){ .status = 404 });
}

static void
engine_start_work (Rig *rig, Call *call)
{
  FakeEngine *engine = rig->engines[call->call.upstream];
  RigRequest *request = &rig->requests[call->call.request_id - 1];
  FakeWork work = {
    .id = work_id (rig, call),
    .digest = request->digest,
    .prompt_tokens = request->prompt_tokens,
    .from_token = call->call.from_token,
    .max_tokens = call->call.max_tokens,
    .answer_tokens = request->answer_tokens,
    .priority = call->call.priority,
    .cache_salt = call->call.cache_salt,
    .prefix_hashes = request->prefix_hashes,
    .n_prefix_hashes = request->n_prefix_hashes,
  };
  const Call *prefill;
  FakeEngineResult result;

  bind_work (rig, call->call.upstream, call);
  if (call->call.kind == MF_CALL_PREFILL)
    result = fake_engine_prefill (engine, &work, rig->now_us);
  else if (call->call.kind == MF_CALL_RESUME)
    result = fake_engine_resume (engine, &work.id, call->call.from_token, rig->now_us);
  else
    {
      prefill = call_find (rig, (uint32_t)call->key[0], call->call.prefill_call_id);
      result = prefill == NULL
                   ? FAKE_GONE
                   : fake_engine_decode (engine, &work, rig->engines[prefill->kv_engine],
                                         prefill->kv_handle, rig->now_us);
    }
  if (result == FAKE_ACCEPTED)
    request->ran = true;
  answer_result (rig, call, result);
}

static void
engine_load (Rig *rig, Call *call)
{
  uint32_t engine = call->call.upstream;
  uint64_t at_us = rig->now_us + rig->options.hop_us;
  uint64_t incarnation;
  QueueItem *item = queue_core_event (rig, (uint32_t)call->key[0], MF_EVENT_LOAD, at_us);

  fake_engine_load (rig->engines[engine], rig->now_us, &item->event.load);
  item->event.load.upstream = engine;
  incarnation = item->event.load.incarnation;
  item = queue_core_event (rig, (uint32_t)call->key[0], MF_EVENT_CACHE, at_us);
  item->hashes = calloc (CACHE_EVENTS_MAX, sizeof *item->hashes);
  item->stored = calloc (CACHE_EVENTS_MAX, sizeof *item->stored);
  if (item->hashes == NULL || item->stored == NULL)
    abort ();
  item->event.cache.upstream = engine;
  item->event.cache.incarnation = incarnation;
  item->event.cache.hashes = item->hashes;
  item->event.cache.stored = item->stored;
  item->event.cache.n = fake_engine_cache_events (rig->engines[engine], rig->now_us,
                                                  call->call.cache_after, &item->event.cache.first,
                                                  item->hashes, item->stored, CACHE_EVENTS_MAX);
  end_call (rig, call, MF_EVENT_CALL_DONE, &(MfCallEvent){ .status = 200 });
}

static void
engine_cancel (Rig *rig, Call *call)
{
  FakeEngine *engine = rig->engines[call->call.upstream];
  FakeWorkId id = work_id (rig, call);
  bool found = true;

  id.attempt = call->call.target_attempt;
  if (call->call.kind == MF_CALL_CANCEL_OWNER)
    fake_engine_cancel_owner (engine, &call->call.owner, rig->now_us);
  else
    found = fake_engine_cancel (engine, &id, rig->now_us);
  end_call (rig, call, MF_EVENT_CALL_DONE, &(MfCallEvent){ .status = found ? 200 : 404 });
}

static void
plain_start (Rig *rig, uint32_t plain, uint32_t core, uint64_t call_id)
{
  RigPlain *row = &rig->plains[plain];
  uint64_t half_us = row->serve_us / 2;
  uint64_t serve_us
      = (half_us + random_next (rig) % (row->serve_us + 1)) * 100 / row->speed_percent;
  QueueItem *item = queue_add (rig, ITEM_PLAIN, rig->now_us + serve_us);

  row->busy++;
  item->engine = plain;
  item->core = core;
  item->call_id = call_id;
}

static void
plain_call (Rig *rig, Call *call)
{
  uint32_t plain = call->call.upstream - rig->n_engines;
  RigRequest *request = &rig->requests[call->call.request_id - 1];

  request->n_sent++;
  if (rig->plains[plain].busy < rig->plains[plain].workers)
    {
      plain_start (rig, plain, (uint32_t)call->key[0], call->key[1]);
      return;
    }
  if (rig->plain_queues[plain].n == MF_ARRAY_LEN (rig->plain_queues[plain].core))
    {
      end_call (rig, call, MF_EVENT_CALL_DONE, &(MfCallEvent){ .status = 503, .refused = true });
      return;
    }
  uint32_t at = (rig->plain_queues[plain].first + rig->plain_queues[plain].n++) % 4096;
  rig->plain_queues[plain].core[at] = (uint32_t)call->key[0];
  rig->plain_queues[plain].call_id[at] = call->key[1];
}

static void
plain_done (Rig *rig, const QueueItem *item)
{
  uint32_t plain = item->engine;
  Call *call = call_find (rig, item->core, item->call_id);
  RigRequest *request = &rig->requests[call->call.request_id - 1];
  MfCallEvent event = { .status = 200, .data = "done", .data_bytes = 4 };

  rig->plains[plain].busy--;
  if (!rig->plains[plain].dead)
    {
      request->ran = true;
      request->n_runs++;
      rig->plains[plain].n_runs++;
      end_call (rig, call, MF_EVENT_CALL_DONE, &event);
    }
  if (rig->plain_queues[plain].n > 0 && !rig->plains[plain].dead)
    {
      uint32_t at = rig->plain_queues[plain].first;

      rig->plain_queues[plain].first = (at + 1) % 4096;
      rig->plain_queues[plain].n--;
      plain_start (rig, plain, rig->plain_queues[plain].core[at],
                   rig->plain_queues[plain].call_id[at]);
    }
}

/* Handles a call at its upstream. */
static void
call_arrives (Rig *rig, Call *call)
{
  uint32_t upstream = call->call.upstream;
  bool plain = upstream >= rig->n_engines;
  bool dead = plain ? rig->plains[upstream - rig->n_engines].dead
                    : fake_engine_is_dead (rig->engines[upstream]);

  if (call->ended)
    return;
  if (dead)
    {
      end_call (rig, call, MF_EVENT_CALL_FAILED, &(MfCallEvent){ .connect_failed = true });
      return;
    }
  if (!plain && rig->paused_until_us[upstream] > rig->now_us)
    {
      QueueItem *item = queue_add (rig, ITEM_CALL, rig->paused_until_us[upstream]);

      item->core = (uint32_t)call->key[0];
      item->call_id = call->key[1];
      return;
    }
  call->arrived = true;
  if (call->call.request_id != 0 && call->call.kind <= MF_CALL_PLAIN)
    queue_call_event (rig, call, MF_EVENT_CALL_SENT, rig->now_us);
  if (plain)
    plain_call (rig, call);
  else if (call->call.kind == MF_CALL_LOAD)
    engine_load (rig, call);
  else if (call->call.kind == MF_CALL_CANCEL || call->call.kind == MF_CALL_CANCEL_OWNER)
    engine_cancel (rig, call);
  else
    engine_start_work (rig, call);
  if (!plain)
    schedule_engine (rig, upstream);
}

static void
start_call (Rig *rig, const MfCallAction *action)
{
  Call *call = calloc (1, sizeof *call);
  QueueItem *item;

  if (call == NULL)
    abort ();
  call->key[0] = rig->current_core;
  call->key[1] = action->call_id;
  call->call = *action;
  HASH_ADD (hh, rig->calls, key, sizeof call->key, call);
  item = queue_add (rig, ITEM_CALL, rig->now_us + rig->options.hop_us);
  item->core = rig->current_core;
  item->call_id = action->call_id;
  if (action->timeout_us > 0)
    {
      item = queue_add (rig, ITEM_TIMEOUT, rig->now_us + action->timeout_us);
      item->core = rig->current_core;
      item->call_id = action->call_id;
    }
}

static void
abort_call (Rig *rig, uint64_t call_id)
{
  Call *call = call_find (rig, rig->current_core, call_id);
  QueueItem *item;

  if (call == NULL)
    return;
  call->ended = true;
  call->aborted = true;
  item = queue_add (rig, ITEM_ABORT, rig->now_us + rig->options.hop_us);
  item->core = rig->current_core;
  item->call_id = call_id;
}

static void
record_end (Rig *rig, const MfAnswerAction *answer, MfCode code)
{
  RigRequest *request = &rig->requests[answer->request_id - 1];

  request->n_ends++;
  request->ended_us = rig->now_us;
  request->code = code;
  request->outcome = answer->outcome;
  request->retry_after_ms = answer->retry_after_ms;
  if (request->first_us == 0)
    request->first_us = rig->now_us;
}

static void
record_tokens (Rig *rig, const MfAnswerAction *answer)
{
  RigRequest *request = &rig->requests[answer->request_id - 1];
  char expected[TOKEN_TEXT_BYTES];

  snprintf (expected, sizeof expected, "%llu:%u", (unsigned long long)answer->request_id,
            request->n_tokens);
  if (request->n_ends > 0 || strcmp (expected, answer->data) != 0)
    request->corrupt = true;
  if (request->n_tokens++ == 0)
    request->first_us = rig->now_us;
  else
    {
      request->n_gaps++;
      request->n_gaps_late += rig->now_us - request->last_us > TBT_TARGET_US;
    }
  request->last_us = rig->now_us;
}

static void
peer_open (Rig *rig, const MfPeerAction *action)
{
  for (uint32_t i = 0; i < rig->options.n_cores; i++)
    {
      if (i == rig->current_core || rig->n_links == LINKS_MAX
          || strcmp (rig->cores[i]->board.options.address, action->address) != 0)
        continue;
      rig->links[rig->n_links] = (Link){ .core = { rig->current_core, i }, .up = true };
      for (uint32_t side = 0; side < 2; side++)
        {
          uint32_t other = rig->links[rig->n_links].core[1 - side];
          QueueItem *item = queue_core_event (rig, rig->links[rig->n_links].core[side],
                                              MF_EVENT_PEER_UP, rig->now_us + PEER_HOP_US);

          item->event.peer.link_id = rig->n_links + 1;
          item->event.peer.peer = rig->cores[other]->board.options.self;
          mf_name_set (item->event.peer.address, MF_ADDRESS_BYTES,
                       rig->cores[other]->board.options.address);
        }
      rig->n_links++;
      return;
    }
}

static void
peer_send (Rig *rig, const MfPeerAction *action)
{
  const Link *link = &rig->links[action->link_id - 1];
  uint32_t other = link->core[0] == rig->current_core ? link->core[1] : link->core[0];
  MfError error = { 0 };
  size_t n_bytes;
  uint8_t *bytes = mf_frame_encode (action->message, &n_bytes, &error);
  MfFrame *frame = calloc (1, sizeof *frame);
  QueueItem *item;

  if (bytes == NULL || frame == NULL || !mf_frame_decode (bytes + 4, n_bytes - 4, frame, &error))
    abort ();
  free (bytes);
  item = queue_core_event (rig, other, MF_EVENT_PEER_MESSAGE, rig->now_us + PEER_HOP_US);
  item->frame = frame;
  item->event.peer.link_id = action->link_id;
  item->event.peer.peer = rig->cores[rig->current_core]->board.options.self;
  item->event.peer.message = &frame->message;
}

static void
on_action (const MfAction *action, void *data)
{
  Rig *rig = data;

  switch (action->type)
    {
    case MF_ACTION_CALL_START:
      start_call (rig, &action->call);
      break;
    case MF_ACTION_CALL_ABORT:
      abort_call (rig, action->call_id);
      break;
    case MF_ACTION_ANSWER_TOKENS:
      record_tokens (rig, &action->answer);
      break;
    case MF_ACTION_ANSWER_END:
    case MF_ACTION_ANSWER_PLAIN:
      record_end (rig, &action->answer, MF_CODE_OK);
      break;
    case MF_ACTION_ANSWER_REFUSE:
      record_end (rig, &action->answer, action->answer.code);
      break;
    case MF_ACTION_PEER_OPEN:
      peer_open (rig, &action->peer);
      break;
    case MF_ACTION_PEER_SEND:
      peer_send (rig, &action->peer);
      break;
    case MF_ACTION_EXIT:
      rig->exited[rig->current_core] = true;
      break;
    case MF_ACTION_PLATFORM_READ_LIST:
      if (action->platform_index == 0)
        queue_core_event (rig, rig->current_core, MF_EVENT_PLATFORM_LIST,
                          rig->now_us + PEER_HOP_US);
      break;
    default:
      break;
    }
}

static void
fill_list (Rig *rig, MfEvent *event)
{
  static MfListedInstance listed[RIG_CORES_MAX];

  for (uint32_t i = 0; i < rig->options.n_cores; i++)
    {
      const MfOptions *options = &rig->cores[i]->board.options;

      listed[i] = (MfListedInstance){ 0 };
      mf_name_set (listed[i].name, MF_NAME_BYTES, options->self.name);
      mf_name_set (listed[i].address, MF_ADDRESS_BYTES, options->address);
      mf_name_set (listed[i].data_centre, MF_NAME_BYTES, options->data_centre);
    }
  event->list
      = (MfPlatformListEvent){ .index = 1, .listed = listed, .n_listed = rig->options.n_cores };
}

static bool
is_call_event (const MfEvent *event)
{
  return event->type >= MF_EVENT_CALL_SENT && event->type <= MF_EVENT_CALL_FAILED;
}

static void
deliver (Rig *rig, QueueItem *item)
{
  const Call *call;

  if (is_call_event (&item->event))
    {
      call = call_find (rig, item->core, item->call_id);
      if (call == NULL || call->aborted)
        return;
      if (item->data[0] != '\0')
        {
          item->event.call.data = item->data;
          item->event.call.data_bytes = strlen (item->data);
        }
    }
  else if (item->event.type == MF_EVENT_PLATFORM_LIST)
    fill_list (rig, &item->event);
  core_step (rig, item->core, &item->event);
}

static void
abort_arrives (Rig *rig, const QueueItem *item)
{
  Call *call = call_find (rig, item->core, item->call_id);
  FakeWorkId id = work_id (rig, call);

  if (call->call.upstream < rig->n_engines && call->call.request_id != 0)
    {
      fake_engine_detach (rig->engines[call->call.upstream], &id, rig->now_us);
      schedule_engine (rig, call->call.upstream);
    }
}

static void
on_timeout (Rig *rig, const QueueItem *item)
{
  Call *call = call_find (rig, item->core, item->call_id);
  bool stream = call->call.kind == MF_CALL_DECODE || call->call.kind == MF_CALL_RESUME;

  if (call->ended || (stream && call->arrived))
    return;
  call->ended = true;
  QueueItem *failed = queue_call_event (rig, call, MF_EVENT_CALL_FAILED, rig->now_us);
  failed->event.call.timed_out = true;
  failed->event.call.sent = call->arrived;
}

static void
handle_item (Rig *rig, QueueItem *item)
{
  switch (item->type)
    {
    case ITEM_CORE_EVENT:
      deliver (rig, item);
      break;
    case ITEM_CALL:
      call_arrives (rig, call_find (rig, item->core, item->call_id));
      break;
    case ITEM_ABORT:
      abort_arrives (rig, item);
      break;
    case ITEM_ENGINE:
      if (rig->engine_due_us[item->engine] == item->at_us)
        run_engine (rig, item->engine);
      break;
    case ITEM_PLAIN:
      plain_done (rig, item);
      break;
    case ITEM_TIMEOUT:
      on_timeout (rig, item);
      break;
    }
}

/* Returns the core whose tick is due first. */
static uint32_t
next_core (const Rig *rig)
{
  uint32_t first = 0;

  for (uint32_t i = 1; i < rig->options.n_cores; i++)
    {
      if (rig->core_due_us[i] < rig->core_due_us[first])
        first = i;
    }
  return first;
}

bool
rig_step (Rig *rig, uint64_t until_us)
{
  uint32_t core = next_core (rig);
  uint64_t tick_us = rig->core_due_us[core];
  uint64_t due_us = rig->n_queued > 0 ? rig->queue[0]->at_us : UINT64_MAX;
  MfEvent tick = { .type = MF_EVENT_TICK };
  QueueItem *item;

  if (tick_us > until_us && due_us > until_us)
    {
      rig->now_us = until_us;
      return false;
    }
  if (tick_us < due_us)
    {
      if (tick_us > rig->now_us)
        rig->now_us = tick_us;
      core_step (rig, core, &tick);
      if (rig->core_due_us[core] <= rig->now_us)
        rig->core_due_us[core] = rig->now_us + TICK_INTERVAL_MIN_US;
      return true;
    }
  item = queue_pop (rig);
  if (item->at_us > rig->now_us)
    rig->now_us = item->at_us;
  handle_item (rig, item);
  queue_item_free (item);
  return true;
}

void
rig_run (Rig *rig, uint64_t until_us)
{
  while (rig_step (rig, until_us))
    ;
}

static size_t
add_upstreams (char *text, size_t text_bytes, const char *pool, const char *role, char prefix,
               uint32_t n, uint32_t slots, uint32_t pieces, uint64_t link_mb)
{
  size_t len = (size_t)snprintf (text, text_bytes,
                                 "{\"name\":\"%s\",\"role\":\"%s\",\"upstreams\":[", pool, role);

  for (uint32_t i = 0; i < n; i++)
    {
      len += (size_t)snprintf (text + len, text_bytes - len,
                               "%s{\"name\":\"%c%u\",\"address\":\"127.0.0.1:%u\","
                               "\"data_centre\":\"a\",\"slots\":%u",
                               i > 0 ? "," : "", prefix, i, 9000 + (uint32_t)prefix * 100 + i,
                               slots);
      if (pieces > 0)
        len += (size_t)snprintf (text + len, text_bytes - len, ",\"pieces\":%u", pieces);
      if (link_mb > 0)
        len += (size_t)snprintf (text + len, text_bytes - len, ",\"link_mb_per_s\":%llu",
                                 (unsigned long long)link_mb);
      len += (size_t)snprintf (text + len, text_bytes - len, "}");
    }
  len += (size_t)snprintf (text + len, text_bytes - len, "]}");
  return len;
}

/* Writes the operators' text that describes the simulated upstreams. */
static void
write_text (Rig *rig)
{
  const RigOptions *o = &rig->options;
  char *text = rig->text;
  size_t size = sizeof rig->text;
  size_t len = (size_t)snprintf (
      text, size,
      "{\"services\":[{\"name\":\"model\",\"kind\":\"model\",\"model\":\"m\",\"class\":\"summary\","
      "\"prefill_pool\":\"prefill\",\"decode_pool\":\"decode\",\"deadline_ms\":%llu,"
      "\"ttft_target_ms\":1500,\"tbt_target_ms\":30,\"kv_token_bytes\":%llu,"
      "\"expected_tokens\":%u},"
      "{\"name\":\"stock\",\"kind\":\"plain\",\"path\":\"/stock\",\"class\":\"read\","
      "\"pool\":\"ordering\",\"get_is_idempotent\":true,\"deadline_ms\":2000,"
      "\"ttft_target_ms\":200},"
      "{\"name\":\"orders\",\"kind\":\"plain\",\"path\":\"/orders\",\"class\":\"order\","
      "\"pool\":\"ordering\",\"get_is_idempotent\":true,\"deadline_ms\":5000,"
      "\"ttft_target_ms\":1000}],\"pools\":[",
      (unsigned long long)(o->model_deadline_us / MF_US_PER_MS),
      (unsigned long long)o->prefill.kv_token_bytes, o->expected_tokens);

  len += add_upstreams (text + len, size - len, "prefill", "prefill", 'p', o->n_prefill,
                        o->prefill.slots, o->prefill.pieces, o->prefill.link_bytes_per_s / 1000000);
  len += (size_t)snprintf (text + len, size - len, ",");
  len += add_upstreams (text + len, size - len, "decode", "decode", 'd', o->n_decode,
                        o->decode.slots, o->decode.pieces, 0);
  len += (size_t)snprintf (text + len, size - len, ",");
  len += add_upstreams (text + len, size - len, "ordering", "plain", 'o', o->n_plain,
                        o->plain.workers, 0, 0);
  snprintf (text + len, size - len,
            "],\"customers\":["
            "{\"name\":\"c1\",\"share\":1,\"key_digest\":\"%064u\"},"
            "{\"name\":\"c2\",\"share\":1,\"key_digest\":\"%064u\"},"
            "{\"name\":\"c3\",\"share\":1,\"key_digest\":\"%064u\"}],"
            "\"allow_anonymous\":true}",
            1, 2, 3);
}

static void
print_fault (const MfError *fault, void *data)
{
  (void)data;
  fprintf (stderr, "%u:%u: %s\n", fault->line, fault->column, fault->text);
}

static void
add_core (Rig *rig, uint32_t index)
{
  MfOptions options;
  MfError error = { 0 };
  MfConfig *config;

  mf_core_options (&options);
  snprintf (options.self.name, sizeof options.self.name, "entry-%u", index + 1);
  snprintf (options.address, sizeof options.address, "127.0.0.1:%u", 8201 + index);
  mf_name_set (options.data_centre, sizeof options.data_centre, "a");
  options.self.incarnation = 1000 + index;
  options.seed = rig->options.seed * 100 + index;
  options.naive = rig->options.naive;
  options.drain_grace_us = MF_US_PER_S;
  rig->current_core = index;
  rig->cores[index] = mf_core_new (&options, rig->now_us, WALL_START_MS, on_action, rig, &error);
  config = mf_config_parse (rig->text, strlen (rig->text), 1, print_fault, NULL);
  if (rig->cores[index] == NULL || config == NULL)
    abort ();
  mf_core_set_config (rig->cores[index], config);
  rig->core_due_us[index] = rig->now_us;
}

void
rig_engine_options (MfRole role, uint64_t seed, FakeEngineOptions *options)
{
  *options = (FakeEngineOptions){
    .role = role,
    .prefill_tokens_per_s = 40000,
    .prefill_base_us = 8 * MF_US_PER_MS,
    .step_us = 12 * MF_US_PER_MS,
    .step_stream_us = 500,
    .kv_token_bytes = 131072,
    .link_bytes_per_s = UINT64_C (10000000000),
    .result_life_us = 800 * MF_US_PER_MS,
    .load_lag_us = 50 * MF_US_PER_MS,
    .cache_lag_us = 200 * MF_US_PER_MS,
    .seed = seed,
  };
}

Rig *
rig_new (const RigOptions *options)
{
  Rig *rig = calloc (1, sizeof *rig);

  if (rig == NULL)
    abort ();
  rig->options = *options;
  rig->random = options->seed;
  rig->now_us = MF_US_PER_S;
  rig->n_engines = options->n_prefill + options->n_decode;
  for (uint32_t i = 0; i < rig->n_engines; i++)
    {
      FakeEngineOptions engine = i < options->n_prefill ? options->prefill : options->decode;

      engine.seed += i;
      rig->engines[i] = fake_engine_new (&engine, rig->now_us);
      rig->engine_due_us[i] = UINT64_MAX;
    }
  for (uint32_t i = 0; i < options->n_plain; i++)
    rig->plains[i] = options->plain;
  write_text (rig);
  for (uint32_t i = 0; i < options->n_cores; i++)
    add_core (rig, i);
  return rig;
}

void
rig_free (Rig *rig)
{
  Call *call;
  Call *next_call;
  WorkCall *binding;
  WorkCall *next_binding;

  for (uint32_t i = 0; i < rig->options.n_cores; i++)
    mf_core_free (rig->cores[i]);
  for (uint32_t i = 0; i < rig->n_engines; i++)
    fake_engine_free (rig->engines[i]);
  HASH_ITER (hh, rig->calls, call, next_call)
  {
    HASH_DEL (rig->calls, call);
    free (call);
  }
  HASH_ITER (hh, rig->work_calls, binding, next_binding)
  {
    HASH_DEL (rig->work_calls, binding);
    free (binding);
  }
  for (uint32_t i = 0; i < rig->n_queued; i++)
    queue_item_free (rig->queue[i]);
  free (rig->queue);
  free (rig->requests);
  free (rig);
}

uint64_t
rig_now_us (const Rig *rig)
{
  return rig->now_us;
}

uint32_t
rig_send (Rig *rig, const RigRequest *request, uint64_t at_us)
{
  static const char *const paths[] = { "/v1/completions", "/stock", "/orders" };
  static const char *const methods[] = { "POST", "GET", "POST" };
  uint32_t index = rig->n_requests++;
  MfRequestEvent *event;

  if (rig->n_requests > rig->n_requests_max)
    {
      rig->n_requests_max = rig->n_requests_max * 2 + 1024;
      rig->requests = realloc (rig->requests, rig->n_requests_max * sizeof *rig->requests);
      if (rig->requests == NULL)
        abort ();
    }
  rig->requests[index] = *request;
  rig->requests[index].sent_us = at_us;
  event = &queue_core_event (rig, request->core, MF_EVENT_REQUEST, at_us)->event.request;
  *event = (MfRequestEvent){
    .request_id = index + 1,
    .model = request->service == 0 ? "m" : NULL,
    .path = paths[request->service],
    .method = methods[request->service],
    .has_api_key = request->customer > 0,
    .stream = true,
    .has_deadline = request->deadline_us > 0,
    .deadline_us = request->deadline_us,
    .prompt_tokens = request->prompt_tokens,
    .max_tokens = request->max_tokens > 0 ? request->max_tokens : request->answer_tokens,
    .digest = request->digest,
    .n_prefix_hashes = request->n_prefix_hashes,
  };
  event->api_key_digest[MF_DIGEST_BYTES - 1] = (uint8_t)request->customer;
  memcpy (event->prefix_hashes, request->prefix_hashes, sizeof event->prefix_hashes);
  return index;
}

void
rig_depart (Rig *rig, uint32_t request, uint64_t at_us)
{
  rig->requests[request].departed = true;
  queue_core_event (rig, rig->requests[request].core, MF_EVENT_DEPARTED, at_us)->event.departed_id
      = request + 1;
}

uint32_t
rig_n_requests (const Rig *rig)
{
  return rig->n_requests;
}

const RigRequest *
rig_request (const Rig *rig, uint32_t index)
{
  return &rig->requests[index];
}

MfCore *
rig_core (Rig *rig, uint32_t index)
{
  return rig->cores[index];
}

FakeEngine *
rig_engine (Rig *rig, uint32_t index)
{
  return rig->engines[index];
}

RigPlain *
rig_plain (Rig *rig, uint32_t index)
{
  return &rig->plains[index];
}

void
rig_update_engine (Rig *rig, uint32_t engine)
{
  run_engine (rig, engine);
}

void
rig_pause_engine (Rig *rig, uint32_t engine, uint64_t until_us)
{
  rig->paused_until_us[engine] = until_us;
  fake_engine_stall (rig->engines[engine], rig->now_us, until_us);
  run_engine (rig, engine);
}

void
rig_shutdown (Rig *rig, uint32_t core)
{
  queue_core_event (rig, core, MF_EVENT_SHUTDOWN, rig->now_us);
}

bool
rig_has_exited (const Rig *rig, uint32_t core)
{
  return rig->exited[core];
}

static bool
count_held (const FakeKvEntry *entry, void *data)
{
  (void)entry;
  (*(uint32_t *)data)++;
  return true;
}

uint32_t
rig_n_kv_entries (Rig *rig)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < rig->n_engines; i++)
    {
      run_engine (rig, i);
      fake_engine_foreach_kv_entry (rig->engines[i], count_held, &n);
    }
  return n;
}

bool
rig_request_is_complete (const RigRequest *request)
{
  return request->n_ends == 1 && request->code == MF_CODE_OK && !request->corrupt
         && (request->service != 0 || request->n_tokens == request->answer_tokens);
}
