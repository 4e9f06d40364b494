#include "cores.h"

#include "libmangofork/frame.h"
#include "libmangofork/heap.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define START_US (1000 * MF_US_PER_S)
#define WALL_MS UINT64_C (1700000000000)
#define LINKS_MAX 65536
#define WATCH_US (60 * MF_US_PER_S)
#define OPEN_TIMEOUT_US MF_US_PER_S
#define ORDER_BITS 24

/* Something that will happen to one incarnation of a slot. */
typedef struct
{
  MfHeapNode node; /* first member */
  uint64_t at_us;
  uint32_t slot;
  uint64_t incarnation;
  MfEvent event;
  MfFrame *frame;
  bool watch; /* a platform answer that was waiting for a change */
  uint32_t watch_number;
} Post;

typedef struct
{
  MfCore *core;
  uint64_t incarnation;
  uint64_t paused_until_us;
  FakePlatform platform;
  uint32_t text_watch; /* number of the waiting read, 0 for none */
  uint64_t bytes_out;
  uint64_t n_messages;
  MfListedInstance listed;
} Slot;

typedef struct
{
  uint32_t slots[2];
  uint64_t incarnations[2];
} Link;

struct FakeCores
{
  FakeCoresOptions options;
  uint64_t now_us;
  uint64_t sequence;
  MfHeap heap;
  Slot *slots;
  bool *cut; /* from * n_slots + to */
  Link links[LINKS_MAX];
  uint32_t n_links;
  char *texts[64];
  uint64_t revisions[64];
  uint32_t n_texts;
  uint32_t n_watches;
  uint64_t n_platform_calls;
  uint64_t timed_ns; /* spent in slot 0 and its codec */
};

/* One slot as the action function's data. */
typedef struct
{
  FakeCores *cores;
  uint32_t slot;
} Self;

/* Equal times keep their order: they are the order of messages on a link. */
static void
heap_push (FakeCores *cores, Post *it, uint64_t at_us)
{
  it->at_us = at_us;
  mf_heap_set (&cores->heap, &it->node, (at_us << ORDER_BITS) + ++cores->sequence);
}

static Post *
post (FakeCores *cores, uint32_t slot, uint64_t delay_us, const MfEvent *event)
{
  Post *it = calloc (1, sizeof *it);

  it->node.position = MF_HEAP_NO_POSITION;
  it->slot = slot;
  it->incarnation = cores->slots[slot].incarnation;
  it->event = *event;
  heap_push (cores, it, cores->now_us + delay_us);
  return it;
}

static void
post_free (Post *it)
{
  if (it->frame != NULL)
    mf_frame_clear (it->frame);
  free (it->frame);
  free (it);
}

static uint64_t
clock_ns (void)
{
  struct timespec time;

  clock_gettime (CLOCK_MONOTONIC, &time);
  return (uint64_t)time.tv_sec * UINT64_C (1000000000) + (uint64_t)time.tv_nsec;
}

static void
slot_owner (const FakeCores *cores, uint32_t slot, MfInstanceId *owner)
{
  owner->incarnation = cores->slots[slot].incarnation;
  snprintf (owner->name, sizeof owner->name, "n%u", slot);
}

static void
post_peer (FakeCores *cores, uint32_t slot, uint32_t other, MfEventType type, uint32_t link_id,
           uint64_t delay_us)
{
  MfEvent event = { .type = type, .peer = { .link_id = link_id } };

  slot_owner (cores, other, &event.peer.peer);
  if (type == MF_EVENT_PEER_UP)
    memcpy (event.peer.address, cores->slots[other].listed.address, MF_ADDRESS_BYTES);
  post (cores, slot, delay_us, &event);
}

static bool
is_cut (const FakeCores *cores, uint32_t from, uint32_t to)
{
  return cores->cut[from * cores->options.n_slots + to];
}

