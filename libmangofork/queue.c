#include "queue.h"

#include "policy.h"
#include "share.h"

#include <stdlib.h>

/* One placement in this many goes to a request that has missed its first-token target, so that late
 * requests do not starve. */
#define LATE_ONE_IN 32
/* Placements in one step over all services, at most. */
#define PLACEMENTS_PER_STEP_MAX 64
/* Requeued requests that are tried for one placement, at most. */
#define REQUEUED_TRIES_MAX 4
/* A service is starved once its oldest request has waited 1/STARVED_DIVISOR of the time from its
 * arrival to its deadline. It is then served before more urgent classes. */
#define STARVED_DIVISOR 2
/* Only one time in this many, so that urgent classes keep most of the capacity. */
#define STARVED_ONE_IN 16
#define WANT_PERIOD_US (100 * MF_US_PER_MS)
#define RETRY_AFTER_MIN_MS 200
#define RETRY_AFTER_MAX_MS 60000
/* Upper bound of one sample of the time between two placements. */
#define DRAIN_GAP_MAX_US MF_US_PER_S

/* The queued requests of one customer for one service, oldest first. */
typedef struct CustomerQueue
{
  MfHeapNode node; /* first member; at_us is the queue's virtual time */
  uint64_t key[2]; /* service, customer */
  MfRequest *head;
  MfRequest *tail;
  uint32_t n_requests;
  UT_hash_handle hh;
} CustomerQueue;

typedef struct
{
  MfRequest *head;
  MfRequest *tail;
  uint32_t n_requests;
} RequestList;

typedef enum
{
  TIER_ON_TIME,  /* may still meet its first-token target */
  TIER_REQUEUED, /* an earlier attempt failed */
  TIER_LATE,     /* can no longer meet its first-token target */
} Tier;

typedef struct
{
  MfHeap by_virtual_time; /* customer queues with requests, lowest virtual time first */
  uint64_t virtual_time;  /* of the customer queue served last */
  RequestList requeued;
  RequestList late;
  uint32_t n_on_time; /* requests in all customer queues */
  uint32_t n_placements;
} ServiceQueue;

struct MfQueue
{
  ServiceQueue *services;
  uint32_t n_services;
  CustomerQueue *customer_queues;
  uint32_t n_requests;
  RequestList transfers; /* requests whose KV waits for a decode engine, oldest first */
  bool pass_due;         /* a placement pass is due at the end of this step */
  uint32_t n_starved_checks;
  uint64_t want_us;
};

static void
list_push (RequestList *list, MfRequest *request)
{
  request->next = NULL;
  request->prev = list->tail;
  if (list->tail != NULL)
    list->tail->next = request;
  else
    list->head = request;
  list->tail = request;
  list->n_requests++;
}

static void
list_remove (RequestList *list, MfRequest *request)
{
  if (request->prev != NULL)
    request->prev->next = request->next;
  else
    list->head = request->next;
  if (request->next != NULL)
    request->next->prev = request->prev;
  else
    list->tail = request->prev;
  request->prev = request->next = NULL;
  list->n_requests--;
}

static ServiceQueue *
service_queue (MfCore *core, uint32_t service)
{
  MfQueue *queue = core->board.queue;

  if (service >= queue->n_services)
    {
      uint32_t n = core->board.services.n_rows;
      ServiceQueue *services = realloc (queue->services, n * sizeof *services);

      if (services == NULL)
        abort ();
      for (uint32_t i = queue->n_services; i < n; i++)
        services[i] = (ServiceQueue){ 0 };
      queue->services = services;
      queue->n_services = n;
    }
  return &queue->services[service];
}

static CustomerQueue *
customer_queue_get (MfCore *core, const MfRequest *request)
{
  uint64_t key[2] = { request->service, request->customer };
  CustomerQueue *customer_queue;

  HASH_FIND (hh, core->board.queue->customer_queues, key, sizeof key, customer_queue);
  if (customer_queue != NULL)
    return customer_queue;
  customer_queue = calloc (1, sizeof *customer_queue);
  if (customer_queue == NULL)
    abort ();
  customer_queue->node.position = MF_HEAP_NO_POSITION;
  customer_queue->key[0] = key[0];
  customer_queue->key[1] = key[1];
  HASH_ADD (hh, core->board.queue->customer_queues, key, sizeof customer_queue->key,
            customer_queue);
  return customer_queue;
}

static uint32_t
customer_weight (const MfCore *core, const MfRequest *request)
{
  uint32_t share = request->customer == MF_NONE
                       ? 1
                       : core->board.services.customers[request->customer].config.share;

  return share > 0 ? share : 1;
}

/* Returns the estimated work of a request in prompt tokens, divided by the customer's weight. An
 * output token counts as 16 prompt tokens, and every request as 1000 more. */
