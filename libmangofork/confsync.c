#include "confsync.h"

#include "digest.h"
#include "member_row.h"
#include "text_delta.h"

#include <stdlib.h>
#include <string.h>

/* A starting instance waits this long for peers' revisions before it accepts the platform's text,
 * which may be stale. */
#define PEERS_FIRST_TIMEOUT_US (1500 * MF_US_PER_MS)
/* A request that is not answered within this time is sent to another peer. */
#define REQUEST_TIMEOUT_US (700 * MF_US_PER_MS)
/* Number of earlier texts that are kept, so that peers that have one of them are sent only the
 * difference. */
#define N_OLD_TEXTS 3
/* A revision that was refused as faulty is not requested again for this long. */
#define REFUSED_RETRY_US (60 * MF_US_PER_S)
#define REFUSED_MAX 8
/* Limit of full texts and lists that are sent to peers in one second. */
#define FULL_SENDS_PER_S 8

typedef struct
{
  uint64_t revision;
  char *text;
  size_t text_bytes;
} Text;

typedef struct
{
  uint64_t revision;
  uint64_t until_us;
} Refused;

/* A request for the text or the list, sent to one peer at a time. */
typedef struct
{
  uint64_t timeout_at_us; /* 0 if no request is in flight */
  uint64_t last_peer;     /* name hash of the peer that the last one was sent to */
} PeerRequest;

struct MfConfsync
{
  MfPlatformReads reads;
  Text candidate; /* the platform's text, until the peers' revisions are known */
  Text old[N_OLD_TEXTS];
  uint32_t next_old;
  Refused refused[REFUSED_MAX];
  uint32_t next_refused;
  uint64_t decide_by_us; /* the platform's text is accepted from then on; 0 before a list */
  bool need_full_text;   /* the last difference did not apply: request the full text */
  PeerRequest text_request;
  PeerRequest list_request;
  bool check_peers; /* a peer connected or sent a message: check what to request */
  uint64_t send_second;
  uint32_t n_sent;
};

static uint64_t
own_revision (const MfCore *core)
{
  return core->board.config != NULL ? core->board.config->revision : 0;
}

static bool
text_set (Text *dst, uint64_t revision, const char *text, size_t text_bytes)
{
  char *copy = malloc (text_bytes + 1);

  if (copy == NULL)
    return false;
  memcpy (copy, text, text_bytes);
  copy[text_bytes] = '\0';
  free (dst->text);
  *dst = (Text){ .revision = revision, .text = copy, .text_bytes = text_bytes };
  return true;
}

static void
text_clear (Text *text)
{
  free (text->text);
  *text = (Text){ 0 };
}

static bool
is_refused (const MfCore *core, uint64_t revision)
{
  const MfConfsync *sync = core->board.confsync;

  for (uint32_t i = 0; i < REFUSED_MAX; i++)
    {
      if (sync->refused[i].revision == revision && sync->refused[i].until_us > core->board.now_us)
        return true;
    }
  return false;
}

static void
refuse (MfCore *core, uint64_t revision, const MfError *fault)
{
  MfConfsync *sync = core->board.confsync;
  MfConfigState *state = &core->board.config_state;

  state->refused_revision = revision;
  state->refused_us = core->board.now_us;
  state->refused_fault = *fault;
  sync->refused[sync->next_refused++ % REFUSED_MAX] = (Refused){
    .revision = revision,
    .until_us = core->board.now_us + REFUSED_RETRY_US,
  };
  mf_counter_add (&core->board.counters, MF_COUNTER_CONFIG_REFUSED, 1);
  mf_core_log (core, "config", "text", "", "refused", "faulty");
}

static void
keep_first_fault (const MfError *fault, void *data)
{
  MfError *first = data;

  if (!mf_error_is_set (first))
    *first = *fault;
}

/* Puts a text in force if it is newer than the one in force and has no faults. A revision with
 * faults is refused. */
