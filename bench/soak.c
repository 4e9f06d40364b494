#include "tests/fleet.h"

#include "libmangofork/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Three instances and their stand-ins as real processes, under steady work and faults that come two
 * at a time: kills, freezes, cuts both ways and one way, dying, stalled, slow and leaving engines,
 * an order desk that dies before or after it ran, a platform that is down or stale, callers that
 * leave. In the end every answer is held against the stand-ins' ledgers. */

#define SECONDS 60
#define SECONDS_QUICK 15
#define WARM_UP_MS 2000
#define STEP_MS 40
#define FAULT_US (900 * MF_US_PER_MS)
#define FAULTS_AT_ONCE 2
#define CALLS_MAX 8192
#define ORDERS_MAX 2048
#define SENDS_MAX 6
#define TOKENS 60

typedef enum
{
  CALL_STREAM,
  CALL_ORDER,
  CALL_READ,
} CallKind;

/* One call of a caller. */
typedef struct
{
  Caller *caller;
  CallKind kind;
  int instance;
  unsigned n_kills; /* of the instance when it was sent */
  unsigned order;
  bool abandoned;
  bool counted; /* its end has been taken in */
} Call;

typedef struct
{
  char key[40];
  unsigned n_sends;
  unsigned n_in_flight;
  unsigned n_not_run;
  bool done;
} Order;

/* A fault, and what ends it. */
typedef struct
{
  unsigned kind;
  unsigned target;
  uint64_t end_us; /* 0 when the place is free */
} Fault;

typedef struct
{
  Fleet *fleet;
  uint64_t random_state;
  uint64_t start_us;
  unsigned seconds;
  Call calls[CALLS_MAX];
  unsigned n_calls;
  Order orders[ORDERS_MAX];
  unsigned n_orders;
  Fault faults[FAULTS_AT_ONCE];
  uint64_t next_fault_us;
  unsigned n_faults;
  unsigned n_kills[FLEET_N_INSTANCES + 1];
  bool down[FLEET_N_INSTANCES + 1];
  unsigned n_complete;
  unsigned n_refused;
  unsigned n_failed;
  unsigned n_lost_with_instance;
  unsigned n_abandoned;
} Soak;

