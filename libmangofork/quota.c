#include "quota.h"

#include <stdlib.h>

/* Customers at one time; the one unused for longest is dropped for a further one. */
#define ROWS_MAX 256
/* A lease is used or returned within this time; charges are made after it at the latest. */
#define LEASE_US (500 * MF_US_PER_MS)
/* Part of what a bucket holds above its half that one lease takes at most. */
#define LEASE_DIVISOR 4
/* The part of the permitted overage that is allocated above the limit. The rest covers failures.
 */
#define ALLOWED_DIVISOR 3
/* The part of the permitted overage, in percent, that is allocated by all sides of a partitioned
 * fleet together. */
#define PARTITION_PERCENT 80
/* An allocator that reaches less than one in this many of the instances allocates nothing: its
 * instances use their local buckets. Each allocator may let one request overdraw its bucket, which
 * in a fleet of isolated instances would exceed the bound. */
#define SIDES_MAX 8
/* A bucket of unknown history starts with what the rate yields in this time, and an instance names
 * what it has used in this time to an allocator that it asks for the first time. */
#define RECENT_US (1 * MF_US_PER_S)
/* Each denial in the last second beyond DENIED_FREE lengthens a denial by this, which bounds the
 * messages to the allocator of a customer far above its limit. */
#define DENIED_FREE 100
#define DENIED_SPACING_US (5 * MF_US_PER_MS)
/* A denial holds for this long at most: the limit may be another by then. */
#define DENIED_MAX_US (1 * MF_US_PER_S)
/* Callers that are refused are spread over this time at most. */
#define SPREAD_MAX_US (10 * MF_US_PER_S)
/* A denial names no longer wait: the limit may be another by then. */
#define WAIT_MAX_US (3600 * MF_US_PER_S)
/* A customer without a denial for this time is not limited any more. */
#define LIMITED_US (5 * MF_US_PER_S)
/* An allocator that did not reply is asked again after this time. */
#define UNANSWERED_US (1 * MF_US_PER_S)
/* Part of a rate that is divided among the instances while they reach no allocator, and the time in
 * which it fills their buckets: together they hold one second of the rate. */
#define LOCAL_PERCENT 25
#define LOCAL_FILL_S 4
/* The use of the last second is recorded in slots of this time. */
#define SLOT_US (100 * MF_US_PER_MS)
#define N_SLOTS 10
#define LEASE_SLOTS (LEASE_US / SLOT_US)

/* A customer at its allocator. */
typedef struct
{
  uint64_t key;
  uint64_t used_us; /* 0: free */
  MfRateBucket bucket;
  uint64_t denied_second;
  uint32_t n_denied; /* asks, in that second */
  uint32_t n_denied_before;
  uint64_t denied_units; /* denied by anyone, in that second */
  uint64_t denied_units_before;
  uint32_t largest_denied; /* units of one ask, in that second */
  uint32_t largest_denied_before;
  uint64_t denied_us; /* the last time */
  bool is_limited;
  bool was_limited; /* as last returned by mf_quotas_next_change */
} Quota;

struct MfQuotas
{
  Quota rows[ROWS_MAX];
};

/* Returns NULL when out of memory. */
MfQuotas *
mf_quotas_new (void)
{
  return calloc (1, sizeof (MfQuotas));
}

/* Accepts NULL. */
void
mf_quotas_free (MfQuotas *quotas)
{
  free (quotas);
}

/* Returns the part of the limit that is allocated, as a factor. */
static double
allocated_factor (const MfQuotaBounds *bounds, MfQuotaView view)
{
  double allowed = 1. + bounds->overage / ALLOWED_DIVISOR;
  double part = (1. + bounds->overage * PARTITION_PERCENT / 100.) * view.n_alive
                / (view.n_known > 0 ? view.n_known : 1);

  return part < allowed ? part : allowed;
}

/* Returns what a bucket holds at most, in units. Of the slack, no more is used than of the burst:
 * it would be most of a small quota. */
static double
allocated_burst (const MfQuotaLimit *limit, const MfQuotaBounds *bounds, double factor)
{
  uint64_t slack = bounds->slack < limit->burst ? bounds->slack : limit->burst;

  return factor * ((double)limit->burst + (double)slack / ALLOWED_DIVISOR);
}

