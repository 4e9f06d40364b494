#ifndef FLEET_H
#define FLEET_H

#include "libmangofork/types.h"

#include <json-c/json.h>
#include <sys/types.h>

#define FLEET_N_INSTANCES 3

/* Three instances and their stand-ins as real processes on loopback. Instances count from 1, and a
 * relay stands before each one's peer port. Any wait that comes to nothing fails the test. */
typedef struct Fleet Fleet;
/* One call of a caller; it goes on while the fleet waits for anything. */
typedef struct Caller Caller;

typedef bool (*FleetCondition) (Fleet *fleet, void *data);

/* cmocka's set-up and teardown: *state is a Fleet whose instances are ready and linked. */
int fleet_setup (void **state);
int fleet_teardown (void **state);

void fleet_start (Fleet *fleet, int instance);
/* Sends a signal; SIGKILL is waited for. */
void fleet_signal (Fleet *fleet, int instance, int signal);
/* Waits until the process has ended and returns its exit code. */
int fleet_wait_exit_code (Fleet *fleet, int instance);
void fleet_wait_until (Fleet *fleet, FleetCondition reached, void *data);
void fleet_wait_ready (Fleet *fleet, int instance);
void fleet_wait_voting (Fleet *fleet, int instance);
/* Lets time pass for things that must not happen. */
void fleet_sleep_ms (Fleet *fleet, unsigned ms);

void fleet_fault (Fleet *fleet, const char *target, const char *kind, unsigned value);
void fleet_link_fault (Fleet *fleet, int to, const char *kind, int from);
/* Cuts or restores every link of one instance, in both directions. */
void fleet_isolate (Fleet *fleet, int instance, bool cut);
void fleet_publish (Fleet *fleet, const char *text);
/* The operators' text with another token-gap target, to be told apart by. */
void fleet_publish_tbt_target (Fleet *fleet, unsigned tbt_target_ms);
json_object *fleet_ledger (Fleet *fleet);
/* Sums a number of the rows of "engines" or "plain". */
uint64_t fleet_sum_ledger (Fleet *fleet, const char *list, const char *name);
uint64_t fleet_n_runs (Fleet *fleet, const char *order);
uint64_t fleet_n_kv_entries (Fleet *fleet);
void fleet_wait_kv_freed (Fleet *fleet);
/* A counter of an instance's metrics; 0 when it is not there. */
double fleet_counter (Fleet *fleet, int instance, const char *name);

/* Asks for an answer of so many tokens, tagged so that it can be told from any other. */
Caller *fleet_send_completion (Fleet *fleet, int instance, const char *tag, unsigned n_tokens);
Caller *fleet_send_prompt (Fleet *fleet, int instance, const char *prompt);
Caller *fleet_send_order (Fleet *fleet, int instance, const char *order, const char *key);
Caller *fleet_send_get (Fleet *fleet, int instance, const char *path);
void caller_disconnect (Caller *caller);
/* Every caller still waiting leaves. */
void fleet_disconnect_callers (Fleet *fleet);
bool caller_has_ended (const Caller *caller);
bool caller_has_tokens (const Caller *caller, unsigned n_tokens);
/* Waits for the end of the answer. */
void caller_wait (Caller *caller);
/* Whether the whole streamed answer has come, each token once and in order. */
bool caller_is_complete (const Caller *caller);
unsigned caller_status (const Caller *caller);
const char *caller_body (const Caller *caller);
/* The end of the body, for messages. */
const char *caller_body_tail (const Caller *caller);
/* The outcome a refusal claims; "" when there is none. */
const char *caller_outcome (const Caller *caller);

#endif
