#include "cores.h"

#include "libmangofork/frame.h"
#include "libmangofork/heap.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Virtual time at which the simulation starts. */
#define CLOCK_START_US (1000 * MF_US_PER_S)
#define WALL_START_MS UINT64_C (1700000000000)
#define LINKS_MAX 65536
/* Longest wait of a platform read for a change. */
#define WATCH_WAIT_US (60 * MF_US_PER_S)
/* Time until connecting to an unreachable instance fails. */
#define CONNECT_TIMEOUT_US MF_US_PER_S
/* Low bits of a heap key, which number the events; the time is above them. */
#define SEQUENCE_BITS 24

/* An event scheduled for one incarnation of an instance; dropped when that has ended. */
typedef struct
{
  MfHeapNode node; /* first member */
  uint64_t at_us;
  uint32_t instance;
  uint64_t incarnation;
  MfEvent event;
  MfFrame *frame;
  bool is_watch; /* answer to a platform read that waits for a change */
  uint32_t watch_id;
} PendingEvent;

typedef struct
{
  MfCore *core;
  uint64_t incarnation;
  uint64_t paused_until_us;
  FakePlatformState platform;
  uint32_t text_watch_id; /* of the platform read that waits; 0 for none */
  uint64_t bytes_sent;
  uint64_t n_messages_sent;
  MfListedInstance listed;
} Instance;

typedef struct
{
  uint32_t instances[2];
  uint64_t incarnations[2];
} Link;

struct FakeCores
{
  FakeCoresOptions options;
  uint64_t now_us;
  uint64_t sequence;
  MfHeap heap;
  Instance *instances;
  bool *cut; /* indexed by from * n_instances + to */
  Link links[LINKS_MAX];
  uint32_t n_links;
  char *texts[64];
  uint64_t revisions[64];
  uint32_t n_texts;
  uint32_t n_watches;
  uint64_t n_platform_calls;
  uint64_t busy_ns; /* spent in the steps of instance 0 and in decoding its messages */
};

/* Data of the action function: the instance whose core calls it. */
typedef struct
{
  FakeCores *cores;
  uint32_t instance;
} ActionContext;

/* Events with equal times keep their order, so that messages on a link are not reordered. */
static void
queue_push (FakeCores *cores, PendingEvent *pending, uint64_t at_us)
{
  pending->at_us = at_us;
  mf_heap_set (&cores->heap, &pending->node, (at_us << SEQUENCE_BITS) + ++cores->sequence);
}

static PendingEvent *
schedule_event (FakeCores *cores, uint32_t instance, uint64_t delay_us, const MfEvent *event)
{
  PendingEvent *pending = calloc (1, sizeof *pending);

  pending->node.position = MF_HEAP_NO_POSITION;
  pending->instance = instance;
  pending->incarnation = cores->instances[instance].incarnation;
  pending->event = *event;
  queue_push (cores, pending, cores->now_us + delay_us);
  return pending;
}

static void
pending_event_free (PendingEvent *pending)
{
  if (pending->frame != NULL)
    mf_frame_clear (pending->frame);
  free (pending->frame);
  free (pending);
}

static uint64_t
clock_ns (void)
{
  struct timespec time;

  clock_gettime (CLOCK_MONOTONIC, &time);
  return (uint64_t)time.tv_sec * UINT64_C (1000000000) + (uint64_t)time.tv_nsec;
}

static void
instance_id (const FakeCores *cores, uint32_t instance, MfInstanceId *id)
{
  id->incarnation = cores->instances[instance].incarnation;
  snprintf (id->name, sizeof id->name, "n%u", instance);
}

static void
schedule_peer_event (FakeCores *cores, uint32_t instance, uint32_t other, MfEventType type,
                     uint32_t link_id, uint64_t delay_us)
{
  MfEvent event = { .type = type, .peer = { .link_id = link_id } };

  instance_id (cores, other, &event.peer.peer);
  if (type == MF_EVENT_PEER_UP)
    memcpy (event.peer.address, cores->instances[other].listed.address, MF_ADDRESS_BYTES);
  schedule_event (cores, instance, delay_us, &event);
}

static bool
is_cut (const FakeCores *cores, uint32_t from, uint32_t to)
{
  return cores->cut[from * cores->options.n_instances + to];
}