static void
peer_open (FakeCores *cores, uint32_t slot, const char *name)
{
  uint32_t other = (uint32_t)strtoul (name + 1, NULL, 10);
  uint64_t delay_us = cores->options.delay_us;
  Link *link = &cores->links[cores->n_links];

  if (other >= cores->options.n_slots || is_cut (cores, slot, other) || is_cut (cores, other, slot)
      || cores->slots[other].paused_until_us > cores->now_us)
    post_peer (cores, slot, other, MF_EVENT_PEER_DOWN, 0, OPEN_TIMEOUT_US);
  else if (cores->slots[other].core == NULL || cores->n_links + 1 == LINKS_MAX)
    post_peer (cores, slot, other, MF_EVENT_PEER_DOWN, 0, 2 * delay_us);
  else
    {
      *link = (Link){ .slots = { slot, other },
                      .incarnations
                      = { cores->slots[slot].incarnation, cores->slots[other].incarnation } };
      cores->n_links++;
      post_peer (cores, other, slot, MF_EVENT_PEER_UP, cores->n_links, delay_us);
      post_peer (cores, slot, other, MF_EVENT_PEER_UP, cores->n_links, 2 * delay_us);
    }
}

/* Returns the other end of a link, or -1 when that incarnation has ended. */
static int64_t
link_other (const FakeCores *cores, uint32_t slot, uint32_t link_id)
{
  const Link *link = &cores->links[link_id - 1];
  uint32_t end = link->slots[0] == slot;

  return cores->slots[link->slots[end]].incarnation == link->incarnations[end]
             ? (int64_t)link->slots[end]
             : -1;
}

static void
peer_send (FakeCores *cores, uint32_t slot, const MfPeerAction *action)
{
  int64_t other = link_other (cores, slot, action->link_id);
  MfError error = { 0 };
  size_t n_bytes;
  uint8_t *bytes = mf_frame_encode (action->message, &n_bytes, &error);
  MfEvent event = { .type = MF_EVENT_PEER_MESSAGE, .peer = { .link_id = action->link_id } };
  MfFrame *frame = calloc (1, sizeof *frame);
  uint64_t begun_ns = clock_ns ();

  cores->slots[slot].bytes_out += n_bytes;
  cores->slots[slot].n_messages++;
  if (other < 0 || is_cut (cores, slot, (uint32_t)other)
      || !mf_frame_decode (bytes + MF_FRAME_LENGTH_BYTES, n_bytes - MF_FRAME_LENGTH_BYTES, frame,
                           &error))
    free (frame);
  else
    {
      slot_owner (cores, slot, &event.peer.peer);
      event.peer.message = &frame->message;
      if (other == 0)
        cores->timed_ns += clock_ns () - begun_ns;
      post (cores, (uint32_t)other, cores->options.delay_us, &event)->frame = frame;
    }
  free (bytes);
}

static void
fill_text (const FakeCores *cores, uint32_t slot, MfPlatformTextEvent *text)
{
  uint32_t i = cores->slots[slot].platform == FAKE_PLATFORM_STALE ? 0 : cores->n_texts - 1;

  *text = (MfPlatformTextEvent){ cores->revisions[i], cores->texts[i], strlen (cores->texts[i]) };
}

static void
platform_read (FakeCores *cores, uint32_t slot, const MfAction *action)
{
  MfEvent event = { .type = MF_EVENT_PLATFORM_TEXT };
  uint64_t delay_us = cores->options.delay_us;
  Slot *self = &cores->slots[slot];
  bool text = action->type == MF_ACTION_PLATFORM_READ_TEXT;

  cores->n_platform_calls++;
  if (self->platform == FAKE_PLATFORM_DOWN || (text && cores->n_texts == 0))
    {
      event.type = MF_EVENT_PLATFORM_FAILED;
      event.platform_failed = (MfPlatformFailedEvent){ .text = text, .list = !text };
      post (cores, slot, delay_us, &event);
    }
  else if (!text)
    {
      event.type = MF_EVENT_PLATFORM_LIST;
      event.list.index = 1;
      post (cores, slot, action->platform_index >= 1 ? WATCH_US : delay_us, &event);
    }
  else
    {
      Post *it;

      fill_text (cores, slot, &event.text);
      it = post (cores, slot, action->platform_index >= event.text.revision ? WATCH_US : delay_us,
                 &event);
      it->watch = it->at_us == cores->now_us + WATCH_US;
      it->watch_number = it->watch ? ++cores->n_watches : 0;
      self->text_watch = it->watch_number;
    }
}

