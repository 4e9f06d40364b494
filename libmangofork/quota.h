#ifndef MF_QUOTA_H
#define MF_QUOTA_H

#include "rate.h"

/* Quotas of customers over all instances. One instance, the allocator of a customer, keeps its
 * token bucket; the others ask it and hold leases of units. Answers loads up to some hundred asks a
 * second of each customer. */

/* A higher rate or burst counts as this. */
#define MF_QUOTA_UNITS_MAX UINT64_C (10000000)

/* Units of each kind in one ask; more count as this. */
#define MF_QUOTA_ASK_UNITS_MAX UINT64_C (1000000000)

/* What the settings permit above the limits, in any window. */
typedef struct
{
  uint64_t window_us;
  double overage; /* as a part of the limit */
  uint64_t slack; /* units */
} MfQuotaBounds;

typedef struct
{
  uint64_t per_s; /* 0: no limit */
  uint64_t burst;
} MfQuotaLimit;

/* What an allocator sees of the instances. */
typedef struct
{
  uint32_t n_alive;
  uint32_t n_known;
} MfQuotaView;

/* What an instance asks of an allocator. */
typedef struct
{
  uint64_t key;        /* hash of the customer's name */
  uint32_t n_units;    /* asked for; 0: none, no answer is needed */
  uint32_t n_charged;  /* used without a grant of this allocator */
  uint32_t n_returned; /* granted and not used */
  uint32_t n_wanted;   /* the largest lease that is of use */
  uint32_t n_denied;   /* units denied by the instance itself since its last ask */
  MfQuotaLimit limit;  /* as the instance knows it */
} MfQuotaAsk;

typedef struct
{
  bool granted;
  bool redirected;    /* this instance does not allocate: the asking one uses its local bucket */
  uint64_t wait_us;   /* denied: until the bucket can admit the request */
  uint64_t spread_us; /* denied: callers are to return within this time after the wait */
  uint32_t n_leased;  /* granted: units that may be used beyond those asked for */
} MfQuotaGrant;

/* The quotas that one instance allocates to all. */
typedef struct MfQuotas MfQuotas;

MfQuotas *mf_quotas_new (void);
void mf_quotas_free (MfQuotas *quotas);
MfQuotaGrant mf_quotas_ask (MfQuotas *quotas, const MfQuotaAsk *ask, const MfQuotaLimit *limit,
                            const MfQuotaBounds *bounds, MfQuotaView view, uint64_t now_us);
bool mf_quotas_next_change (MfQuotas *quotas, uint64_t now_us, uint64_t *key, bool *is_limited);
bool mf_quotas_any_limited (const MfQuotas *quotas);

/* The asking side of one instance. */
typedef struct MfQuotaAsker MfQuotaAsker;

typedef enum
{
  MF_QUOTA_ADMIT,
  MF_QUOTA_DENY,
  MF_QUOTA_ASK,   /* the allocator */
  MF_QUOTA_LOCAL, /* the allocator does not answer: mf_quota_asker_local decides */
} MfQuotaStep;

/* A request that is to be admitted. */
typedef struct
{
  uint64_t key;
  uint32_t n_units;
  MfQuotaLimit limit;
  uint64_t allocator;   /* identifies the instance */
  uint32_t n_instances; /* known ones */
  uint32_t random;      /* uniform */
  bool wants_lease;
} MfQuotaRequest;

MfQuotaAsker *mf_quota_asker_new (void);
void mf_quota_asker_free (MfQuotaAsker *asker);
MfQuotaStep mf_quota_asker_begin (MfQuotaAsker *asker, const MfQuotaRequest *request,
                                  uint64_t now_us, MfQuotaAsk *ask, uint64_t *retry_us);
bool mf_quota_asker_handle_grant (MfQuotaAsker *asker, const MfQuotaRequest *request,
                                  const MfQuotaGrant *grant, uint64_t now_us, uint64_t *retry_us);
bool mf_quota_asker_local (MfQuotaAsker *asker, const MfQuotaRequest *request, uint64_t now_us,
                           uint64_t *retry_us);
void mf_quota_asker_note_unanswered (MfQuotaAsker *asker, uint64_t key, uint64_t allocator,
                                     uint64_t now_us);
void mf_quota_asker_return (MfQuotaAsker *asker, uint64_t key, uint32_t n_units, bool was_used,
                            uint64_t now_us);
bool mf_quota_asker_next_report (MfQuotaAsker *asker, uint64_t now_us, MfQuotaAsk *ask,
                                 uint64_t *allocator);
bool mf_quota_asker_has_reports (const MfQuotaAsker *asker);

#endif