static MfQuotaLimit
limit_clamp (const MfQuotaLimit *limit)
{
  return (MfQuotaLimit){
    .per_s = limit->per_s < MF_QUOTA_UNITS_MAX ? limit->per_s : MF_QUOTA_UNITS_MAX,
    .burst = limit->burst < MF_QUOTA_UNITS_MAX ? limit->burst : MF_QUOTA_UNITS_MAX,
  };
}

/* Applies a limit from now on; a lowered one also cuts what the bucket holds. */
static void
quota_set_limit (Quota *quota, const MfQuotaLimit *given, const MfQuotaBounds *bounds,
                 MfQuotaView view, uint64_t now_us)
{
  MfQuotaLimit limit = limit_clamp (given);
  double factor = allocated_factor (bounds, view);
  uint64_t micro_per_s = (uint64_t)(factor * (double)limit.per_s * (double)MF_RATE_MICRO);
  uint64_t burst_micro
      = (uint64_t)(allocated_burst (&limit, bounds, factor) * (double)MF_RATE_MICRO);
  bool is_new = quota->bucket.micro_per_s == 0;

  if (burst_micro < MF_RATE_MICRO)
    burst_micro = MF_RATE_MICRO;
  mf_rate_bucket_set (&quota->bucket, micro_per_s, now_us);
  mf_rate_bucket_set_bounds (&quota->bucket, burst_micro,
                             micro_per_s / MF_US_PER_S * bounds->window_us + burst_micro, now_us);
  if (is_new)
    mf_rate_bucket_return (
        &quota->bucket, (uint32_t)(micro_per_s / MF_RATE_MICRO * RECENT_US / MF_US_PER_S), now_us);
}

static Quota *
quota_get (MfQuotas *quotas, uint64_t key, uint64_t now_us)
{
  Quota *oldest = &quotas->rows[0];

  for (uint32_t i = 0; i < ROWS_MAX; i++)
    {
      Quota *quota = &quotas->rows[i];

      if (quota->used_us > 0 && quota->key == key)
        {
          quota->used_us = now_us;
          return quota;
        }
      if (quota->used_us < oldest->used_us)
        oldest = quota;
    }
  *oldest = (Quota){ .key = key, .used_us = now_us };
  mf_rate_bucket_init (&oldest->bucket, 0, now_us);
  return oldest;
}

static void
quota_note_denied (Quota *quota, uint32_t n_asks, uint32_t n_units, uint64_t now_us)
{
  uint64_t second = now_us / MF_US_PER_S;

  if (second != quota->denied_second)
    {
      bool is_next = second == quota->denied_second + 1;

      quota->n_denied_before = is_next ? quota->n_denied : 0;
      quota->denied_units_before = is_next ? quota->denied_units : 0;
      quota->largest_denied_before = is_next ? quota->largest_denied : 0;
      quota->n_denied = 0;
      quota->denied_units = 0;
      quota->largest_denied = 0;
      quota->denied_second = second;
    }
  quota->n_denied += n_asks;
  quota->denied_units += n_units;
  if (n_asks > 0 && n_units > quota->largest_denied)
    quota->largest_denied = n_units;
  quota->denied_us = now_us;
  quota->is_limited = true;
}

/* Takes units if the bucket could also admit the largest request denied in the last second.
 * Otherwise small requests would take each unit before there are enough for a large one. */
static bool
quota_acquire (Quota *quota, uint32_t n_units, uint64_t now_us, uint64_t *wait_us)
{
  bool is_recent = now_us < quota->denied_us + RECENT_US;
  uint32_t largest = quota->largest_denied > quota->largest_denied_before
                         ? quota->largest_denied
                         : quota->largest_denied_before;
  uint32_t n_needed = is_recent && largest > n_units ? largest : n_units;

  if (!mf_rate_bucket_acquire (&quota->bucket, n_needed, 0, now_us, wait_us))
    return false;
  mf_rate_bucket_return (&quota->bucket, n_needed - n_units, now_us);
  return true;
}

/* Returns a count of the last second, from those of the current second and the one before it. */
static uint64_t
sliding_count (uint64_t current, uint64_t before, uint64_t now_us)
{
  return current + before * (MF_US_PER_S - now_us % MF_US_PER_S) / MF_US_PER_S;
}