static void
open_link (FakeCores *cores, uint32_t instance, const char *name)
{
  uint32_t other = (uint32_t)strtoul (name + 1, NULL, 10);
  uint64_t delay_us = cores->options.delay_us;
  Link *link = &cores->links[cores->n_links];

  if (other >= cores->options.n_instances || is_cut (cores, instance, other)
      || is_cut (cores, other, instance) || cores->instances[other].paused_until_us > cores->now_us)
    schedule_peer_event (cores, instance, other, MF_EVENT_PEER_DOWN, 0, CONNECT_TIMEOUT_US);
  else if (cores->instances[other].core == NULL || cores->n_links + 1 == LINKS_MAX)
    schedule_peer_event (cores, instance, other, MF_EVENT_PEER_DOWN, 0, 2 * delay_us);
  else
    {
      *link = (Link){ .instances = { instance, other },
                      .incarnations = { cores->instances[instance].incarnation,
                                        cores->instances[other].incarnation } };
      cores->n_links++;
      schedule_peer_event (cores, other, instance, MF_EVENT_PEER_UP, cores->n_links, delay_us);
      schedule_peer_event (cores, instance, other, MF_EVENT_PEER_UP, cores->n_links, 2 * delay_us);
    }
}

/* Returns the instance at the other end of a link, or -1 if the incarnation there has ended. */
static int64_t
link_other (const FakeCores *cores, uint32_t instance, uint32_t link_id)
{
  const Link *link = &cores->links[link_id - 1];
  uint32_t end = link->instances[0] == instance;

  return cores->instances[link->instances[end]].incarnation == link->incarnations[end]
             ? (int64_t)link->instances[end]
             : -1;
}

static void
send_message (FakeCores *cores, uint32_t instance, const MfPeerAction *action)
{
  int64_t other = link_other (cores, instance, action->link_id);
  MfError error = { 0 };
  size_t n_bytes;
  uint8_t *bytes = mf_frame_encode (action->message, &n_bytes, &error);
  MfEvent event = { .type = MF_EVENT_PEER_MESSAGE, .peer = { .link_id = action->link_id } };
  MfFrame *frame = calloc (1, sizeof *frame);
  uint64_t start_ns = clock_ns ();

  cores->instances[instance].bytes_sent += n_bytes;
  cores->instances[instance].n_messages_sent++;
  if (other < 0 || is_cut (cores, instance, (uint32_t)other)
      || !mf_frame_decode (bytes + MF_FRAME_LENGTH_BYTES, n_bytes - MF_FRAME_LENGTH_BYTES, frame,
                           &error))
    free (frame);
  else
    {
      instance_id (cores, instance, &event.peer.peer);
      event.peer.message = &frame->message;
      if (other == 0)
        cores->busy_ns += clock_ns () - start_ns;
      schedule_event (cores, (uint32_t)other, cores->options.delay_us, &event)->frame = frame;
    }
  free (bytes);
}

static void
fill_text (const FakeCores *cores, uint32_t instance, MfPlatformTextEvent *text)
{
  uint32_t i = cores->instances[instance].platform == FAKE_PLATFORM_STALE ? 0 : cores->n_texts - 1;

  *text = (MfPlatformTextEvent){ cores->revisions[i], cores->texts[i], strlen (cores->texts[i]) };
}

static void
read_platform (FakeCores *cores, uint32_t instance, const MfAction *action)
{
  MfEvent event = { .type = MF_EVENT_PLATFORM_TEXT };
  uint64_t delay_us = cores->options.delay_us;
  Instance *reader = &cores->instances[instance];
  bool text = action->type == MF_ACTION_PLATFORM_READ_TEXT;

  cores->n_platform_calls++;
  if (reader->platform == FAKE_PLATFORM_DOWN || (text && cores->n_texts == 0))
    {
      event.type = MF_EVENT_PLATFORM_FAILED;
      event.platform_failed = (MfPlatformFailedEvent){ .text = text, .list = !text };
      schedule_event (cores, instance, delay_us, &event);
    }
  else if (!text)
    {
      event.type = MF_EVENT_PLATFORM_LIST;
      event.list.index = 1;
      schedule_event (cores, instance, action->platform_index >= 1 ? WATCH_WAIT_US : delay_us,
                      &event);
    }
  else
    {
      PendingEvent *pending;

      fill_text (cores, instance, &event.text);
      pending = schedule_event (
          cores, instance, action->platform_index >= event.text.revision ? WATCH_WAIT_US : delay_us,
          &event);
      pending->is_watch = pending->at_us == cores->now_us + WATCH_WAIT_US;
      pending->watch_id = pending->is_watch ? ++cores->n_watches : 0;
      reader->text_watch_id = pending->watch_id;
    }
}