static void
offer_text (MfCore *core, uint64_t revision, const char *text, size_t text_bytes,
            const char *source)
{
  MfConfsync *sync = core->board.confsync;
  const MfConfig *old = core->board.config;
  MfError fault = { 0 };
  MfConfig *config;

  if (revision < own_revision (core))
    mf_counter_add (&core->board.counters, MF_COUNTER_CONFIG_STALE, 1);
  if (revision <= own_revision (core) || is_refused (core, revision))
    return;
  config = mf_config_parse (text, text_bytes, revision, keep_first_fault, &fault);
  if (config == NULL)
    {
      refuse (core, revision, &fault);
      return;
    }
  if (old != NULL)
    text_set (&sync->old[sync->next_old++ % N_OLD_TEXTS], old->revision, old->text,
              old->text_bytes);
  sync->need_full_text = false;
  sync->text_request.timeout_at_us = 0;
  mf_counter_add (&core->board.counters, MF_COUNTER_CONFIG_ACCEPTED, 1);
  mf_core_log (core, "config", "text", "", "in force", source);
  core->board.config_state.accepted_us = core->board.now_us;
  mf_name_set (core->board.config_state.source, MF_NAME_BYTES, source);
  mf_core_set_config (core, config);
  mf_digest_schedule_urgent (core);
}

/* Returns the connected neighbour to send a request to: one with a newer text or list than ours,
 * other than that of the last request if there is a choice. */
static MfMemberRow *
find_better_peer (const MfCore *core, const PeerRequest *request, bool for_list)
{
  const MfMembers *members = core->board.members;
  MfMemberRow *best = NULL;

  for (uint32_t i = 0; i < MF_NEIGHBOURS_MAX; i++)
    {
      MfMemberRow *row = members->neighbours[i];

      if (row == NULL || row->member.link_id == 0)
        continue;
      if (for_list ? row->list_index <= core->board.list_index
                   : row->config_revision <= own_revision (core)
                         || is_refused (core, row->config_revision))
        continue;
      if (best == NULL || best->name_hash == request->last_peer
          || (!for_list && row->config_revision > best->config_revision
              && row->name_hash != request->last_peer))
        best = row;
    }
  return best;
}

static void
send_peer_request (MfCore *core, PeerRequest *request, bool for_list)
{
  MfPeerMessage message = { .type = for_list ? MF_PEER_LIST_REQUEST : MF_PEER_CONFIG_REQUEST };
  MfMemberRow *row;

  if (core->board.now_us < request->timeout_at_us)
    {
      mf_core_wake_at (core, request->timeout_at_us);
      return;
    }
  row = find_better_peer (core, request, for_list);
  if (row == NULL)
    {
      request->timeout_at_us = 0;
      return;
    }
  if (for_list)
    message.known_index = core->board.list_index;
  else
    message.known_revision = core->board.confsync->need_full_text ? 0 : own_revision (core);
  request->last_peer = row->name_hash;
  request->timeout_at_us = core->board.now_us + REQUEST_TIMEOUT_US;
  mf_member_send_row (core, row, &message);
  mf_core_wake_at (core, request->timeout_at_us);
}

/* Limits the full texts and lists that are sent per second. */
static bool
may_send (MfCore *core)
{
  MfConfsync *sync = core->board.confsync;
  uint64_t second = core->board.now_us / MF_US_PER_S;

  if (second != sync->send_second)
    {
      sync->send_second = second;
      sync->n_sent = 0;
    }
  return ++sync->n_sent <= FULL_SENDS_PER_S;
}

/* Sends the text in force to a peer with an older one: as a difference if its text is one of those
 * kept, otherwise in full. */
static void
answer_config_request (MfCore *core, const MfPeerEvent *peer)
{
  const MfConfig *config = core->board.config;
  const MfConfsync *sync = core->board.confsync;
  MfPeerMessage message = { .type = MF_PEER_CONFIG };

  if (config == NULL || config->revision <= peer->message->known_revision)
    return;
  message.config = (MfConfigMessage){
    .revision = config->revision,
    .text = config->text,
    .text_bytes = (uint32_t)config->text_bytes,
    .full_text_hash = mf_text_hash (config->text, config->text_bytes),
  };
  for (uint32_t i = 0; i < N_OLD_TEXTS; i++)
    {
      const Text *old = &sync->old[i];

      if (old->text == NULL || old->revision != peer->message->known_revision)
        continue;
      mf_text_delta_make (old->text, old->text_bytes, config->text, config->text_bytes,
                          &message.config);
      message.config.base_revision = old->revision;
      break;
    }
  if (message.config.base_revision != 0 || may_send (core))
    mf_member_send (core, peer->peer.name, &message);
}