static void
on_action (const MfAction *action, void *data)
{
  const Self *self = data;
  FakeCores *cores = self->cores;
  int64_t other;

  switch (action->type)
    {
    case MF_ACTION_PEER_OPEN:
      peer_open (cores, self->slot, action->peer.name);
      break;
    case MF_ACTION_PEER_CLOSE:
      other = link_other (cores, self->slot, action->peer.link_id);
      if (other >= 0)
        post_peer (cores, (uint32_t)other, self->slot, MF_EVENT_PEER_DOWN, action->peer.link_id,
                   cores->options.delay_us);
      break;
    case MF_ACTION_PEER_SEND:
      peer_send (cores, self->slot, &action->peer);
      break;
    case MF_ACTION_PLATFORM_READ_TEXT:
    case MF_ACTION_PLATFORM_READ_LIST:
      platform_read (cores, self->slot, action);
      break;
    case MF_ACTION_CALL_START:
      if (cores->options.on_call != NULL)
        cores->options.on_call (cores, self->slot, &action->call, cores->options.data);
      break;
    case MF_ACTION_ANSWER_PLAIN:
    case MF_ACTION_ANSWER_REFUSE:
      if (cores->options.on_answer != NULL)
        cores->options.on_answer (cores, self->slot, action, cores->options.data);
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
  cores->now_us = START_US;
  cores->slots = calloc (options->n_slots, sizeof *cores->slots);
  cores->cut = calloc ((size_t)options->n_slots * options->n_slots, sizeof *cores->cut);
  for (uint32_t i = 0; i < options->n_slots; i++)
    {
      MfListedInstance *listed = &cores->slots[i].listed;

      snprintf (listed->name, sizeof listed->name, "n%u", i);
      snprintf (listed->address, sizeof listed->address, "127.0.0.1:%u", 10000 + i);
      snprintf (listed->data_centre, sizeof listed->data_centre, "dc%u",
                i % options->n_data_centres);
    }
  return cores;
}

static void
slot_free (Slot *slot)
{
  Self *self = slot->core != NULL ? slot->core->action_data : NULL;

  mf_core_free (slot->core);
  free (self);
  slot->core = NULL;
}

void
fake_cores_free (FakeCores *cores)
{
  Post *it;

  while ((it = (Post *)mf_heap_first (&cores->heap)) != NULL)
    {
      mf_heap_remove (&cores->heap, &it->node);
      post_free (it);
    }
  mf_heap_clear (&cores->heap);
  for (uint32_t i = 0; i < cores->options.n_slots; i++)
    slot_free (&cores->slots[i]);
  for (uint32_t i = 0; i < cores->n_texts; i++)
    free (cores->texts[i]);
  free (cores->slots);
  free (cores->cut);
  free (cores);
}

void
fake_cores_start (FakeCores *cores, uint32_t slot)
{
  Slot *it = &cores->slots[slot];
  Self *self = calloc (1, sizeof *self);
  MfError error = { 0 };
  MfOptions options;

  fake_cores_kill (cores, slot, false);
  mf_core_options (&options);
  it->incarnation = WALL_MS + cores->now_us / MF_US_PER_MS + ++cores->sequence;
  it->paused_until_us = 0;
  slot_owner (cores, slot, &options.self);
  memcpy (options.address, it->listed.address, sizeof options.address);
  memcpy (options.data_centre, it->listed.data_centre, sizeof options.data_centre);
  options.seed = cores->options.seed * 1000 + slot + it->incarnation;
  if (cores->options.links_max > 0)
    options.links_max = cores->options.links_max;
  *self = (Self){ cores, slot };
  it->core = mf_core_new (&options, cores->now_us, WALL_MS + cores->now_us / MF_US_PER_MS,
                          on_action, self, &error);
}

void
fake_cores_kill (FakeCores *cores, uint32_t slot, bool silent)
{
  for (uint32_t i = 0; i < cores->n_links && !silent; i++)
    {
      const Link *link = &cores->links[i];
      uint32_t end = link->slots[1] == slot;

      if (cores->slots[slot].core == NULL || link->slots[end] != slot
          || link->incarnations[end] != cores->slots[slot].incarnation
          || link_other (cores, slot, i + 1) < 0)
        continue;
      post_peer (cores, link->slots[1 - end], slot, MF_EVENT_PEER_DOWN, i + 1,
                 cores->options.delay_us);
    }
  slot_free (&cores->slots[slot]);
}

void
fake_cores_pause (FakeCores *cores, uint32_t slot, uint64_t for_us)
{
  cores->slots[slot].paused_until_us = cores->now_us + for_us;
}

void
fake_cores_cut (FakeCores *cores, uint32_t from, uint32_t to, bool cut)
{
  cores->cut[from * cores->options.n_slots + to] = cut;
}

void
fake_cores_platform (FakeCores *cores, uint32_t slot, FakePlatform platform)
{
  cores->slots[slot].platform = platform;
}

void
fake_cores_publish (FakeCores *cores, uint64_t revision, const char *text)
{
  MfEvent event = { .type = MF_EVENT_PLATFORM_TEXT };

  cores->revisions[cores->n_texts] = revision;
  cores->texts[cores->n_texts++] = strdup (text);
  for (uint32_t i = 0; i < cores->options.n_slots; i++)
    {
      if (cores->slots[i].text_watch == 0 || cores->slots[i].platform != FAKE_PLATFORM_UP)
        continue;
      cores->slots[i].text_watch = 0;
      fill_text (cores, i, &event.text);
      post (cores, i, cores->options.delay_us, &event);
    }
}

static void
step (FakeCores *cores, uint32_t slot, MfEvent *event)
{
  static const size_t list_max = 512;
  MfListedInstance *listed = NULL;
  uint64_t begun_ns;

  event->now_us = cores->now_us;
  event->wall_ms = WALL_MS + cores->now_us / MF_US_PER_MS;
  if (event->type == MF_EVENT_PLATFORM_LIST)
    {
      listed = calloc (list_max, sizeof *listed);
      event->list.n_listed = cores->options.n_slots;
      event->list.listed = listed;
      for (uint32_t i = 0; i < cores->options.n_slots; i++)
        listed[i] = cores->slots[i].listed;
    }
  begun_ns = clock_ns ();
  mf_core_step (cores->slots[slot].core, event);
  if (slot == 0)
    cores->timed_ns += clock_ns () - begun_ns;
  free (listed);
}

void
fake_cores_event (FakeCores *cores, uint32_t slot, MfEvent *event)
{
  step (cores, slot, event);
}

/* When a slot next has to be ticked. */
static uint64_t
slot_next_us (const Slot *slot)
{
  uint64_t next_us = slot->core != NULL ? mf_core_next_us (slot->core) : UINT64_MAX;

  return next_us != UINT64_MAX && next_us < slot->paused_until_us ? slot->paused_until_us : next_us;
}

static void
deliver (FakeCores *cores, Post *it)
{
  Slot *slot = &cores->slots[it->slot];

  if (slot->core != NULL && slot->incarnation == it->incarnation
      && slot->paused_until_us > cores->now_us)
    {
      heap_push (cores, it, slot->paused_until_us);
      return;
    }
  if (slot->core != NULL && slot->incarnation == it->incarnation
      && (!it->watch || it->watch_number == slot->text_watch))
    step (cores, it->slot, &it->event);
  post_free (it);
}

void
fake_cores_run (FakeCores *cores, uint64_t for_us)
{
  uint64_t end_us = cores->now_us + for_us;

  for (;;)
    {
      MfEvent tick = { .type = MF_EVENT_TICK };
      Post *it = (Post *)mf_heap_first (&cores->heap);
      uint64_t next_us = it != NULL ? it->at_us : UINT64_MAX;
      uint32_t due = MF_NONE;

      for (uint32_t i = 0; i < cores->options.n_slots; i++)
        {
          uint64_t slot_us = slot_next_us (&cores->slots[i]);

          if (slot_us < next_us)
            {
              next_us = slot_us;
              due = i;
            }
        }
      if (next_us > end_us)
        break;
      if (next_us > cores->now_us)
        cores->now_us = next_us;
      if (due != MF_NONE)
        step (cores, due, &tick);
      else if (it != NULL)
        {
          mf_heap_remove (&cores->heap, &it->node);
          deliver (cores, it);
        }
    }
  cores->now_us = end_us;
}

MfCore *
fake_cores_core (FakeCores *cores, uint32_t slot)
{
  return cores->slots[slot].core;
}

uint64_t
fake_cores_now_us (const FakeCores *cores)
{
  return cores->now_us;
}

uint64_t
fake_cores_bytes_out (const FakeCores *cores, uint32_t slot)
{
  return cores->slots[slot].bytes_out;
}

uint64_t
fake_cores_messages_out (const FakeCores *cores, uint32_t slot)
{
  return cores->slots[slot].n_messages;
}

uint64_t
fake_cores_timed_ns (const FakeCores *cores)
{
  return cores->timed_ns;
}

uint64_t
fake_cores_platform_calls (const FakeCores *cores)
{
  return cores->n_platform_calls;
}