static void
on_action (const MfAction *action, void *data)
{
  const ActionContext *context = data;
  FakeCores *cores = context->cores;
  int64_t other;

  switch (action->type)
    {
    case MF_ACTION_PEER_OPEN:
      open_link (cores, context->instance, action->peer.name);
      break;
    case MF_ACTION_PEER_CLOSE:
      other = link_other (cores, context->instance, action->peer.link_id);
      if (other >= 0)
        schedule_peer_event (cores, (uint32_t)other, context->instance, MF_EVENT_PEER_DOWN,
                             action->peer.link_id, cores->options.delay_us);
      break;
    case MF_ACTION_PEER_SEND:
      send_message (cores, context->instance, &action->peer);
      break;
    case MF_ACTION_PLATFORM_READ_TEXT:
    case MF_ACTION_PLATFORM_READ_LIST:
      read_platform (cores, context->instance, action);
      break;
    case MF_ACTION_CALL_START:
      if (cores->options.on_call != NULL)
        cores->options.on_call (cores, context->instance, &action->call, cores->options.data);
      break;
    case MF_ACTION_ANSWER_PLAIN:
    case MF_ACTION_ANSWER_REFUSE:
      if (cores->options.on_answer != NULL)
        cores->options.on_answer (cores, context->instance, action, cores->options.data);
      break;
    default:
      break;
    }
}

FakeCores *
fake_cores_new (const FakeCoresOptions *options)
{
  FakeCores *cores = calloc (1, sizeof *cores);

  cores->options = *options;
  cores->now_us = CLOCK_START_US;
  cores->instances = calloc (options->n_instances, sizeof *cores->instances);
  cores->cut = calloc ((size_t)options->n_instances * options->n_instances, sizeof *cores->cut);
  for (uint32_t i = 0; i < options->n_instances; i++)
    {
      MfListedInstance *listed = &cores->instances[i].listed;

      snprintf (listed->name, sizeof listed->name, "n%u", i);
      snprintf (listed->address, sizeof listed->address, "127.0.0.1:%u", 10000 + i);
      snprintf (listed->data_centre, sizeof listed->data_centre, "dc%u",
                i % options->n_data_centres);
    }
  return cores;
}

static void
instance_free (Instance *instance)
{
  ActionContext *context = instance->core != NULL ? instance->core->action_data : NULL;

  mf_core_free (instance->core);
  free (context);
  instance->core = NULL;
}

void
fake_cores_free (FakeCores *cores)
{
  PendingEvent *pending;

  while ((pending = (PendingEvent *)mf_heap_first (&cores->heap)) != NULL)
    {
      mf_heap_remove (&cores->heap, &pending->node);
      pending_event_free (pending);
    }
  mf_heap_clear (&cores->heap);
  for (uint32_t i = 0; i < cores->options.n_instances; i++)
    instance_free (&cores->instances[i]);
  for (uint32_t i = 0; i < cores->n_texts; i++)
    free (cores->texts[i]);
  free (cores->instances);
  free (cores->cut);
  free (cores);
}

void
fake_cores_start (FakeCores *cores, uint32_t instance)
{
  Instance *starting = &cores->instances[instance];
  ActionContext *context = calloc (1, sizeof *context);
  MfError error = { 0 };
  MfOptions options;

  fake_cores_kill (cores, instance, false);
  mf_core_options (&options);
  starting->incarnation = WALL_START_MS + cores->now_us / MF_US_PER_MS + ++cores->sequence;
  starting->paused_until_us = 0;
  instance_id (cores, instance, &options.self);
  memcpy (options.address, starting->listed.address, sizeof options.address);
  memcpy (options.data_centre, starting->listed.data_centre, sizeof options.data_centre);
  options.seed = cores->options.seed * 1000 + instance + starting->incarnation;
  if (cores->options.links_max > 0)
    options.links_max = cores->options.links_max;
  *context = (ActionContext){ cores, instance };
  starting->core
      = mf_core_new (&options, cores->now_us, WALL_START_MS + cores->now_us / MF_US_PER_MS,
                     on_action, context, &error);
}

void
fake_cores_kill (FakeCores *cores, uint32_t instance, bool silent)
{
  for (uint32_t i = 0; i < cores->n_links && !silent; i++)
    {
      const Link *link = &cores->links[i];
      uint32_t end = link->instances[1] == instance;

      if (cores->instances[instance].core == NULL || link->instances[end] != instance
          || link->incarnations[end] != cores->instances[instance].incarnation
          || link_other (cores, instance, i + 1) < 0)
        continue;
      schedule_peer_event (cores, link->instances[1 - end], instance, MF_EVENT_PEER_DOWN, i + 1,
                           cores->options.delay_us);
    }
  instance_free (&cores->instances[instance]);
}

void
fake_cores_pause (FakeCores *cores, uint32_t instance, uint64_t for_us)
{
  cores->instances[instance].paused_until_us = cores->now_us + for_us;
}