/* Handles a text from a peer. If it is a difference that does not apply to our text, the full text
 * is requested next. */
static void
handle_config (MfCore *core, const MfConfigMessage *message)
{
  MfConfsync *sync = core->board.confsync;
  const MfConfig *own = core->board.config;
  size_t text_bytes = message->text_bytes;
  char *full_text = NULL;

  sync->text_request.timeout_at_us = 0;
  if (message->revision <= own_revision (core))
    return;
  if (message->base_revision != 0)
    {
      if (own != NULL && own->revision == message->base_revision)
        full_text = mf_text_delta_apply (own->text, own->text_bytes, message, &text_bytes);
      sync->need_full_text = full_text == NULL;
      if (full_text == NULL)
        return;
    }
  else if (message->text == NULL
           || mf_text_hash (message->text, message->text_bytes) != message->full_text_hash)
    return;
  offer_text (core, message->revision, full_text != NULL ? full_text : message->text, text_bytes,
              "peer");
  free (full_text);
}

/* Sends the list of instances to a peer with an older one. This instance is added to it, as it is
 * no member of its own table. */
static void
answer_list_request (MfCore *core, const MfPeerEvent *peer)
{
  const MfOptions *options = &core->board.options;
  MfPeerMessage message = { .type = MF_PEER_LIST };
  uint32_t n_listed = 0;
  MfListedInstance *listed;

  if (core->board.list_index <= peer->message->known_index || !may_send (core))
    return;
  listed = calloc (mf_member_count (core) + 1, sizeof *listed);
  if (listed == NULL)
    return;
  for (const MfMemberRow *row = core->board.members->rows; row != NULL; row = row->hh.next)
    {
      MfListedInstance *to = &listed[n_listed];

      if (!row->member.listed)
        continue;
      mf_name_set (to->name, sizeof to->name, row->member.owner.name);
      mf_name_set (to->address, sizeof to->address, row->member.address);
      mf_name_set (to->data_centre, sizeof to->data_centre, row->member.data_centre);
      to->leaving = row->member.state == MF_MEMBER_LEAVING;
      n_listed++;
    }
  mf_name_set (listed[n_listed].name, sizeof listed->name, options->self.name);
  mf_name_set (listed[n_listed].address, sizeof listed->address, options->address);
  mf_name_set (listed[n_listed].data_centre, sizeof listed->data_centre, options->data_centre);
  message.list = (MfListMessage){
    .index = core->board.list_index,
    .listed = listed,
    .n_listed = n_listed + 1,
  };
  mf_member_send (core, peer->peer.name, &message);
  free (listed);
}

/* Returns whether every neighbour has reported its revision. */
static bool
all_peers_reported (const MfCore *core)
{
  const MfMembers *members = core->board.members;

  for (uint32_t i = 0; i < MF_NEIGHBOURS_MAX; i++)
    {
      if (members->neighbours[i] != NULL && members->neighbours[i]->digest_us == 0)
        return false;
    }
  return !members->choose_pending;
}

/* Returns the highest revision that a neighbour has and that was not refused here. */
static uint64_t
peers_revision (const MfCore *core)
{
  const MfMembers *members = core->board.members;
  uint64_t revision = 0;

  for (uint32_t i = 0; i < MF_NEIGHBOURS_MAX; i++)
    {
      const MfMemberRow *row = members->neighbours[i];

      if (row != NULL && row->config_revision > revision
          && !is_refused (core, row->config_revision))
        revision = row->config_revision;
    }
  return revision;
}

/* Chooses the text of an instance that has none since it started. The platform may be stale, so the
 * peers have precedence: the platform's text is read if they have none, and put in force if they
 * have none newer or did not report in time. */
static void
choose_first_text (MfCore *core)
{
  MfConfsync *sync = core->board.confsync;
  bool timed_out;

  if (core->board.config != NULL || sync->decide_by_us == 0)
    return;
  timed_out = core->board.now_us >= sync->decide_by_us;
  if (!timed_out)
    mf_core_wake_at (core, sync->decide_by_us);
  if (!timed_out && (!all_peers_reported (core) || peers_revision (core) > 0))
    return;
  if (sync->candidate.text == NULL)
    {
      sync->reads.text_needed = true;
      return;
    }
  if (peers_revision (core) <= sync->candidate.revision || timed_out)
    offer_text (core, sync->candidate.revision, sync->candidate.text, sync->candidate.text_bytes,
                "platform");
  text_clear (&sync->candidate);
}

