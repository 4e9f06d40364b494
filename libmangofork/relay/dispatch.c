#include "dispatch.h"

#include "libmangofork/fair.h"
#include "libmangofork/rate_share.h"

#include <stdlib.h>
#include <string.h>

/* A grant that does not show in the load report of its requester within this time counts as lost: a
 * few round trips and iterations of its event loop. */
#define PENDING_GRANT_MAX_US (500 * MF_US_PER_MS)
/* A run ends when it has found this many services without a free slot. */
#define FULL_SERVICES_MAX 16

/* A request whose KV use exceeds 1/OVERSIZED_DIVISOR of the capacity of an engine does not block
 * those behind it. */
#define OVERSIZED_DIVISOR 2
/* Services with fair queueing of their own, at most: as many as an instance leads. Further ones
 * share the last. */
#define QUEUES_MAX MF_LOAD_VOTES_MAX

/* The fair queueing of one service. */
typedef struct
{
  char service[MF_NAME_BYTES];
  MfFair *fair;
} ServiceQueue;

typedef struct WaitingRequest WaitingRequest;
struct WaitingRequest
{
  WaitingRequest *next;
  uint64_t requester;
  MfSlotRequest request;
  uint64_t arrived_us;     /* arrival of the caller's request, by the clock of this instance */
  uint64_t skipped_run_us; /* time of the last run in which no engine had capacity for it */
  MfFair *fair;            /* of its service */
  uint32_t flow;           /* of its customer in fair */
  uint64_t queued_us;
  bool is_counted; /* as one that waits */
};

/* A grant to another instance that is not included in its load reports yet. */
typedef struct PendingGrant PendingGrant;
struct PendingGrant
{
  PendingGrant *next; /* in the order of the grants */
  uint64_t requester;
  MfGrant grant;
  uint64_t prompt_tokens;
  uint64_t kv_tokens;
  uint64_t granted_us;
};

struct MfDispatch
{
  MfTargets *targets;
  const MfDispatchCallbacks *callbacks;
  void *data;
  WaitingRequest *waiting;
  uint32_t n_waiting;
  PendingGrant *pending;
  uint32_t next_tie_break;
  uint64_t now_us; /* of the last request or run */
  ServiceQueue queues[QUEUES_MAX];
  uint32_t n_queues;
  MfDispatchCustomer customers[MF_DISPATCH_CUSTOMERS_MAX];
  uint32_t n_customers;
};

/* The targets, the callbacks and their data are borrowed. Returns NULL when out of memory. */
MfDispatch *
mf_dispatch_new (MfTargets *targets, const MfDispatchCallbacks *callbacks, void *data)
{
  MfDispatch *dispatch = calloc (1, sizeof *dispatch);

  if (dispatch == NULL)
    return NULL;
  *dispatch = (MfDispatch){ .targets = targets, .callbacks = callbacks, .data = data };
  return dispatch;
}

/* Drops all requests and grants. Accepts NULL. */
void
mf_dispatch_free (MfDispatch *dispatch)
{
  if (dispatch == NULL)
    return;
  while (dispatch->waiting != NULL)
    mf_dispatch_drop_requester (dispatch, dispatch->waiting->requester);
  while (dispatch->pending != NULL)
    mf_dispatch_drop_requester (dispatch, dispatch->pending->requester);
  for (uint32_t i = 0; i < dispatch->n_queues; i++)
    mf_fair_free (dispatch->queues[i].fair);
  free (dispatch);
}

/* Returns the fair queueing of a service, or NULL when out of memory. */
static MfFair *
service_fair (MfDispatch *dispatch, const char *service)
{
  ServiceQueue *queue;

  for (uint32_t i = 0; i < dispatch->n_queues; i++)
    {
      if (strcmp (dispatch->queues[i].service, service) == 0)
        return dispatch->queues[i].fair;
    }
  if (dispatch->n_queues == QUEUES_MAX)
    return dispatch->queues[QUEUES_MAX - 1].fair;
  queue = &dispatch->queues[dispatch->n_queues];
  queue->fair = mf_fair_new ();
  if (queue->fair == NULL)
    return NULL;
  mf_name_set (queue->service, sizeof queue->service, service);
  dispatch->n_queues++;
  return queue->fair;
}

