#ifndef FLEET_H
#define FLEET_H

#include "libmangofork/types.h"

#include <json-c/json.h>
#include <sys/types.h>

#define FLEET_N_INSTANCES 3

/* Three router instances and the stand-ins, as processes on loopback. Instances are numbered
 * from 1. A TCP proxy before the peer port of each instance injects link faults. A wait that times
 * out fails the test. */
typedef struct Fleet Fleet;
/* One HTTP request of a caller. It makes progress during any wait of the fleet. */
typedef struct Caller Caller;

typedef bool (*FleetCondition) (Fleet *fleet, void *data);

/* Setup and teardown functions for cmocka. *state is a Fleet whose instances are ready and
 * connected to each other. */
int fleet_setup (void **state);
int fleet_teardown (void **state);

void fleet_start (Fleet *fleet, int instance);
/* Sends a signal. For SIGKILL, also waits for the end of the process. */
void fleet_signal (Fleet *fleet, int instance, int signal);
/* Waits for the end of the process and returns its exit code, or 128 plus the signal's number. */
int fleet_wait_exit_code (Fleet *fleet, int instance);
void fleet_wait_until (Fleet *fleet, FleetCondition reached, void *data);
void fleet_wait_ready (Fleet *fleet, int instance);
/* Waits until the instance can have an order with an idempotency key run. */
void fleet_wait_voting (Fleet *fleet, int instance);
/* Lets time pass while the callers make progress. */
void fleet_sleep_ms (Fleet *fleet, unsigned ms);

void fleet_fault (Fleet *fleet, const char *target, const char *kind, unsigned value);
/* Sets the rule of the proxy before instance to for the links that instance from opens. */
void fleet_link_fault (Fleet *fleet, int to, const char *kind, int from);
/* Cuts or restores all links of one instance, in both directions. */
void fleet_isolate (Fleet *fleet, int instance, bool cut);
void fleet_publish (Fleet *fleet, const char *text);
/* Publishes the operators' text with another tbt_target_ms, so that the revisions differ. */
void fleet_publish_tbt_target (Fleet *fleet, unsigned tbt_target_ms);
/* Returns the counters of all stand-ins, which the caller frees. */
json_object *fleet_ledger (Fleet *fleet);
/* Sums a number over the rows of a list of the ledger, "engines" or "plain". */
uint64_t fleet_sum_ledger (Fleet *fleet, const char *list, const char *name);
/* Number of executions of an order. */
uint64_t fleet_n_runs (Fleet *fleet, const char *order);
/* Number of pieces of work that hold KV at the engines. */
uint64_t fleet_n_kv_entries (Fleet *fleet);
void fleet_wait_kv_freed (Fleet *fleet);
/* Returns the value of a metric of an instance; 0 if it is absent. */
double fleet_counter (Fleet *fleet, int instance, const char *name);

/* Sends a streaming request for an answer of n_tokens tokens. Each token contains the tag, so that
 * tokens of other answers are detected. */
Caller *fleet_send_completion (Fleet *fleet, int instance, const char *tag, unsigned n_tokens);
Caller *fleet_send_prompt (Fleet *fleet, int instance, const char *prompt);
Caller *fleet_send_order (Fleet *fleet, int instance, const char *order, const char *key);
Caller *fleet_send_get (Fleet *fleet, int instance, const char *path);
void caller_disconnect (Caller *caller);
/* Disconnects all callers whose answers have not ended. */
void fleet_disconnect_callers (Fleet *fleet);
bool caller_has_ended (const Caller *caller);
bool caller_has_tokens (const Caller *caller, unsigned n_tokens);
/* Waits for the end of the answer. */
void caller_wait (Caller *caller);
/* Returns whether the complete streamed answer has arrived, each token once and in order. */
bool caller_is_complete (const Caller *caller);
unsigned caller_status (const Caller *caller);
const char *caller_body (const Caller *caller);
/* The end of the body, for error messages. */
const char *caller_body_tail (const Caller *caller);
/* The outcome header of a refusal; "" if there is none. */
const char *caller_outcome (const Caller *caller);

#endif