void
fake_cores_set_link_cut (FakeCores *cores, uint32_t from, uint32_t to, bool cut)
{
  cores->cut[from * cores->options.n_instances + to] = cut;
}

void
fake_cores_set_platform (FakeCores *cores, uint32_t instance, FakePlatformState platform)
{
  cores->instances[instance].platform = platform;
}

void
fake_cores_publish (FakeCores *cores, uint64_t revision, const char *text)
{
  MfEvent event = { .type = MF_EVENT_PLATFORM_TEXT };

  cores->revisions[cores->n_texts] = revision;
  cores->texts[cores->n_texts++] = strdup (text);
  for (uint32_t i = 0; i < cores->options.n_instances; i++)
    {
      if (cores->instances[i].text_watch_id == 0
          || cores->instances[i].platform != FAKE_PLATFORM_UP)
        continue;
      cores->instances[i].text_watch_id = 0;
      fill_text (cores, i, &event.text);
      schedule_event (cores, i, cores->options.delay_us, &event);
    }
}

static void
step (FakeCores *cores, uint32_t instance, MfEvent *event)
{
  static const size_t list_max = 512;
  MfListedInstance *listed = NULL;
  uint64_t start_ns;

  event->now_us = cores->now_us;
  event->wall_ms = WALL_START_MS + cores->now_us / MF_US_PER_MS;
  if (event->type == MF_EVENT_PLATFORM_LIST)
    {
      listed = calloc (list_max, sizeof *listed);
      event->list.n_listed = cores->options.n_instances;
      event->list.listed = listed;
      for (uint32_t i = 0; i < cores->options.n_instances; i++)
        listed[i] = cores->instances[i].listed;
    }
  start_ns = clock_ns ();
  mf_core_step (cores->instances[instance].core, event);
  if (instance == 0)
    cores->busy_ns += clock_ns () - start_ns;
  free (listed);
}

void
fake_cores_handle_event (FakeCores *cores, uint32_t instance, MfEvent *event)
{
  step (cores, instance, event);
}

/* Returns when an instance next needs a tick. */
static uint64_t
instance_next_us (const Instance *instance)
{
  uint64_t next_us = instance->core != NULL ? mf_core_next_us (instance->core) : UINT64_MAX;

  return next_us != UINT64_MAX && next_us < instance->paused_until_us ? instance->paused_until_us
                                                                      : next_us;
}

static void
deliver (FakeCores *cores, PendingEvent *pending)
{
  Instance *instance = &cores->instances[pending->instance];

  if (instance->core != NULL && instance->incarnation == pending->incarnation
      && instance->paused_until_us > cores->now_us)
    {
      queue_push (cores, pending, instance->paused_until_us);
      return;
    }
  if (instance->core != NULL && instance->incarnation == pending->incarnation
      && (!pending->is_watch || pending->watch_id == instance->text_watch_id))
    step (cores, pending->instance, &pending->event);
  pending_event_free (pending);
}

void
fake_cores_run (FakeCores *cores, uint64_t for_us)
{
  uint64_t end_us = cores->now_us + for_us;

  for (;;)
    {
      MfEvent tick = { .type = MF_EVENT_TICK };
      PendingEvent *pending = (PendingEvent *)mf_heap_first (&cores->heap);
      uint64_t next_us = pending != NULL ? pending->at_us : UINT64_MAX;
      uint32_t due = MF_NONE;

      for (uint32_t i = 0; i < cores->options.n_instances; i++)
        {
          uint64_t tick_us = instance_next_us (&cores->instances[i]);

          if (tick_us < next_us)
            {
              next_us = tick_us;
              due = i;
            }
        }
      if (next_us > end_us)
        break;
      if (next_us > cores->now_us)
        cores->now_us = next_us;
      if (due != MF_NONE)
        step (cores, due, &tick);
      else if (pending != NULL)
        {
          mf_heap_remove (&cores->heap, &pending->node);
          deliver (cores, pending);
        }
    }
  cores->now_us = end_us;
}

MfCore *
fake_cores_core (FakeCores *cores, uint32_t instance)
{
  return cores->instances[instance].core;
}

uint64_t
fake_cores_now_us (const FakeCores *cores)
{
  return cores->now_us;
}

uint64_t
fake_cores_bytes_sent (const FakeCores *cores, uint32_t instance)
{
  return cores->instances[instance].bytes_sent;
}

uint64_t
fake_cores_n_messages_sent (const FakeCores *cores, uint32_t instance)
{
  return cores->instances[instance].n_messages_sent;
}

uint64_t
fake_cores_busy_ns (const FakeCores *cores)
{
  return cores->busy_ns;
}

uint64_t
fake_cores_n_platform_calls (const FakeCores *cores)
{
  return cores->n_platform_calls;
}