/* Returns the counters of a request's customer, or NULL as long as no request has had a customer.
 */
static MfDispatchCustomer *
customer_counters (MfDispatch *dispatch, uint64_t customer)
{
  for (uint32_t i = 0; i < dispatch->n_customers; i++)
    {
      if (dispatch->customers[i].customer == customer)
        return &dispatch->customers[i];
    }
  if (customer == 0 && dispatch->n_customers == 0)
    return NULL;
  if (dispatch->n_customers == MF_DISPATCH_CUSTOMERS_MAX)
    return &dispatch->customers[MF_DISPATCH_CUSTOMERS_MAX - 1];
  if (dispatch->n_customers == MF_DISPATCH_CUSTOMERS_MAX - 1)
    customer = MF_DISPATCH_OTHER_CUSTOMERS;
  dispatch->customers[dispatch->n_customers] = (MfDispatchCustomer){ .customer = customer };
  return &dispatch->customers[dispatch->n_customers++];
}

static void
waiting_remove (MfDispatch *dispatch, WaitingRequest **link)
{
  WaitingRequest *waiting = *link;

  *link = waiting->next;
  dispatch->n_waiting--;
  free (waiting);
}

/* Returns the link to a queued request, or NULL. */
static WaitingRequest **
waiting_find (MfDispatch *dispatch, uint64_t requester, uint64_t id)
{
  for (WaitingRequest **link = &dispatch->waiting; *link != NULL; link = &(*link)->next)
    {
      if ((*link)->requester == requester && (*link)->request.id == id)
        return link;
    }
  return NULL;
}

/* Queues a request; slots are granted only by mf_dispatch_run. */
void
mf_dispatch_enqueue (MfDispatch *dispatch, uint64_t requester, const MfSlotRequest *request,
                     uint64_t now_us)
{
  WaitingRequest **known = waiting_find (dispatch, requester, request->id);
  WaitingRequest *waiting = calloc (1, sizeof *waiting);
  MfFair *fair = service_fair (dispatch, request->service);

  dispatch->now_us = now_us;
  if (known != NULL)
    {
      mf_fair_leave ((*known)->fair, (*known)->flow);
      waiting_remove (dispatch, known);
    }
  if (waiting == NULL || fair == NULL)
    {
      free (waiting);
      return;
    }
  waiting->fair = fair;
  waiting->flow = mf_fair_start (fair, request->customer, request->priority, now_us);
  waiting->queued_us = now_us;
  waiting->requester = requester;
  waiting->request = *request;
  waiting->arrived_us = now_us > request->age_us ? now_us - request->age_us : 0;
  waiting->next = dispatch->waiting;
  dispatch->waiting = waiting;
  dispatch->n_waiting++;
}

/* Number of queued requests of a service. */
static uint32_t
service_n_waiting (const MfDispatch *dispatch, const char *service)
{
  uint32_t n_waiting = 0;

  for (const WaitingRequest *waiting = dispatch->waiting; waiting != NULL; waiting = waiting->next)
    n_waiting += strcmp (waiting->request.service, service) == 0;
  return n_waiting;
}

/* Whether a request could be granted a slot in time if it was queued now. It cannot if the rate
 * limits of all decode engines together admit too few: the queue is then longer than its time.
 * wait_us is set to the time that the queue takes; 0 when it is not known. */
bool
mf_dispatch_can_serve (const MfDispatch *dispatch, const MfSlotRequest *request, uint64_t *wait_us)
{
  uint64_t micro_per_s = 0;

  *wait_us = 0;
  for (const MfTarget *target = dispatch->targets->first; target != NULL; target = target->next)
    {
      if (target->info.role != MF_ROLE_DECODE || mf_target_has_left (target)
          || (request->version != 0 && target->version != request->version)
          || strcmp (target->info.service, request->service) != 0)
        continue;
      if (!mf_target_is_limited (target))
        return true;
      micro_per_s += mf_rate_effective (target->limit.micro_per_s);
    }
  if (micro_per_s == 0)
    return true;
  *wait_us
      = service_n_waiting (dispatch, request->service) * MF_RATE_MICRO * MF_US_PER_S / micro_per_s;
  return request->age_us + *wait_us <= request->max_age_us;
}