static uint64_t
request_cost (const MfCore *core, const MfRequest *request)
{
  uint64_t output = mf_service_output_tokens (mf_request_service (core, request));

  return (1000 + request->prompt_tokens + output * 16) / customer_weight (core, request);
}

static void
customer_queue_push (MfCore *core, ServiceQueue *queue, MfRequest *request)
{
  CustomerQueue *customer_queue = customer_queue_get (core, request);
  RequestList list = { .head = customer_queue->head, .tail = customer_queue->tail };

  list_push (&list, request);
  customer_queue->head = list.head;
  customer_queue->tail = list.tail;
  customer_queue->n_requests++;
  request->customer_queue = customer_queue;
  queue->n_on_time++;
  if (customer_queue->node.position == MF_HEAP_NO_POSITION)
    mf_heap_set (&queue->by_virtual_time, &customer_queue->node,
                 customer_queue->node.at_us > queue->virtual_time ? customer_queue->node.at_us
                                                                  : queue->virtual_time);
}

static void
customer_queue_remove (ServiceQueue *queue, MfRequest *request)
{
  CustomerQueue *customer_queue = request->customer_queue;
  RequestList list = { .head = customer_queue->head, .tail = customer_queue->tail };

  list_remove (&list, request);
  customer_queue->head = list.head;
  customer_queue->tail = list.tail;
  customer_queue->n_requests--;
  request->customer_queue = NULL;
  queue->n_on_time--;
  if (customer_queue->n_requests == 0)
    mf_heap_remove (&queue->by_virtual_time, &customer_queue->node);
}

void
mf_queue_schedule_pass (MfCore *core)
{
  core->board.queue->pass_due = true;
}

uint32_t
mf_queue_length (const MfCore *core)
{
  return core->board.queue->n_requests;
}

uint32_t
mf_queue_service_length (const MfCore *core, uint32_t service)
{
  const MfQueue *queue = core->board.queue;

  if (service >= queue->n_services)
    return 0;
  return queue->services[service].n_on_time + queue->services[service].late.n_requests
         + queue->services[service].requeued.n_requests;
}

/* Estimates the wait of a request behind n others from the rate at which the queue drains. */
static uint64_t
expected_wait_us (const MfCore *core, uint32_t service, uint32_t n)
{
  return core->board.services.rows[service].placement_gap_us * n;
}

/* Returns after what time a refused caller should retry: when the requests queued now are expected
 * to be placed. */
uint64_t
mf_queue_retry_after_ms (const MfCore *core, uint32_t service)
{
  uint64_t ms
      = expected_wait_us (core, service, mf_queue_service_length (core, service)) / MF_US_PER_MS;

  if (ms < RETRY_AFTER_MIN_MS)
    return RETRY_AFTER_MIN_MS;
  return ms < RETRY_AFTER_MAX_MS ? ms : RETRY_AFTER_MAX_MS;
}

/* Returns the latest time of a placement that still meets the first-token target; 0 if none
 * does. */
static uint64_t
latest_start_us (const MfCore *core, const MfRequest *request)
{
  uint64_t target_us = mf_request_service (core, request)->config.ttft_target_us;
  uint64_t needed_us = mf_policy (core)->unloaded_us (core, request);

  if (target_us <= needed_us)
    return 0;
  return request->arrived_us + target_us - needed_us;
}

static void
insert (MfCore *core, MfRequest *request, Tier tier)
{
  ServiceQueue *queue = service_queue (core, request->service);

  request->tier = (uint8_t)tier;
  request->queued = true;
  core->board.queue->n_requests++;
  if (tier == TIER_ON_TIME)
    customer_queue_push (core, queue, request);
  else
    list_push (tier == TIER_REQUEUED ? &queue->requeued : &queue->late, request);
  mf_queue_schedule_pass (core);
}

void
mf_queue_remove (MfCore *core, MfRequest *request)
{
  ServiceQueue *queue = service_queue (core, request->service);

  if (request->tier == TIER_ON_TIME)
    customer_queue_remove (queue, request);
  else
    list_remove (request->tier == TIER_REQUEUED ? &queue->requeued : &queue->late, request);
  request->queued = false;
  core->board.queue->n_requests--;
}

/* Queues a request as late, or refuses it at once if it is not expected to be placed before its
 * deadline. Late requests get one placement in LATE_ONE_IN while others wait. */
static void
insert_late (MfCore *core, MfRequest *request)
{
  const ServiceQueue *queue = service_queue (core, request->service);
  uint64_t late_ratio = queue->n_on_time > 0 ? LATE_ONE_IN : 1;
  uint64_t wait_us
      = expected_wait_us (core, request->service, queue->late.n_requests + 1) * late_ratio;

  if (core->board.now_us + wait_us > request->deadline_us)
    mf_finish_refused (core, request, MF_CODE_QUEUE_FULL,
                       mf_queue_retry_after_ms (core, request->service));
  else
    insert (core, request, TIER_LATE);
}

