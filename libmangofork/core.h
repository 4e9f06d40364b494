#ifndef MF_CORE_H
#define MF_CORE_H

#include "action.h"
#include "board.h"

/* The decision core. It has no clock, does no I/O and keeps no global state: events are passed to
 * mf_core_step, and the resulting actions are passed to the action function before it returns. */
struct MfCore
{
  MfBoard board;
  MfActionFunc on_action;
  void *action_data;
  uint64_t next_call_id;
  uint64_t random_state[4];
  uint64_t wake_us; /* earliest time at which a controller needs a tick */
};

/* A controller owns one part of the board. Any function may be NULL. */
typedef struct
{
  const char *name;
  bool (*init) (MfCore *core, MfError *error);
  void (*finish) (MfCore *core);
  void (*handle) (MfCore *core, const MfEvent *event); /* every event, in table order */
  void (*tick) (MfCore *core);   /* after each event; must be cheap when nothing is due */
  void (*config) (MfCore *core); /* a new configuration is in force */
} MfController;

/* Fills options with the documented defaults; self, address and data centre stay empty. */
void mf_core_options (MfOptions *options);
/* Returns a core owned by the caller, or NULL with error set. */
MfCore *mf_core_new (const MfOptions *options, uint64_t now_us, uint64_t wall_ms,
                     MfActionFunc on_action, void *data, MfError *error);
void mf_core_free (MfCore *core);
void mf_core_step (MfCore *core, const MfEvent *event);
/* Returns when the next MF_EVENT_TICK is due, as an absolute time; UINT64_MAX for never. */
uint64_t mf_core_next_us (const MfCore *core);

/* For controllers. */
void mf_core_wake_at (MfCore *core, uint64_t at_us);
void mf_core_emit (MfCore *core, const MfAction *action);
void mf_core_log (MfCore *core, const char *subject, const char *name, const char *from,
                  const char *to, const char *reason);
uint64_t mf_core_next_call_id (MfCore *core);
/* Random numbers of the core's own seeded generator. */
uint64_t mf_core_random (MfCore *core);
uint64_t mf_core_random_below (MfCore *core, uint64_t bound);
/* Puts a checked configuration in force and notifies every controller. Takes ownership of
 * config. */
void mf_core_set_config (MfCore *core, MfConfig *config);

/* The controllers, each in its own file. */
extern const MfController mf_service_controller;  /* service.c: services, pools, customers */
extern const MfController mf_upstream_controller; /* upstream.c: table, load reports */
extern const MfController mf_health_controller;   /* health.c */
extern const MfController mf_prefix_controller;   /* prefix.c */
extern const MfController mf_suspect_controller;  /* suspect_core.c */
extern const MfController mf_cancel_controller;   /* cancel.c */
extern const MfController mf_request_controller;  /* request.c: life cycle */
extern const MfController mf_queue_controller;    /* queue.c: admission and placement */
extern const MfController mf_drain_controller;    /* drain.c */
extern const MfController mf_confsync_controller; /* confsync.c */
extern const MfController mf_member_controller;   /* member.c */
extern const MfController mf_gossip_controller;   /* gossip.c */
extern const MfController mf_digest_controller;   /* digest.c */
extern const MfController mf_claim_controller;    /* claim.c */
extern const MfController mf_share_controller;    /* share.c */
extern const MfController mf_order_controller;    /* order.c */

#endif