/* Returns the time that the rate takes to serve what was refused in the last second. */
static uint64_t
quota_spread_us (const Quota *quota, uint64_t now_us)
{
  uint64_t n_units = sliding_count (quota->denied_units, quota->denied_units_before, now_us);
  uint64_t per_s = quota->bucket.micro_per_s / MF_RATE_MICRO;
  uint64_t spread_us = per_s > 0 ? n_units * MF_US_PER_S / per_s : SPREAD_MAX_US;

  return spread_us < SPREAD_MAX_US ? spread_us : SPREAD_MAX_US;
}

/* Returns the time that a denial lasts beyond the wait for the bucket. It ends before the bucket is
 * full, as what the rate yields then is lost. */
static uint64_t
quota_spacing_us (const Quota *quota, uint64_t now_us)
{
  uint64_t n_denied = sliding_count (quota->n_denied, quota->n_denied_before, now_us);
  uint64_t spacing_us = n_denied > DENIED_FREE ? (n_denied - DENIED_FREE) * DENIED_SPACING_US : 0;
  uint64_t max_us = quota->bucket.burst_micro / (quota->bucket.micro_per_s / MF_US_PER_S + 1) / 2;

  max_us = max_us < DENIED_MAX_US ? max_us : DENIED_MAX_US;
  return spacing_us < max_us ? spacing_us : max_us;
}

/* Takes a lease out of the bucket; half of what it can hold stays in it. */
static uint32_t
quota_lease (Quota *quota, uint32_t n_wanted, uint64_t now_us)
{
  uint64_t n_available = mf_rate_bucket_n_available (&quota->bucket, now_us);
  uint64_t half = quota->bucket.burst_micro / MF_RATE_MICRO / 2;
  uint64_t n_max = n_available > half ? (n_available - half) / LEASE_DIVISOR : 0;
  uint32_t n_leased = n_wanted < n_max ? n_wanted : (uint32_t)n_max;

  mf_rate_bucket_charge (&quota->bucket, n_leased, now_us);
  return n_leased;
}

/* Admits a request of a customer or denies it. limit is the one of the allocator's own
 * configuration; NULL: the customer is not in it, and the one of the ask counts. */
MfQuotaGrant
mf_quotas_ask (MfQuotas *quotas, const MfQuotaAsk *ask, const MfQuotaLimit *limit,
               const MfQuotaBounds *bounds, MfQuotaView view, uint64_t now_us)
{
  const MfQuotaLimit *known = limit != NULL ? limit : &ask->limit;
  MfQuotaGrant grant = { 0 };
  Quota *quota;

  if (known->per_s == 0)
    return (MfQuotaGrant){ .granted = true };
  if (view.n_alive * SIDES_MAX < view.n_known)
    return (MfQuotaGrant){ .redirected = true };
  quota = quota_get (quotas, ask->key, now_us);
  quota_set_limit (quota, known, bounds, view, now_us);
  mf_rate_bucket_charge (&quota->bucket, ask->n_charged, now_us);
  mf_rate_bucket_return (&quota->bucket, ask->n_returned, now_us);
  if (ask->n_denied > 0)
    quota_note_denied (quota, 0, ask->n_denied, now_us);
  if (ask->n_units == 0)
    return grant;
  grant.granted = quota_acquire (quota, ask->n_units, now_us, &grant.wait_us);
  if (grant.granted)
    {
      grant.n_leased = quota_lease (quota, ask->n_wanted, now_us);
      return grant;
    }
  quota_note_denied (quota, 1, ask->n_units, now_us);
  grant.spread_us = quota_spread_us (quota, now_us);
  if (grant.wait_us > WAIT_MAX_US)
    grant.wait_us = WAIT_MAX_US;
  grant.wait_us += quota_spacing_us (quota, now_us);
  return grant;
}

/* Returns a customer that has become limited or has ceased to be so since the last call; false:
 * there is none. */
bool
mf_quotas_next_change (MfQuotas *quotas, uint64_t now_us, uint64_t *key, bool *is_limited)
{
  for (uint32_t i = 0; i < ROWS_MAX; i++)
    {
      Quota *quota = &quotas->rows[i];

      if (quota->is_limited && now_us >= quota->denied_us + LIMITED_US)
        quota->is_limited = false;
      if (quota->is_limited == quota->was_limited)
        continue;
      quota->was_limited = quota->is_limited;
      *key = quota->key;
      *is_limited = quota->is_limited;
      return true;
    }
  return false;
}