static void
handle_text (MfCore *core, const MfPlatformTextEvent *text)
{
  MfConfsync *sync = core->board.confsync;

  mf_platform_reads_done (core, &sync->reads, &sync->reads.text, text->revision);
  if (core->board.config == NULL && sync->decide_by_us > core->board.now_us)
    text_set (&sync->candidate, text->revision, text->text, text->text_bytes);
  else
    offer_text (core, text->revision, text->text, text->text_bytes, "platform");
}

static void
handle_list (MfCore *core, uint64_t index)
{
  MfConfsync *sync = core->board.confsync;

  mf_platform_reads_done (core, &sync->reads, &sync->reads.list, index);
  if (sync->decide_by_us == 0)
    sync->decide_by_us = core->board.now_us + PEERS_FIRST_TIMEOUT_US;
}

static void
handle_message (MfCore *core, const MfPeerEvent *peer)
{
  const MfPeerMessage *message = peer->message;

  switch (message->type)
    {
    case MF_PEER_CONFIG_REQUEST:
      answer_config_request (core, peer);
      break;
    case MF_PEER_CONFIG:
      handle_config (core, &message->config);
      break;
    case MF_PEER_LIST_REQUEST:
      answer_list_request (core, peer);
      break;
    case MF_PEER_LIST:
      core->board.confsync->list_request.timeout_at_us = 0;
      mf_member_apply_list (core, message->list.index, message->list.listed,
                            message->list.n_listed);
      break;
    default:
      break;
    }
}

static void
confsync_handle (MfCore *core, const MfEvent *event)
{
  MfConfsync *sync = core->board.confsync;

  sync->check_peers |= event->type == MF_EVENT_PEER_MESSAGE || event->type == MF_EVENT_PEER_UP;
  switch (event->type)
    {
    case MF_EVENT_PLATFORM_TEXT:
      core->board.config_state.platform_answered_us = core->board.now_us;
      handle_text (core, &event->text);
      break;
    case MF_EVENT_PLATFORM_LIST:
      core->board.config_state.platform_answered_us = core->board.now_us;
      handle_list (core, event->list.index);
      break;
    case MF_EVENT_PLATFORM_FAILED:
      core->board.config_state.platform_failed_us = core->board.now_us;
      mf_platform_reads_failed (core, &sync->reads, &event->platform_failed);
      if (sync->decide_by_us == 0)
        sync->decide_by_us = core->board.now_us + PEERS_FIRST_TIMEOUT_US;
      break;
    case MF_EVENT_PEER_MESSAGE:
      handle_message (core, &event->peer);
      break;
    default:
      break;
    }
}

static void
confsync_tick (MfCore *core)
{
  MfConfsync *sync = core->board.confsync;

  choose_first_text (core);
  mf_platform_reads_tick (core, &sync->reads);
  if (!sync->check_peers && sync->text_request.timeout_at_us == 0
      && sync->list_request.timeout_at_us == 0)
    return;
  sync->check_peers = false;
  send_peer_request (core, &sync->text_request, false);
  send_peer_request (core, &sync->list_request, true);
}

static bool
confsync_init (MfCore *core, MfError *error)
{
  core->board.confsync = calloc (1, sizeof *core->board.confsync);
  if (core->board.confsync == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for the operators' text");
      return false;
    }
  mf_platform_reads_init (core, &core->board.confsync->reads);
  return true;
}

static void
confsync_finish (MfCore *core)
{
  MfConfsync *sync = core->board.confsync;

  if (sync == NULL)
    return;
  text_clear (&sync->candidate);
  for (uint32_t i = 0; i < N_OLD_TEXTS; i++)
    text_clear (&sync->old[i]);
  free (sync);
  core->board.confsync = NULL;
}

const MfController mf_confsync_controller = {
  .name = "confsync",
  .init = confsync_init,
  .finish = confsync_finish,
  .handle = confsync_handle,
  .tick = confsync_tick,
};