/* Returns whether the request is expected to be placed too late for its first-token target, if all
 * customers with queued requests are served alike. */
static bool
will_be_late (MfCore *core, const MfRequest *request)
{
  const ServiceQueue *queue = service_queue (core, request->service);
  const CustomerQueue *customer_queue = customer_queue_get (core, request);
  uint64_t n_customers = queue->by_virtual_time.n_nodes > 0 ? queue->by_virtual_time.n_nodes : 1;
  uint64_t wait_us = expected_wait_us (core, request->service,
                                       (uint32_t)(customer_queue->n_requests * n_customers));

  return customer_queue->n_requests > 0
         && core->board.now_us + wait_us > latest_start_us (core, request);
}

void
mf_queue_add (MfCore *core, MfRequest *request)
{
  mf_request_trace (core, request, MF_TRACE_QUEUED, MF_NONE, MF_NONE,
                    mf_queue_service_length (core, request->service));
  if (mf_policy (core)->queues && will_be_late (core, request))
    insert_late (core, request);
  else
    insert (core, request, TIER_ON_TIME);
}

/* A request that has delivered tokens, or can still meet its first-token target, goes before all
 * others. Other requests are queued as late. */
void
mf_queue_requeue (MfCore *core, MfRequest *request)
{
  bool urgent = request->delivered > 0 || !mf_policy (core)->queues
                || latest_start_us (core, request) >= core->board.now_us;

  insert (core, request, urgent ? TIER_REQUEUED : TIER_LATE);
  if (request->not_before_us > core->board.now_us)
    mf_request_check_at (core, request, request->not_before_us);
}

void
mf_queue_add_transfer (MfCore *core, MfRequest *request)
{
  if (request->awaits_decode)
    return;
  request->awaits_decode = true;
  list_push (&core->board.queue->transfers, request);
}

void
mf_queue_remove_transfer (MfCore *core, MfRequest *request)
{
  if (!request->awaits_decode)
    return;
  request->awaits_decode = false;
  list_remove (&core->board.queue->transfers, request);
}

uint64_t
mf_queue_transfer_wait_us (const MfCore *core)
{
  const MfRequest *oldest = core->board.queue->transfers.head;

  return oldest == NULL ? 0 : core->board.now_us - oldest->prefilled_us;
}

/* Sends waiting KVs to decode engines, oldest first, until one finds no capacity. */
static void
place_transfers (MfCore *core)
{
  MfRequest *request = core->board.queue->transfers.head;

  while (request != NULL)
    {
      MfRequest *next = request->next;

      if (!mf_life_try_transfer (core, request))
        return;
      request = next;
    }
}

/* Places one request. Returns false if it is not eligible yet or no upstream has capacity for
 * it. */
static bool
place (MfCore *core, MfRequest *request)
{
  const MfPolicy *policy = mf_policy (core);
  MfPlacement placement = { .prefill = MF_NONE, .decode = MF_NONE };
  uint32_t upstream;

  if (request->suspect_pending || request->not_before_us > core->board.now_us)
    return false;
  if (mf_request_service (core, request)->config.kind == MF_SERVICE_PLAIN)
    {
      upstream = policy->place_plain (core, request);
      if (upstream == MF_NONE)
        return false;
      mf_queue_remove (core, request);
      mf_life_start_plain (core, request, upstream);
      return true;
    }
  if (policy->place_model (core, request, &placement) != MF_PLACE_FOUND)
    return false;
  mf_queue_remove (core, request);
  mf_life_start_model (core, request, &placement);
  return true;
}

/* Updates the drain rate of a service's queue from the time between two placements while requests
 * wait. */
static void
note_drain (MfCore *core, uint32_t service, bool others_wait)
{
  MfServiceRow *row = &core->board.services.rows[service];
  uint64_t gap_us = core->board.now_us - row->last_placement_us;

  if (others_wait && row->last_placement_us > 0)
    {
      if (gap_us > DRAIN_GAP_MAX_US)
        gap_us = DRAIN_GAP_MAX_US;
      row->placement_gap_us += ((int64_t)gap_us - (int64_t)row->placement_gap_us) / 16;
    }
  row->last_placement_us = core->board.now_us;
}

/* Returns the next request that can still meet its first-token target, or NULL. Requests before it
 * that no longer can are moved to the late ones. */
static MfRequest *
first_on_time (MfCore *core, ServiceQueue *queue)
{
  MfHeapNode *node;

  while ((node = mf_heap_first (&queue->by_virtual_time)) != NULL)
    {
      MfRequest *request = ((CustomerQueue *)node)->head;

      if (!mf_policy (core)->queues || latest_start_us (core, request) >= core->board.now_us)
        return request;
      mf_queue_remove (core, request);
      insert_late (core, request);
    }
  return NULL;
}