/* Removes a request of a requester if it is still queued. */
void
mf_dispatch_cancel (MfDispatch *dispatch, uint64_t requester, uint64_t id)
{
  WaitingRequest **link = waiting_find (dispatch, requester, id);

  if (link == NULL)
    return;
  mf_fair_fail ((*link)->fair, (*link)->flow, dispatch->now_us);
  waiting_remove (dispatch, link);
}

/* Removes the requests of a requester whose connection was lost, and the grants to it. */
void
mf_dispatch_drop_requester (MfDispatch *dispatch, uint64_t requester)
{
  WaitingRequest **waiting = &dispatch->waiting;
  PendingGrant **pending = &dispatch->pending;

  while (*waiting != NULL)
    {
      if ((*waiting)->requester != requester)
        {
          waiting = &(*waiting)->next;
          continue;
        }
      mf_fair_leave ((*waiting)->fair, (*waiting)->flow);
      waiting_remove (dispatch, waiting);
    }
  while (*pending != NULL)
    {
      PendingGrant *dropped = *pending;

      if (dropped->requester != requester)
        {
          pending = &dropped->next;
          continue;
        }
      *pending = dropped->next;
      free (dropped);
    }
}

/* The load report of the requester includes this grant and all earlier ones. */
void
mf_dispatch_ack_grants (MfDispatch *dispatch, uint64_t requester, uint64_t id)
{
  bool known = false;
  PendingGrant **link = &dispatch->pending;

  for (const PendingGrant *pending = dispatch->pending; pending != NULL && !known;
       pending = pending->next)
    known = pending->requester == requester && pending->grant.id == id;
  while (known && *link != NULL)
    {
      PendingGrant *pending = *link;

      if (pending->requester != requester)
        {
          link = &pending->next;
          continue;
        }
      known = pending->grant.id != id;
      *link = pending->next;
      free (pending);
    }
}

/* Adds the load of a pending grant to its engines. */
static void
pending_add_load (const MfDispatch *dispatch, const PendingGrant *pending)
{
  mf_load_add_remote (dispatch->targets,
                      &(MfLoadEntry){ .upstream = pending->grant.decode,
                                      .n_active = 1,
                                      .tokens = (uint32_t)pending->kv_tokens },
                      pending->granted_us);
  mf_load_add_remote (dispatch->targets,
                      &(MfLoadEntry){ .upstream = pending->grant.prefill,
                                      .n_active = 1,
                                      .tokens = (uint32_t)pending->prompt_tokens },
                      pending->granted_us);
}

/* Adds the load of pending grants to the targets; to be called after mf_load_reset_remote. */
void
mf_dispatch_add_pending (const MfDispatch *dispatch, uint64_t now_us)
{
  for (const PendingGrant *pending = dispatch->pending; pending != NULL; pending = pending->next)
    {
      if (now_us - pending->granted_us <= PENDING_GRANT_MAX_US)
        pending_add_load (dispatch, pending);
    }
}

/* Removes grants that count as lost. */
static void
pending_expire (MfDispatch *dispatch, uint64_t now_us)
{
  PendingGrant **link = &dispatch->pending;

  while (*link != NULL)
    {
      PendingGrant *pending = *link;

      if (now_us - pending->granted_us <= PENDING_GRANT_MAX_US)
        {
          link = &pending->next;
          continue;
        }
      *link = pending->next;
      free (pending);
    }
}

static MfPlaceQuery
place_query (MfDispatch *dispatch, const MfSlotRequest *request, const MfRouteService *config,
             MfRole role)
{
  MfPlaceQuery query = {
    .service = request->service,
    .role = role,
    .version = request->version,
    .tokens = role == MF_ROLE_PREFILL ? request->prompt_tokens : request->kv_tokens,
    .service_config = config,
    .n_avoid = request->n_avoid,
    .data_centre = request->data_centre,
    .spillover = dispatch->targets->spillover,
    .must_fit = role == MF_ROLE_DECODE,
    .is_grant = true,
    .max_wait_us = MF_DISPATCH_RATE_WAIT_US,
    .tie_break = dispatch->next_tie_break++,
  };

  memcpy (query.avoid, request->avoid, sizeof query.avoid);
  return query;
}