/* Whether mf_quotas_next_change will return a customer some time. */
bool
mf_quotas_any_limited (const MfQuotas *quotas)
{
  for (uint32_t i = 0; i < ROWS_MAX; i++)
    {
      if (quotas->rows[i].is_limited || quotas->rows[i].was_limited)
        return true;
    }
  return false;
}

/* Units of one slot of time. */
typedef struct
{
  uint64_t number; /* of the slot, since the clock's start */
  uint32_t n_used;
  uint32_t n_demanded; /* used, denied or asked for */
} UseSlot;

/* A customer at an instance that asks. */
typedef struct
{
  uint64_t key;
  uint64_t used_us; /* 0: free */
  MfQuotaLimit limit;
  uint64_t allocator; /* the one asked last */
  bool was_asked;
  uint32_t n_leased;
  uint64_t lease_until_us;
  uint64_t denied_until_us;
  uint64_t spread_us; /* of that denial */
  uint64_t unanswered_allocator;
  uint64_t unanswered_us; /* it did not reply then; 0: it did */
  MfRateBucket local;
  UseSlot slots[N_SLOTS];
  uint32_t n_charged;  /* to be named to the allocator */
  uint32_t n_returned; /* likewise */
  uint32_t n_denied;   /* likewise */
  uint64_t report_us;  /* when these are reported without a request; 0: nothing is to be reported */
} AskerRow;

struct MfQuotaAsker
{
  AskerRow rows[ROWS_MAX];
  uint32_t n_rows;
};

/* Returns NULL when out of memory. */
MfQuotaAsker *
mf_quota_asker_new (void)
{
  return calloc (1, sizeof (MfQuotaAsker));
}

/* Accepts NULL. */
void
mf_quota_asker_free (MfQuotaAsker *asker)
{
  free (asker);
}

static AskerRow *
row_find (MfQuotaAsker *asker, uint64_t key)
{
  for (uint32_t i = 0; i < asker->n_rows; i++)
    {
      if (asker->rows[i].key == key)
        return &asker->rows[i];
    }
  return NULL;
}

static AskerRow *
row_get (MfQuotaAsker *asker, uint64_t key, uint64_t now_us)
{
  AskerRow *row = row_find (asker, key);

  if (row == NULL && asker->n_rows < ROWS_MAX)
    row = &asker->rows[asker->n_rows++];
  if (row == NULL)
    {
      row = &asker->rows[0];
      for (uint32_t i = 1; i < ROWS_MAX; i++)
        {
          if (asker->rows[i].used_us < row->used_us)
            row = &asker->rows[i];
        }
    }
  if (row->key != key || row->used_us == 0)
    *row = (AskerRow){ .key = key };
  row->used_us = now_us;
  return row;
}

static UseSlot *
row_slot (AskerRow *row, uint64_t now_us)
{
  uint64_t number = now_us / SLOT_US;
  UseSlot *slot = &row->slots[number % N_SLOTS];

  if (slot->number != number)
    *slot = (UseSlot){ .number = number };
  return slot;
}

static void
units_add (uint32_t *n_units, uint64_t n_more)
{
  uint64_t sum = *n_units + n_more;

  *n_units = (uint32_t)(sum < MF_QUOTA_ASK_UNITS_MAX ? sum : MF_QUOTA_ASK_UNITS_MAX);
}

/* Returns the units used in the last second. */
static uint32_t
row_n_recent (const AskerRow *row, uint64_t now_us)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < N_SLOTS; i++)
    units_add (&n, row->slots[i].number + N_SLOTS > now_us / SLOT_US ? row->slots[i].n_used : 0);
  return n;
}

/* Returns the units demanded in the time of a lease. */
static uint32_t
row_n_demanded (const AskerRow *row, uint64_t now_us)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < N_SLOTS; i++)
    units_add (&n, row->slots[i].number + LEASE_SLOTS > now_us / SLOT_US ? row->slots[i].n_demanded
                                                                         : 0);
  return n;
}

static void
row_report_by (AskerRow *row, uint64_t at_us)
{
  if (row->report_us == 0 || at_us < row->report_us)
    row->report_us = at_us;
}

/* Adds an expired lease to the units that are to be returned. */
static void
row_expire_lease (AskerRow *row, uint64_t now_us)
{
  if (row->n_leased == 0 || now_us < row->lease_until_us)
    return;
  units_add (&row->n_returned, row->n_leased);
  row->n_leased = 0;
}

