#include "offline.h"

#include "libmangofork/clock.h"
#include "platform/platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define START_US (1000 * MF_US_PER_S)

static uint64_t now_us;
static MfLink *links;
static MfCaller *callers;

void
offline_begin (void)
{
  now_us = START_US;
}

void
offline_end (void)
{
  while (callers != NULL)
    {
      MfCaller *next = callers->next;

      mf_message_clear (&callers->message);
      mf_buffer_clear (&callers->body);
      mf_buffer_clear (&callers->events);
      free (callers);
      callers = next;
    }
}

void
offline_advance (uint64_t us)
{
  now_us += us;
}

uint64_t
mf_clock_now_us (void)
{
  return now_us;
}

uint64_t
mf_clock_boottime_us (void)
{
  return now_us;
}

uint64_t
mf_clock_wall_ms (void)
{
  return now_us / MF_US_PER_MS;
}

MfLink *
offline_links (void)
{
  return links;
}

static void
link_free (MfLink *link)
{
  for (MfLink **at = &links; *at != NULL; at = &(*at)->next)
    {
      if (*at != link)
        continue;
      *at = link->next;
      break;
    }
  if (link->pool != NULL)
    link->pool->n_links--;
  mf_message_clear (&link->message);
  free (link);
}

static bool
on_head (MfMessage *message, void *data)
{
  MfLink *link = data;

  link->has_answered = true;
  if (link->pool->on_response != NULL)
    link->pool->on_response (link->pool->owner, &message->head, message->parser.status_code,
                             now_us);
  if (link->callbacks->head != NULL)
    link->callbacks->head (link->data, &message->head, message->parser.status_code);
  return true;
}

static void
on_body (MfMessage *message, const char *bytes, size_t n_bytes, void *data)
{
  MfLink *link = data;

  (void)message;
  if (!link->cancelled && link->callbacks->body != NULL)
    link->callbacks->body (link->data, bytes, n_bytes);
}

static const MfMessageCallbacks message_callbacks = { .head = on_head, .body = on_body };

static MfLink *
link_new (MfLinkPool *pool, const MfLinkCallbacks *callbacks, void *data)
{
  MfLink *link = calloc (1, sizeof *link);

  if (link == NULL)
    abort ();
  *link = (MfLink){ .next = links, .pool = pool, .callbacks = callbacks, .data = data };
  mf_message_init (&link->message, HTTP_RESPONSE, &platform_dialect, &message_callbacks, link);
  pool->n_links++;
  links = link;
  return link;
}

MfLink *
mf_link_open (MfLinkPool *pool, const MfLinkCallbacks *callbacks, void *data)
{
  return link_new (pool, callbacks, data);
}

MfLink *
mf_link_start (MfLinkPool *pool, const MfLinkRequest *request)
{
  MfLink *link = link_new (pool, request->callbacks, request->data);
  const char *last;

  snprintf (link->head, sizeof link->head, "%.*s", (int)request->head_bytes, request->head);
  snprintf (link->id, sizeof link->id, "%s", request->echo_id != NULL ? request->echo_id : "");
  last = strstr (link->head, "Last-Event-Id: ");
  if (last != NULL)
    link->last_event = (uint32_t)strtoul (last + strlen ("Last-Event-Id: "), NULL, 10);
  return link;
}

bool
mf_link_copy_body (MfLink *link)
{
  (void)link;
  return true;
}

void
mf_link_cancel (MfLink *link)
{
  if (!link->in_callback)
    {
      link_free (link);
      return;
    }
  /* The pool may be freed before the link. */
  link->cancelled = true;
  link->pool->n_links--;
  link->pool = NULL;
}

void
mf_link_set_callbacks (MfLink *link, const MfLinkCallbacks *callbacks)
{
  link->callbacks = callbacks;
}

void
mf_link_pause_reading (MfLink *link, bool paused)
{
  (void)link;
  (void)paused;
}

bool
mf_link_has_sent (const MfLink *link)
{
  return link->has_sent;
}

void
mf_link_pool_close (MfLinkPool *pool)
{
  (void)pool;
}