/* Order of requests of one customer: first those whose prompt is prefilled, because an engine keeps
 * its KV only for a moment; then streams that have begun, which only the engines of one version can
 * go on with; then those that can still meet their objective; then the older one. */
static bool
is_served_before (const WaitingRequest *one, const WaitingRequest *other, uint64_t now_us)
{
  bool one_late = now_us > one->arrived_us + one->request.objective_us;
  bool other_late = now_us > other->arrived_us + other->request.objective_us;

  if (one->request.is_prefilled != other->request.is_prefilled)
    return one->request.is_prefilled;
  if ((one->request.version != 0) != (other->request.version != 0))
    return one->request.version != 0;
  if (one_late != other_late)
    return other_late;
  return one->arrived_us < other->arrived_us;
}

/* What has been found to have no free slot in one run. */
typedef struct
{
  char services[FULL_SERVICES_MAX][MF_NAME_BYTES];
  uint32_t n_services;
  /* Versions for whose slots streams wait that have begun there. */
  uint64_t versions[MF_PLACE_KEPT_VERSIONS_MAX];
  uint32_t n_versions;
} FullServices;

static bool
is_full (const FullServices *full, const char *service)
{
  for (uint32_t i = 0; i < full->n_services; i++)
    {
      if (strcmp (full->services[i], service) == 0)
        return true;
    }
  return false;
}

static WaitingRequest **
waiting_next (MfDispatch *dispatch, const FullServices *full, uint64_t now_us)
{
  WaitingRequest **best = NULL;
  MfFairRank best_rank = { 0 };

  for (WaitingRequest **link = &dispatch->waiting; *link != NULL; link = &(*link)->next)
    {
      WaitingRequest *waiting = *link;
      MfFairRank rank;
      int order;

      if (waiting->skipped_run_us == now_us || is_full (full, waiting->request.service))
        continue;
      rank = mf_fair_rank (waiting->fair, waiting->flow);
      order = best == NULL ? -1 : mf_fair_compare (&rank, &best_rank);
      if (order > 0 || (order == 0 && !is_served_before (waiting, *best, now_us)))
        continue;
      best = link;
      best_rank = rank;
    }
  return best;
}

/* Chooses the engines for a request. Returns false when no engine has capacity. */
static bool
choose_engines (MfDispatch *dispatch, const MfSlotRequest *request, const FullServices *full,
                MfGrant *grant, uint64_t now_us)
{
  const MfRouteService *config
      = dispatch->callbacks->service_config (dispatch->data, request->service);
  MfPlaceQuery query;
  MfTarget *decode;
  MfTarget *prefill;
  bool any_available = false;

  if (config == NULL)
    return false;
  query = place_query (dispatch, request, config, MF_ROLE_DECODE);
  memcpy (query.kept_versions, full->versions, sizeof query.kept_versions);
  query.n_kept_versions = full->n_versions;
  decode = mf_place_choose (dispatch->targets, &query, now_us, &any_available);
  /* No slot is granted at an engine that could not be reached. */
  if (decode == NULL || mf_target_is_suspect (decode, now_us))
    return false;
  *grant = (MfGrant){ .id = request->id, .decode = decode->id_hash };
  if (request->is_prefilled)
    return true;
  query = place_query (dispatch, request, config, MF_ROLE_PREFILL);
  query.decode_data_centre = decode->info.data_centre;
  prefill = mf_place_choose (dispatch->targets, &query, now_us, &any_available);
  if (prefill != NULL && !mf_target_is_suspect (prefill, now_us))
    grant->prefill = prefill->id_hash;
  return true;
}

/* Whether a request needs so much KV that it must not block the others. */
static bool
is_oversized (const MfDispatch *dispatch, const MfSlotRequest *request)
{
  const MfRouteService *config
      = dispatch->callbacks->service_config (dispatch->data, request->service);

  return config != NULL && config->kv_capacity_tokens > 0
         && request->kv_tokens * OVERSIZED_DIVISOR > config->kv_capacity_tokens;
}

/* Cost of a request in fair queueing: its KV tokens, or the part of the KV capacity that belongs to
 * a slot if that is more, as an engine is also full when its slots are. */