static bool
place_on_time (MfCore *core, ServiceQueue *queue, MfRequest *request)
{
  CustomerQueue *customer_queue = request->customer_queue;
  uint64_t cost = request_cost (core, request);

  if (!place (core, request))
    return false;
  queue->virtual_time = customer_queue->node.at_us;
  customer_queue->node.at_us += cost;
  if (customer_queue->node.position != MF_HEAP_NO_POSITION)
    mf_heap_set (&queue->by_virtual_time, &customer_queue->node, customer_queue->node.at_us);
  return true;
}

static bool
place_requeued (MfCore *core, ServiceQueue *queue)
{
  MfRequest *request = queue->requeued.head;
  uint32_t n_tries = 0;

  while (request != NULL)
    {
      MfRequest *next = request->next;

      if (place (core, request))
        return true;
      if (++n_tries == REQUEUED_TRIES_MAX)
        return false;
      request = next;
    }
  return false;
}

/* Places the next request of one service. Returns false if none could be placed. */
static bool
place_next (MfCore *core, uint32_t service)
{
  ServiceQueue *queue = service_queue (core, service);
  MfRequest *on_time;
  bool pick_late;
  bool placed;

  if (place_requeued (core, queue))
    return true;
  on_time = first_on_time (core, queue);
  pick_late = ++queue->n_placements % LATE_ONE_IN == 0;
  if (on_time == NULL && queue->late.head != NULL)
    pick_late = pick_late || mf_policy (core)->has_spare_slots (core, queue->late.head);
  if (pick_late && queue->late.head != NULL)
    placed = place (core, queue->late.head);
  else
    placed = on_time != NULL && place_on_time (core, service_queue (core, service), on_time);
  if (placed)
    note_drain (core, service, mf_queue_service_length (core, service) > 0);
  else
    queue->n_placements--;
  return placed;
}

static bool
is_starved (MfCore *core, uint32_t service)
{
  const ServiceQueue *queue = service_queue (core, service);
  const MfHeapNode *node = mf_heap_first (&queue->by_virtual_time);
  const MfRequest *oldest = node != NULL ? ((const CustomerQueue *)node)->head : queue->late.head;

  return oldest != NULL
         && (core->board.now_us - oldest->arrived_us) * STARVED_DIVISOR
                > oldest->deadline_us - oldest->arrived_us;
}

/* Runs a placement pass if one is due: starved services first, then all services by class. */
static void
queue_tick (MfCore *core)
{
  MfQueue *queue = core->board.queue;
  uint32_t n_placed = 0;

  if (!queue->pass_due)
    return;
  queue->pass_due = false;
  if (queue->transfers.head != NULL)
    place_transfers (core);
  if (queue->n_requests == 0)
    return;
  for (uint32_t i = 0; i < core->board.services.n_rows; i++)
    {
      if (is_starved (core, i) && queue->n_starved_checks++ % STARVED_ONE_IN == 0
          && place_next (core, i))
        n_placed++;
    }
  for (int class_ = 0; class_ < MF_CLASS_COUNT; class_++)
    {
      for (uint32_t i = 0; i < core->board.services.n_rows; i++)
        {
          if (core->board.services.rows[i].config.class_ != (MfClass)class_)
            continue;
          while (n_placed < PLACEMENTS_PER_STEP_MAX && place_next (core, i))
            n_placed++;
        }
    }
  if (n_placed >= PLACEMENTS_PER_STEP_MAX)
    {
      queue->pass_due = true;
      mf_core_wake_at (core, core->board.now_us);
    }
}

static void
queue_handle (MfCore *core, const MfEvent *event)
{
  if (event->type == MF_EVENT_LOAD || event->type == MF_EVENT_TICK)
    mf_queue_schedule_pass (core);
}

static bool
queue_init (MfCore *core, MfError *error)
{
  core->board.queue = calloc (1, sizeof *core->board.queue);
  if (core->board.queue == NULL)
    mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for the queue");
  return core->board.queue != NULL;
}

static void
queue_finish (MfCore *core)
{
  MfQueue *queue = core->board.queue;
  CustomerQueue *customer_queue;
  CustomerQueue *next;

  if (queue == NULL)
    return;
  HASH_ITER (hh, queue->customer_queues, customer_queue, next)
  {
    HASH_DEL (queue->customer_queues, customer_queue);
    free (customer_queue);
  }
  for (uint32_t i = 0; i < queue->n_services; i++)
    mf_heap_clear (&queue->services[i].by_virtual_time);
  free (queue->services);
  free (queue);
}

const MfController mf_queue_controller = {
  .name = "queue",
  .init = queue_init,
  .finish = queue_finish,
  .handle = queue_handle,
  .tick = queue_tick,
};