void
offline_link_end (MfLink *link, MfLinkEnd end)
{
  const MfLinkCallbacks *callbacks = link->callbacks;
  void *data = link->data;

  link_free (link);
  callbacks->end (data, end, "the test");
}

void
offline_link_receive (MfLink *link, const char *text)
{
  link->in_callback = true;
  mf_message_feed (&link->message, text, strlen (text));
  link->in_callback = false;
  if (link->cancelled)
    link_free (link);
  else if (link->message.error_code != MF_CODE_OK)
    offline_link_end (link, MF_LINK_BROKEN);
  else if (link->message.done)
    offline_link_end (link, MF_LINK_COMPLETE);
}

MfCaller *
offline_callers (void)
{
  return callers;
}

static const MfMessageCallbacks no_callbacks = { .head = NULL };

MfCaller *
offline_call (const MfListenerCallbacks *callbacks, void *data, const char *id,
              uint32_t after_event, const char *text)
{
  MfCaller *caller = calloc (1, sizeof *caller);

  if (caller == NULL)
    abort ();
  caller->next = callers;
  callers = caller;
  caller->started_us = now_us;
  caller->after_event = after_event;
  snprintf (caller->id, sizeof caller->id, "%s", id);
  mf_message_init (&caller->message, HTTP_REQUEST, &platform_dialect, &no_callbacks, caller);
  mf_message_feed (&caller->message, text, strlen (text));
  if (!caller->message.done)
    abort ();
  callbacks->request (data, caller);
  return caller;
}

void
offline_caller_leave (MfCaller *caller, const MfListenerCallbacks *callbacks, void *data)
{
  caller->is_gone = true;
  callbacks->departed (data, caller);
  caller->job = NULL;
}

const MfHead *
mf_caller_head (const MfCaller *caller)
{
  return &caller->message.head;
}

const char *
mf_caller_method (const MfCaller *caller)
{
  return http_method_str (caller->message.parser.method);
}

const MfBuffer *
mf_caller_body (const MfCaller *caller)
{
  return &caller->body;
}

uint64_t
mf_caller_started_us (const MfCaller *caller)
{
  return caller->started_us;
}

uint32_t
mf_caller_n_requests (const MfCaller *caller)
{
  (void)caller;
  return 1;
}

uint64_t
mf_caller_address_hash (const MfCaller *caller)
{
  (void)caller;
  return 1;
}

void
mf_caller_set_job (MfCaller *caller, void *job)
{
  caller->job = job;
}

void *
mf_caller_job (const MfCaller *caller)
{
  return caller->job;
}

/* Counts a head without the check of the real callers, so that a second one is noticed. */
static void
caller_add_head (MfCaller *caller, uint32_t status)
{
  caller->is_misused |= caller->is_gone || caller->has_ended;
  caller->n_heads++;
  caller->status = status;
}

bool
mf_caller_reply (MfCaller *caller, uint32_t status, const MfBuffer *headers, const char *body,
                 size_t body_bytes)
{
  (void)headers;
  (void)body;
  (void)body_bytes;
  caller_add_head (caller, status);
  caller->has_ended = true;
  caller->job = NULL;
  return true;
}

void
mf_caller_begin (MfCaller *caller, uint32_t status, const MfBuffer *headers)
{
  (void)headers;
  caller_add_head (caller, status);
}

void
mf_caller_write (MfCaller *caller, const char *bytes, size_t n_bytes)
{
  caller->is_misused |= caller->is_gone || caller->has_ended;
  mf_buffer_add (&caller->events, bytes, n_bytes);
}

void
mf_caller_end (MfCaller *caller)
{
  caller->is_misused |= caller->is_gone || caller->has_ended;
  caller->has_ended = true;
  caller->job = NULL;
}

void
mf_caller_abort (MfCaller *caller)
{
  caller->is_misused |= caller->is_gone || caller->has_ended;
  caller->is_gone = true;
  caller->job = NULL;
}