static uint64_t
request_cost (const MfDispatch *dispatch, const MfSlotRequest *request)
{
  const MfRouteService *config
      = dispatch->callbacks->service_config (dispatch->data, request->service);
  uint64_t slot_tokens = 1;

  if (config != NULL && config->engine_slots > 0
      && config->kv_capacity_tokens > config->engine_slots)
    slot_tokens = config->kv_capacity_tokens / config->engine_slots;
  return request->kv_tokens > slot_tokens ? request->kv_tokens : slot_tokens;
}

/* Whether a request is bound to a version whose engines it could use if they had capacity. Other
 * requests, which may need less, must not take up what becomes free there. */
static bool
waits_for_version (MfDispatch *dispatch, const MfSlotRequest *request, uint64_t now_us)
{
  const MfRouteService *config
      = dispatch->callbacks->service_config (dispatch->data, request->service);
  MfPlaceQuery query;
  const MfTarget *decode;
  bool any_available = false;

  if (request->version == 0 || config == NULL || is_oversized (dispatch, request))
    return false;
  query = place_query (dispatch, request, config, MF_ROLE_DECODE);
  query.must_fit = false;
  decode = mf_place_choose (dispatch->targets, &query, now_us, &any_available);
  return decode != NULL && !mf_target_is_suspect (decode, now_us);
}

/* Records a grant to another instance; grants to this one show in its load at once. */
static void
pending_add (MfDispatch *dispatch, const WaitingRequest *waiting, const MfGrant *grant,
             uint64_t now_us)
{
  PendingGrant **link = &dispatch->pending;
  PendingGrant *pending;

  if (waiting->requester == MF_DISPATCH_SELF || (pending = calloc (1, sizeof *pending)) == NULL)
    return;
  *pending = (PendingGrant){
    .requester = waiting->requester,
    .grant = *grant,
    .prompt_tokens = waiting->request.prompt_tokens,
    .kv_tokens = waiting->request.kv_tokens,
    .granted_us = now_us,
  };
  while (*link != NULL)
    link = &(*link)->next;
  *link = pending;
  pending_add_load (dispatch, pending);
}

/* Grants no further slot at an engine with a rate limit until that admits one more request. */
static void
engine_pace (const MfDispatch *dispatch, uint64_t id_hash, uint64_t now_us)
{
  MfTarget *target = mf_targets_by_hash (dispatch->targets, id_hash);
  uint64_t from_us;

  if (target == NULL || !mf_target_is_limited (target))
    return;
  from_us = target->dispatch_after_us > now_us ? target->dispatch_after_us : now_us;
  target->dispatch_after_us
      = from_us + MF_RATE_MICRO * MF_US_PER_S / mf_rate_effective (target->limit.micro_per_s);
}

static void
customers_note_grant (MfDispatch *dispatch, const WaitingRequest *waiting, uint64_t now_us)
{
  MfDispatchCustomer *counters = customer_counters (dispatch, waiting->request.customer);

  if (counters == NULL)
    return;
  counters->n_granted++;
  counters->waited_us += now_us - waiting->queued_us;
}

/* Counts the requests that were queued since the last run and have got no slot. The list begins
 * with the latest. */
static void
customers_note_waits (MfDispatch *dispatch)
{
  for (WaitingRequest *waiting = dispatch->waiting; waiting != NULL && !waiting->is_counted;
       waiting = waiting->next)
    {
      MfDispatchCustomer *counters = customer_counters (dispatch, waiting->request.customer);

      waiting->is_counted = true;
      if (counters != NULL)
        counters->n_waited++;
    }
}

/* Returns the counters of customers, and their number: none as long as no request has had a
 * customer. */
const MfDispatchCustomer *
mf_dispatch_customers (const MfDispatch *dispatch, uint32_t *n_customers)
{
  *n_customers = dispatch->n_customers;
  return dispatch->customers;
}