static uint64_t
retry_time_us (uint64_t wait_us, uint64_t spread_us, uint32_t random)
{
  return wait_us + (spread_us * (uint64_t)random >> 32);
}

/* Fills an ask with what is to be reported. An allocator that was not asked last has granted
 * nothing that could be returned, and is told what the instance has used lately. */
static void
row_fill_ask (AskerRow *row, uint64_t allocator, uint64_t now_us, MfQuotaAsk *ask)
{
  *ask = (MfQuotaAsk){
    .key = row->key,
    .n_charged = row->n_charged,
    .n_returned = row->n_returned,
    .n_denied = row->n_denied,
    .limit = row->limit,
  };
  if (!row->was_asked || row->allocator != allocator)
    {
      uint32_t n_recent = row_n_recent (row, now_us);

      ask->n_charged = ask->n_charged > n_recent ? ask->n_charged : n_recent;
      ask->n_returned = 0;
      row->n_leased = 0;
    }
  row->was_asked = true;
  row->allocator = allocator;
  row->n_charged = 0;
  row->n_returned = 0;
  row->n_denied = 0;
  row->report_us = row->n_leased > 0 ? row->lease_until_us : 0;
}

static void
row_set_limit (AskerRow *row, const MfQuotaRequest *request, uint64_t now_us)
{
  MfQuotaLimit limit = limit_clamp (&request->limit);
  uint64_t local_micro_per_s = limit.per_s * MF_RATE_MICRO * LOCAL_PERCENT / 100
                               / (request->n_instances > 0 ? request->n_instances : 1);
  bool is_new = row->limit.per_s == 0;

  if (limit.per_s != row->limit.per_s || limit.burst != row->limit.burst)
    row->denied_until_us = 0;
  row->limit = limit;
  mf_rate_bucket_set (&row->local, local_micro_per_s, now_us);
  mf_rate_bucket_set_bounds (&row->local, local_micro_per_s * LOCAL_FILL_S, 0, now_us);
  if (is_new)
    mf_rate_bucket_return (&row->local,
                           (uint32_t)(local_micro_per_s * LOCAL_FILL_S / MF_RATE_MICRO), now_us);
}

/* Decides how a request is admitted. For MF_QUOTA_ASK, ask is filled; for MF_QUOTA_DENY, retry_us
 * is set to the time after which the caller may return. */
MfQuotaStep
mf_quota_asker_begin (MfQuotaAsker *asker, const MfQuotaRequest *request, uint64_t now_us,
                      MfQuotaAsk *ask, uint64_t *retry_us)
{
  AskerRow *row = row_get (asker, request->key, now_us);
  uint32_t n_demanded = row_n_demanded (row, now_us);

  row_set_limit (row, request, now_us);
  row_expire_lease (row, now_us);
  units_add (&row_slot (row, now_us)->n_demanded, request->n_units);
  if (row->n_leased >= request->n_units)
    {
      row->n_leased -= request->n_units;
      units_add (&row_slot (row, now_us)->n_used, request->n_units);
      return MF_QUOTA_ADMIT;
    }
  if (now_us < row->denied_until_us)
    {
      units_add (&row->n_denied, request->n_units);
      *retry_us = retry_time_us (row->denied_until_us - now_us, row->spread_us, request->random);
      return MF_QUOTA_DENY;
    }
  if (row->unanswered_us > 0 && row->unanswered_allocator == request->allocator
      && now_us < row->unanswered_us + UNANSWERED_US)
    return MF_QUOTA_LOCAL;
  row_fill_ask (row, request->allocator, now_us, ask);
  ask->n_units = request->n_units;
  ask->n_wanted = request->wants_lease && row->n_leased < n_demanded ? n_demanded : 0;
  return MF_QUOTA_ASK;
}

/* Handles the reply to an ask. Returns whether the request is admitted; otherwise retry_us is set.
 */