bool
mf_peers_send (MfPeers *peers, uint64_t peer, const MfRelayMessage *message)
{
  OfflineQuery query = { .kind = message->kind, .peer = peer };

  if (peers->is_cut)
    return false;
  switch (message->kind)
    {
    case MF_RELAY_MESSAGE_SLOT_REQUEST:
      query.id = message->slot_request.id;
      break;
    case MF_RELAY_MESSAGE_RETRY_RETURN:
      peers->n_returned++;
      peers->retry = message->retry;
      break;
    case MF_RELAY_MESSAGE_RETRY_REPLY:
      peers->retry = message->retry;
      break;
    case MF_RELAY_MESSAGE_RETRY:
      query.id = message->retry.is_done ? 0 : message->retry.id;
      break;
    case MF_RELAY_MESSAGE_RATE_ASK:
      query.id = message->rate.id;
      query.key = message->rate.ask.key;
      break;
    case MF_RELAY_MESSAGE_QUOTA_ASK:
      query.id = message->quota.id;
      query.key = message->quota.ask.key;
      query.n_units = message->quota.ask.n_units;
      break;
    case MF_RELAY_MESSAGE_CANCEL:
      peers->n_withdrawn++;
      break;
    default:
      break;
    }
  if (query.id != 0)
    peers->queries[peers->n_queries++ % OFFLINE_QUERIES_MAX] = query;
  return true;
}

uint32_t
mf_peers_send_ranked (MfPeers *peers, uint64_t key, uint32_t n_peers, const MfRelayMessage *message)
{
  (void)key;
  (void)n_peers;
  if (peers->is_cut || message->kind != MF_RELAY_MESSAGE_ORIGIN_ASK)
    return 0;
  peers->queries[peers->n_queries++ % OFFLINE_QUERIES_MAX] = (OfflineQuery){
    .kind = message->kind,
    .id = message->origin.id,
    .peer = peers->allocator,
  };
  return 1;
}

void
mf_peers_send_all (MfPeers *peers, const MfRelayMessage *message)
{
  (void)peers;
  (void)message;
}

uint64_t
mf_peers_leader (MfPeers *peers, const char *service, uint64_t at_us)
{
  (void)service;
  (void)at_us;
  return peers->leader;
}

bool
mf_peers_is_leader (MfPeers *peers, const char *service, uint64_t at_us)
{
  (void)service;
  (void)at_us;
  return peers->leader == 0;
}

uint64_t
mf_peers_allocator (const MfPeers *peers, uint64_t key, uint64_t at_us)
{
  (void)key;
  (void)at_us;
  return peers->allocator;
}

uint64_t
mf_peers_fence (const MfPeers *peers, const char *service)
{
  (void)peers;
  (void)service;
  return 0;
}

void
mf_peers_record_fence (MfPeers *peers, const char *service, uint64_t fence)
{
  (void)peers;
  (void)service;
  (void)fence;
}

void
mf_peers_exclude_leader (MfPeers *peers, uint64_t peer)
{
  (void)peers;
  (void)peer;
}

void
mf_peers_ack_grant (MfPeers *peers, uint64_t peer, uint64_t grant_id)
{
  (void)peers;
  (void)peer;
  (void)grant_id;
}

void
mf_peers_schedule_report (MfPeers *peers)
{
  (void)peers;
}

void
mf_peers_foreach_entry (const MfPeers *peers, uint64_t at_us,
                        void (*func) (void *data, const MfLoadEntry *entry, uint64_t received_us),
                        void *data)
{
  (void)peers;
  (void)at_us;
  (void)func;
  (void)data;
}

uint64_t
mf_peers_report_lifetime_us (const MfPeers *peers)
{
  (void)peers;
  return MF_US_PER_S;
}

uint32_t
mf_peers_n_higher (const MfPeers *peers, uint64_t key, uint64_t at_us)
{
  (void)peers;
  (void)key;
  (void)at_us;
  return 0;
}

uint32_t
mf_peers_n_known (const MfPeers *peers)
{
  (void)peers;
  return 3;
}

uint32_t
mf_peers_n_alive (const MfPeers *peers, uint64_t at_us)
{
  (void)at_us;
  return peers->is_cut ? 1 : 3;
}

MfFeedRank
mf_peers_feed_rank (const MfPeers *peers, uint64_t at_us)
{
  (void)peers;
  (void)at_us;
  return (MfFeedRank){ .n_instances = 1 };
}