/* Grants the slots that are free. Returns the number of requests still queued. */
uint32_t
mf_dispatch_run (MfDispatch *dispatch, uint64_t now_us)
{
  FullServices full = { 0 };
  WaitingRequest **link;

  dispatch->now_us = now_us;
  pending_expire (dispatch, now_us);
  while (full.n_services < FULL_SERVICES_MAX
         && (link = waiting_next (dispatch, &full, now_us)) != NULL)
    {
      WaitingRequest *waiting = *link;
      uint64_t requester = waiting->requester;
      MfGrant grant;

      if (now_us > waiting->arrived_us + waiting->request.max_age_us)
        {
          mf_fair_fail (waiting->fair, waiting->flow, now_us);
          waiting_remove (dispatch, link);
          continue;
        }
      if (!choose_engines (dispatch, &waiting->request, &full, &grant, now_us))
        {
          waiting->skipped_run_us = now_us;
          if (full.n_versions < MF_PLACE_KEPT_VERSIONS_MAX
              && waits_for_version (dispatch, &waiting->request, now_us))
            full.versions[full.n_versions++] = waiting->request.version;
          /* Engines that this request cannot use may have capacity for others. */
          if (waiting->request.n_avoid > 0 || waiting->request.version != 0
              || is_oversized (dispatch, &waiting->request))
            continue;
          memcpy (full.services[full.n_services++], waiting->request.service, MF_NAME_BYTES);
          continue;
        }
      engine_pace (dispatch, grant.decode, now_us);
      engine_pace (dispatch, grant.prefill, now_us);
      pending_add (dispatch, waiting, &grant, now_us);
      mf_fair_finish (waiting->fair, waiting->flow, request_cost (dispatch, &waiting->request),
                      now_us);
      customers_note_grant (dispatch, waiting, now_us);
      waiting_remove (dispatch, link);
      dispatch->callbacks->grant (dispatch->data, requester, &grant);
    }
  customers_note_waits (dispatch);
  return dispatch->n_waiting;
}

/* Whether a request of a requester is queued. */
bool
mf_dispatch_is_waiting (const MfDispatch *dispatch, uint64_t requester, uint64_t id)
{
  for (const WaitingRequest *waiting = dispatch->waiting; waiting != NULL; waiting = waiting->next)
    {
      if (waiting->requester == requester && waiting->request.id == id)
        return true;
    }
  return false;
}

/* Whether the requests of its customer that go before a request leave it a slot in time, at the
 * rate at which the customer was granted slots lately. */
static bool
fits_rate (MfDispatch *dispatch, const MfSlotRequest *request, uint64_t now_us, uint64_t *wait_us)
{
  WaitingRequest candidate = { .request = *request };
  MfFair *fair = service_fair (dispatch, request->service);
  uint32_t flow
      = fair == NULL ? MF_NONE : mf_fair_find (fair, request->customer, request->priority);
  uint64_t left_us
      = request->max_age_us > request->age_us ? request->max_age_us - request->age_us : 0;
  uint32_t n_before = 0;

  if (flow == MF_NONE)
    return true;
  candidate.arrived_us = now_us > request->age_us ? now_us - request->age_us : 0;
  for (const WaitingRequest *waiting = dispatch->waiting; waiting != NULL; waiting = waiting->next)
    n_before += waiting->fair == fair && waiting->flow == flow
                && is_served_before (waiting, &candidate, now_us);
  return mf_fair_can_serve (fair, flow, n_before, left_us, now_us, wait_us);
}

/* Whether a request is to be queued. Otherwise no slot can be granted to it in time, it counts as
 * refused, and wait_us is set to the time that the queue takes; 0 when it is not known. Without a
 * customer and a priority, only rate limits of engines are a reason. */
bool
mf_dispatch_admit (MfDispatch *dispatch, const MfSlotRequest *request, uint64_t now_us,
                   uint64_t *wait_us)
{
  MfDispatchCustomer *counters;
  MfFair *fair;

  if (mf_dispatch_can_serve (dispatch, request, wait_us)
      && ((request->customer == 0 && request->priority == 0)
          || fits_rate (dispatch, request, now_us, wait_us)))
    return true;
  counters = customer_counters (dispatch, request->customer);
  if (counters != NULL)
    counters->n_refused++;
  fair = service_fair (dispatch, request->service);
  if (fair != NULL)
    mf_fair_refuse (fair, request->customer, request->priority, now_us);
  return false;
}

/* Returns the number of queued requests. */
uint32_t
mf_dispatch_n_waiting (const MfDispatch *dispatch)
{
  return dispatch->n_waiting;
}