static uint64_t
draw (Soak *soak, uint64_t bound)
{
  uint64_t z = (soak->random_state += UINT64_C (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return (z ^ (z >> 31)) % bound;
}

/* Returns an instance that runs, or 0. The balancer does not send to one that is down. */
static int
pick_instance (Soak *soak)
{
  int instance = (int)draw (soak, FLEET_N_INSTANCES) + 1;

  for (int i = 0; i < FLEET_N_INSTANCES; i++)
    {
      if (!soak->down[instance])
        return instance;
      instance = instance % FLEET_N_INSTANCES + 1;
    }
  return 0;
}

static void
call_add (Soak *soak, Caller *caller, CallKind kind, int instance, unsigned order)
{
  soak->calls[soak->n_calls++] = (Call){ .caller = caller,
                                         .kind = kind,
                                         .instance = instance,
                                         .n_kills = soak->n_kills[instance],
                                         .order = order };
}

static void
send_order (Soak *soak, unsigned number)
{
  Order *order = &soak->orders[number];
  int instance = pick_instance (soak);
  char name[16];

  if (instance == 0)
    return;
  snprintf (name, sizeof name, "o%u", number);
  order->n_sends++;
  order->n_in_flight++;
  call_add (soak, fleet_send_order (soak->fleet, instance, name, order->key), CALL_ORDER, instance,
            number);
}

/* A new order, whose key is a UUIDv7 minted now. */
static void
send_new_order (Soak *soak)
{
  Order *order = &soak->orders[soak->n_orders];
  uint64_t now_ms = mf_clock_wall_ms ();

  if (soak->n_orders == ORDERS_MAX)
    return;
  snprintf (order->key, sizeof order->key, "%08x-%04x-7%03x-8%03x-%012llx",
            (unsigned)(now_ms >> 16), (unsigned)(now_ms & 0xffff), (unsigned)draw (soak, 0x1000),
            (unsigned)draw (soak, 0x1000), (unsigned long long)draw (soak, UINT64_C (1) << 48));
  send_order (soak, soak->n_orders++);
}

/* An order that is not known to be placed is sent again, as its caller would, also while its first
 * call still runs. */
static void
resend_order (Soak *soak)
{
  unsigned number;

  if (soak->n_orders == 0)
    return;
  number = soak->n_orders - 1 - (unsigned)draw (soak, soak->n_orders < 20 ? soak->n_orders : 20);
  if (!soak->orders[number].done && soak->orders[number].n_sends < SENDS_MAX)
    send_order (soak, number);
}

static void
send_stream (Soak *soak)
{
  int instance = pick_instance (soak);
  char tag[16];

  if (instance == 0)
    return;
  snprintf (tag, sizeof tag, "t%u", soak->n_calls);
  call_add (soak,
            fleet_send_completion (soak->fleet, instance, tag, 1 + (unsigned)draw (soak, TOKENS)),
            CALL_STREAM, instance, 0);
}

static void
send_something (Soak *soak)
{
  int instance;

  if (soak->n_calls + 8 >= CALLS_MAX)
    return;
  send_stream (soak);
  if (draw (soak, 3) == 0)
    send_new_order (soak);
  if (draw (soak, 3) == 0)
    resend_order (soak);
  instance = pick_instance (soak);
  if (instance != 0 && draw (soak, 3) == 0)
    call_add (soak, fleet_send_get (soak->fleet, instance, "/stock/7"), CALL_READ, instance, 0);
}

typedef struct
{
  char prefix; /* of the stand-ins it is for, which are numbered; 0 for the platform */
  const char *begin;
  const char *end; /* NULL when it ends by itself */
  unsigned value;
} StandInFault;

static const StandInFault stand_in_faults[] = {
  { 'd', "kill", NULL, 0 },       { 'p', "kill", NULL, 0 },     { 'd', "stall", NULL, 2500 },
  { 'p', "stall", NULL, 2500 },   { 'd', "slow", "slow", 25 },  { 'p', "stall-link", NULL, 1500 },
  { 'd', "leave", "restart", 0 }, { 'o', "slow", "slow", 400 }, { 'o', "kill", "restart", 0 },
  { 0, "down", "up", 0 },         { 0, "stale", "up", 0 },
};

enum
{
  FAULT_KILL,
  FAULT_FREEZE,
  FAULT_ISOLATE,
  FAULT_ONE_WAY,
  FAULT_STAND_IN,
};

static bool
has_fault (const Soak *soak, unsigned kind, unsigned target)
{
  for (unsigned i = 0; i < FAULTS_AT_ONCE; i++)
    {
      const Fault *fault = &soak->faults[i];
      bool process = fault->kind <= FAULT_FREEZE && kind <= FAULT_FREEZE;

      if (fault->end_us != 0 && (process || fault->kind == kind) && fault->target == target)
        return true;
    }
  return false;
}

static unsigned
next_instance (unsigned instance)
{
  return instance % FLEET_N_INSTANCES + 1;
}

static void
stand_in_fault (Soak *soak, const Fault *fault, bool begin)
{
  const StandInFault *row = &stand_in_faults[fault->kind - FAULT_STAND_IN];
  char target[16];

  if (!begin && row->end == NULL)
    return;
  if (row->prefix == 0)
    mf_name_set (target, sizeof target, "platform");
  else
    snprintf (target, sizeof target, "%c%u", row->prefix, fault->target);
  if (begin)
    fleet_fault (soak->fleet, target, row->begin, row->value);
  else
    fleet_fault (soak->fleet, target, row->end, row->prefix == 'o' ? 0 : 100);
}

static void
fault_print (const Soak *soak, const Fault *fault, const char *what)
{
  static const char *const names[] = { "kill", "freeze", "isolate", "one-way cut" };
  const StandInFault *row = &stand_in_faults[fault->kind - FAULT_STAND_IN];
  bool stand_in = fault->kind >= FAULT_STAND_IN;

  print_message ("%.2f s: %s %s of %c%u\n",
                 (double)(mf_clock_now_us () - soak->start_us) / (double)MF_US_PER_S, what,
                 stand_in ? row->begin : names[fault->kind],
                 !stand_in          ? 'n'
                 : row->prefix != 0 ? row->prefix
                                    : '-',
                 fault->target);
}

static void
fault_begin (Soak *soak, const Fault *fault)
{
  int instance = (int)fault->target;

  fault_print (soak, fault, "begin");

  if (fault->kind == FAULT_KILL)
    {
      soak->down[instance] = true;
      soak->n_kills[instance]++;
      fleet_signal (soak->fleet, instance, SIGKILL);
    }
  else if (fault->kind == FAULT_FREEZE)
    fleet_signal (soak->fleet, instance, SIGSTOP);
  else if (fault->kind == FAULT_ISOLATE)
    fleet_isolate (soak->fleet, instance, true);
  else if (fault->kind == FAULT_ONE_WAY)
    fleet_link_fault (soak->fleet, instance, "cut", (int)next_instance (fault->target));
  else
    stand_in_fault (soak, fault, true);
}

static void
fault_end (Soak *soak, Fault *fault)
{
  int instance = (int)fault->target;

  fault_print (soak, fault, "end");
  fault->end_us = 0;
  if (fault->kind == FAULT_KILL)
    {
      fleet_start (soak->fleet, instance);
      fleet_wait_ready (soak->fleet, instance);
      soak->down[instance] = false;
    }
  else if (fault->kind == FAULT_FREEZE)
    fleet_signal (soak->fleet, instance, SIGCONT);
  else if (fault->kind == FAULT_ISOLATE)
    fleet_isolate (soak->fleet, instance, false);
  else if (fault->kind == FAULT_ONE_WAY)
    fleet_link_fault (soak->fleet, instance, "pass", (int)next_instance (fault->target));
  else
    stand_in_fault (soak, fault, false);
}

static void
update_faults (Soak *soak, bool allow_new)
{
  uint64_t now_us = mf_clock_now_us ();

  for (unsigned i = 0; i < FAULTS_AT_ONCE; i++)
    {
      Fault *fault = &soak->faults[i];

      if (fault->end_us != 0 && (now_us >= fault->end_us || !allow_new))
        fault_end (soak, fault);
      if (!allow_new || fault->end_us != 0 || now_us < soak->next_fault_us)
        continue;
      fault->kind = (unsigned)draw (soak, FAULT_STAND_IN + MF_ARRAY_LEN (stand_in_faults));
      fault->target = 1 + (unsigned)draw (soak, FLEET_N_INSTANCES);
      if (has_fault (soak, fault->kind, fault->target))
        continue;
      fault->end_us = now_us + (300 + draw (soak, 2700)) * MF_US_PER_MS;
      soak->next_fault_us = now_us + draw (soak, FAULT_US);
      soak->n_faults++;
      fault_begin (soak, fault);
    }
}

static void
order_ended (Soak *soak, const Call *call)
{
  Order *order = &soak->orders[call->order];

  order->n_in_flight--;
  if (caller_status (call->caller) == 200)
    order->done = true;
  order->n_not_run += strcmp (caller_outcome (call->caller), "not-run") == 0;
}

/* Counts how a call ended. A call whose instance was killed under it ends as it may. */
static void
count_end (Soak *soak, Call *call)
{
  bool complete = call->kind == CALL_STREAM ? caller_is_complete (call->caller)
                                            : caller_status (call->caller) == 200;

  call->counted = true;
  if (call->kind == CALL_ORDER)
    order_ended (soak, call);
  if (call->abandoned)
    soak->n_abandoned++;
  else if (complete)
    soak->n_complete++;
  else if (call->n_kills != soak->n_kills[call->instance])
    soak->n_lost_with_instance++;
  else if (strstr (caller_body (call->caller), "urn:mangofork:code:") != NULL)
    {
      soak->n_refused++;
      print_message ("%.2f s: refused by entry-%d: %s\n",
                     (double)(mf_clock_now_us () - soak->start_us) / (double)MF_US_PER_S,
                     call->instance, caller_body_tail (call->caller));
    }
  else
    {
      soak->n_failed++;
      print_message ("broken at entry-%d, kind %d, status %u: %s\n", call->instance, call->kind,
                     caller_status (call->caller), caller_body_tail (call->caller));
    }
}

static void
collect_ends (Soak *soak)
{
  for (unsigned i = 0; i < soak->n_calls; i++)
    {
      Call *call = &soak->calls[i];

      if (call->counted)
        continue;
      if (call->kind == CALL_STREAM && draw (soak, 400) == 0)
        {
          call->abandoned = !caller_has_ended (call->caller);
          caller_disconnect (call->caller);
        }
      if (caller_has_ended (call->caller))
        count_end (soak, call);
    }
}

static bool
all_ended (Fleet *fleet, void *data)
{
  Soak *soak = data;

  (void)fleet;
  collect_ends (soak);
  for (unsigned i = 0; i < soak->n_calls; i++)
    {
      if (!soak->calls[i].counted)
        return false;
    }
  return true;
}

static void
result (const char *name, uint64_t value, uint64_t target, bool at_least)
{
  bool met = at_least ? value >= target : value <= target;

  printf ("RESULT %s %llu %llu %s\n", name, (unsigned long long)value, (unsigned long long)target,
          met ? "met" : "missed");
}

static void
report (Soak *soak)
{
  unsigned n_run_twice = 0;
  unsigned n_false_reports = 0;
  unsigned n_ran = 0;
  uint64_t n_ended = soak->n_complete + soak->n_refused + soak->n_failed;

  for (unsigned i = 0; i < soak->n_orders; i++)
    {
      const Order *order = &soak->orders[i];
      char name[16];
      uint64_t runs;

      snprintf (name, sizeof name, "o%u", i);
      runs = fleet_n_runs (soak->fleet, name);
      n_ran += runs > 0;
      n_run_twice += runs > 1;
      n_false_reports
          += (order->done && runs == 0) || (runs > 0 && order->n_not_run == order->n_sends);
    }
  printf ("%u faults; %u calls: %u whole, %u refused, %u broken, %u lost with a killed instance, "
          "%u left; %u orders, %u ran\n",
          soak->n_faults, soak->n_calls, soak->n_complete, soak->n_refused, soak->n_failed,
          soak->n_lost_with_instance, soak->n_abandoned, soak->n_orders, n_ran);
  result ("soak_orders_run_twice", n_run_twice, 0, false);
  result ("soak_refusals_untrue", n_false_reports, 0, false);
  result ("soak_answers_broken", soak->n_failed, 0, false);
  result ("soak_memory_held_at_end", fleet_n_kv_entries (soak->fleet), 0, false);
  result ("soak_whole_ppm", n_ended == 0 ? 0 : soak->n_complete * UINT64_C (1000000) / n_ended,
          990000, true);
}

static void
soak_run (void **state)
{
  Soak *soak = *state;
  uint64_t end_us;

  for (int i = 1; i <= FLEET_N_INSTANCES; i++)
    fleet_wait_voting (soak->fleet, i);
  fleet_sleep_ms (soak->fleet, WARM_UP_MS);
  soak->start_us = mf_clock_now_us ();
  end_us = soak->start_us + soak->seconds * MF_US_PER_S;
  while (mf_clock_now_us () < end_us)
    {
      send_something (soak);
      update_faults (soak, true);
      fleet_sleep_ms (soak->fleet, STEP_MS);
      collect_ends (soak);
    }
  update_faults (soak, false);
  fleet_wait_until (soak->fleet, all_ended, soak);
  fleet_wait_kv_freed (soak->fleet);
  report (soak);
}

static int
soak_setup (void **state)
{
  Soak *soak = *state;

  return fleet_setup ((void **)&soak->fleet);
}

static int
soak_teardown (void **state)
{
  Soak *soak = *state;

  return fleet_teardown ((void **)&soak->fleet);
}

int
main (int argc, char **argv)
{
  static Soak soak = { .random_state = 1, .seconds = SECONDS };
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_prestate_setup_teardown (soak_run, soak_setup, soak_teardown, &soak),
  };

  for (int i = 1; i < argc; i++)
    {
      if (strcmp (argv[i], "--quick") == 0)
        soak.seconds = SECONDS_QUICK;
      else if (strcmp (argv[i], "--seed") == 0 && i + 1 < argc)
        soak.random_state = strtoull (argv[++i], NULL, 10);
      else
        {
          fprintf (stderr, "usage: %s [--seed N] [--quick]\n", argv[0]);
          return 2;
        }
    }
  return cmocka_run_group_tests (tests, NULL, NULL);
}