bool
mf_quota_asker_handle_grant (MfQuotaAsker *asker, const MfQuotaRequest *request,
                             const MfQuotaGrant *grant, uint64_t now_us, uint64_t *retry_us)
{
  AskerRow *row = row_get (asker, request->key, now_us);

  row->unanswered_us = 0;
  if (grant->granted)
    {
      units_add (&row_slot (row, now_us)->n_used, request->n_units);
      if (grant->n_leased > 0)
        {
          units_add (&row->n_leased, grant->n_leased);
          row->lease_until_us = now_us + LEASE_US;
          row->report_us = row->lease_until_us;
        }
      return true;
    }
  row->denied_until_us = now_us + (grant->wait_us < DENIED_MAX_US ? grant->wait_us : DENIED_MAX_US);
  row->spread_us = grant->spread_us;
  *retry_us = retry_time_us (grant->wait_us, grant->spread_us, request->random);
  return false;
}

/* Decides with the local bucket, as no allocator has answered. A request that needs more than there
 * is in it is admitted with the probability that makes up for the difference. */
bool
mf_quota_asker_local (MfQuotaAsker *asker, const MfQuotaRequest *request, uint64_t now_us,
                      uint64_t *retry_us)
{
  AskerRow *row = row_get (asker, request->key, now_us);
  uint64_t n_available;
  uint64_t n_taken;
  uint64_t wait_us = 0;
  bool admitted;

  row_set_limit (row, request, now_us);
  n_available = mf_rate_bucket_n_available (&row->local, now_us);
  n_taken = n_available < request->n_units ? n_available : request->n_units;
  admitted = (uint64_t)request->random * request->n_units >> 32 < n_available;
  mf_rate_bucket_charge (&row->local, (uint32_t)n_taken, now_us);
  if (admitted)
    {
      units_add (&row_slot (row, now_us)->n_used, request->n_units);
      units_add (&row->n_charged, request->n_units);
      row_report_by (row, now_us + LEASE_US);
      return true;
    }
  units_add (&row->n_denied, request->n_units);
  /* The time in which the bucket, now empty, yields the units; the allocator may be back before. */
  wait_us = request->n_units * MF_RATE_MICRO / (row->local.micro_per_s / 1000 + 1) * 1000;
  wait_us = wait_us < UNANSWERED_US ? wait_us : UNANSWERED_US;
  *retry_us = retry_time_us (wait_us, wait_us, request->random);
  return false;
}

/* The allocator has not replied in time. */
void
mf_quota_asker_note_unanswered (MfQuotaAsker *asker, uint64_t key, uint64_t allocator,
                                uint64_t now_us)
{
  AskerRow *row = row_get (asker, key, now_us);

  row->unanswered_allocator = allocator;
  row->unanswered_us = now_us;
}

/* Takes units back: of a request that was admitted and not run (was_used), or of a reply that came
 * too late. */
void
mf_quota_asker_return (MfQuotaAsker *asker, uint64_t key, uint32_t n_units, bool was_used,
                       uint64_t now_us)
{
  AskerRow *row = row_find (asker, key);
  uint32_t n_uncharged;

  if (row == NULL)
    return;
  if (was_used)
    {
      UseSlot *slot = row_slot (row, now_us);

      slot->n_used -= slot->n_used < n_units ? slot->n_used : n_units;
    }
  n_uncharged = row->n_charged < n_units ? row->n_charged : n_units;
  if (was_used)
    row->n_charged -= n_uncharged;
  units_add (&row->n_returned, was_used ? n_units - n_uncharged : n_units);
  row_report_by (row, now_us + LEASE_US);
}

/* Fills an ask without units that is due, and names the instance that it is for. Returns false when
 * none is due. */
bool
mf_quota_asker_next_report (MfQuotaAsker *asker, uint64_t now_us, MfQuotaAsk *ask,
                            uint64_t *allocator)
{
  for (uint32_t i = 0; i < asker->n_rows; i++)
    {
      AskerRow *row = &asker->rows[i];

      if (row->report_us == 0 || now_us < row->report_us)
        continue;
      row_expire_lease (row, now_us);
      row->report_us = 0;
      if (!row->was_asked || row->n_charged + row->n_returned == 0)
        continue;
      row_fill_ask (row, row->allocator, now_us, ask);
      *allocator = row->allocator;
      return true;
    }
  return false;
}

/* Whether mf_quota_asker_next_report will return an ask some time. */
bool
mf_quota_asker_has_reports (const MfQuotaAsker *asker)
{
  for (uint32_t i = 0; i < asker->n_rows; i++)
    {
      if (asker->rows[i].report_us > 0)
        return true;
    }
  return false;
}
