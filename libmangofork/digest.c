#include "digest.h"

#include "guardian.h"
#include "member_row.h"
#include "gossip.h"
#include "share.h"

#include <stdlib.h>

/* Rate of urgent digests, which are sent before the period has passed: a burst of URGENT_BURST,
 * then one each URGENT_REFILL_US, with at least URGENT_GAP_US between any two. */
#define URGENT_BURST 5
#define URGENT_REFILL_US (2 * MF_US_PER_S)
#define URGENT_GAP_US (20 * MF_US_PER_MS)
/* Upper bounds of encoded sizes: of a digest without its lists, of one piece of gossip, of one
 * share and of the packed burn figures. */
#define FIXED_BYTES 64
#define GOSSIP_BYTES 28
#define SHARE_BYTES 16
#define BURN_BYTES_MAX 1024
/* The digests of one period have together at most this many times digest_bytes_max. */
#define PERIOD_DIGESTS_MAX 2

struct MfDigests
{
  uint64_t sequence;
  uint64_t next_us;
  uint64_t last_us;
  bool urgent;            /* send at the end of this step if the rate allows it */
  uint32_t n_urgent_left; /* urgent digests that may be sent before the next refill */
  uint64_t refill_us;
};

/* Schedules digests for the end of this step instead of the next period, subject to the rate limit
 * of urgent digests. */
void
mf_digest_schedule_urgent (MfCore *core)
{
  if (core->board.digests != NULL)
    core->board.digests->urgent = true;
}

/* Returns how many bytes one digest may have, so that those of one period keep to their limit
 * together. */
static uint32_t
digest_bytes_limit (const MfCore *core, uint32_t n_linked)
{
  uint32_t max = core->board.options.digest_bytes_max;
  uint32_t part = PERIOD_DIGESTS_MAX * max / n_linked;

  return part < max ? part : max;
}

static uint32_t
count_linked (const MfCore *core)
{
  uint32_t n_linked = 0;

  for (uint32_t i = 0; i < MF_NEIGHBOURS_MAX; i++)
    {
      const MfMemberRow *row = core->board.members->neighbours[i];

      n_linked += row != NULL && row->member.link_id != 0;
    }
  return n_linked;
}

/* Fills in what is specific to one neighbour, and sends the digest. */
static void
digest_send (MfCore *core, uint32_t neighbour, MfPeerMessage *message, uint32_t n_gossip_max)
{
  MfMemberRow *row = core->board.members->neighbours[neighbour];

  message->digest.n_gossip = 0;
  message->digest.guardian = row->is_guardian;
  mf_gossip_fill_digest (core, neighbour, &message->digest, n_gossip_max);
  mf_member_send_row (core, row, message);
}

/* Fills in what is the same in the digests to all neighbours. */
static void
digest_compose (MfCore *core, MfDigestMessage *digest, uint8_t *burn, uint32_t max_bytes)
{
  const MfConfig *config = core->board.config;
  uint32_t burn_max = max_bytes / 4 < BURN_BYTES_MAX ? max_bytes / 4 : BURN_BYTES_MAX;
  uint32_t n_shares_max;

  digest->sequence = ++core->board.digests->sequence;
  digest->config_revision = config != NULL ? config->revision : 0;
  digest->list_index = core->board.list_index;
  digest->leaving = core->board.draining;
  digest->admitted = core->board.voter_admitted;
  digest->burn_bytes
      = (uint32_t)mf_burn_pack (core->board.burn, core->board.now_us, burn, burn_max);
  digest->burn = burn;
  n_shares_max = max_bytes / 2 > FIXED_BYTES + digest->burn_bytes
                     ? (max_bytes / 2 - FIXED_BYTES - digest->burn_bytes) / SHARE_BYTES
                     : 1;
  mf_share_fill (core, digest, n_shares_max);
}

static void
send_all (MfCore *core, uint32_t n_linked)
{
  uint32_t max_bytes = digest_bytes_limit (core, n_linked);
  MfPeerMessage message = { .type = MF_PEER_DIGEST };
  uint8_t burn[BURN_BYTES_MAX];
  uint32_t n_bytes;

  mf_guardian_choose (core);
  digest_compose (core, &message.digest, burn, max_bytes);
  n_bytes = FIXED_BYTES + message.digest.burn_bytes + message.digest.n_shares * SHARE_BYTES;
  for (uint32_t i = 0; i < MF_NEIGHBOURS_MAX; i++)
    {
      const MfMemberRow *row = core->board.members->neighbours[i];

      if (row != NULL && row->member.link_id != 0)
        digest_send (core, i, &message,
                     max_bytes > n_bytes + GOSSIP_BYTES ? (max_bytes - n_bytes) / GOSSIP_BYTES : 1);
    }
}

static void
urgent_refill (MfDigests *digests, uint64_t now_us)
{
  if (now_us < digests->refill_us)
    return;
  digests->refill_us = now_us + URGENT_REFILL_US;
  if (digests->n_urgent_left < URGENT_BURST)
    digests->n_urgent_left++;
}

static void
digest_tick (MfCore *core)
{
  MfDigests *digests = core->board.digests;
  uint64_t now_us = core->board.now_us;
  uint32_t n_linked;

  if (!digests->urgent && now_us < digests->next_us)
    {
      mf_core_wake_at (core, digests->next_us);
      return;
    }
  n_linked = count_linked (core);
  urgent_refill (digests, now_us);
  if (n_linked == 0)
    {
      digests->urgent = false;
      digests->next_us = now_us + core->board.options.digest_period_us;
    }
  else if (now_us >= digests->next_us
           || (digests->n_urgent_left > 0 && now_us >= digests->last_us + URGENT_GAP_US))
    {
      if (now_us < digests->next_us)
        digests->n_urgent_left--;
      digests->urgent = false;
      digests->last_us = now_us;
      digests->next_us = now_us + core->board.options.digest_period_us;
      send_all (core, n_linked);
    }
  else if (digests->n_urgent_left > 0)
    mf_core_wake_at (core, digests->last_us + URGENT_GAP_US);
  mf_core_wake_at (core, digests->next_us);
}

static bool
digest_init (MfCore *core, MfError *error)
{
  core->board.digests = calloc (1, sizeof *core->board.digests);
  if (core->board.digests == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for digests");
      return false;
    }
  core->board.digests->n_urgent_left = URGENT_BURST;
  core->board.digests->next_us
      = core->board.now_us + mf_core_random_below (core, core->board.options.digest_period_us);
  return true;
}

static void
digest_finish (MfCore *core)
{
  free (core->board.digests);
  core->board.digests = NULL;
}

const MfController mf_digest_controller = {
  .name = "digest",
  .init = digest_init,
  .finish = digest_finish,
  .tick = digest_tick,
};
