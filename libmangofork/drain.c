#include "cancel.h"
#include "request.h"

#include <stdlib.h>

/* Graceful shutdown. Readiness is withdrawn first, and requests are still accepted for a grace
 * period, so that load balancers can react. After that, new requests are refused, and the process
 * exits when no request is in flight and every cancel is confirmed, or when the time limit is
 * reached. */
typedef enum
{
  DRAIN_NONE,
  DRAIN_GRACE,
  DRAIN_FINISHING,
  DRAIN_DONE,
} DrainState;

struct MfDrain
{
  DrainState state;
  uint64_t began_us;
};

static void
set_ready (MfCore *core, bool ready)
{
  MfAction action = { .type = MF_ACTION_READY, .ready = ready };

  if (core->board.ready == ready)
    return;
  core->board.ready = ready;
  mf_core_emit (core, &action);
}

static void
drain_handle (MfCore *core, const MfEvent *event)
{
  MfDrain *drain = core->board.drain;

  if (event->type != MF_EVENT_SHUTDOWN || drain->state != DRAIN_NONE)
    return;
  drain->state = DRAIN_GRACE;
  drain->began_us = core->board.now_us;
  set_ready (core, false);
  mf_core_log (core, "drain", core->board.options.self.name, "serving", "grace", "shutdown");
}

static void
finish_when_idle (MfCore *core)
{
  MfDrain *drain = core->board.drain;
  MfAction action = { .type = MF_ACTION_EXIT };
  bool idle = mf_request_count (core) == 0 && mf_cancel_count (core) == 0;
  uint64_t limit_us = drain->began_us + core->board.options.drain_limit_us;

  if (!idle && core->board.now_us < limit_us)
    {
      mf_core_wake_at (core, limit_us);
      return;
    }
  drain->state = DRAIN_DONE;
  mf_core_log (core, "drain", core->board.options.self.name, "finishing", "done",
               idle ? "idle" : "limit");
  mf_core_emit (core, &action);
}

static void
drain_tick (MfCore *core)
{
  MfDrain *drain = core->board.drain;
  uint64_t grace_us = drain->began_us + core->board.options.drain_grace_us;

  if (drain->state == DRAIN_NONE || drain->state == DRAIN_DONE)
    return;
  if (drain->state == DRAIN_GRACE && core->board.now_us < grace_us)
    {
      mf_core_wake_at (core, grace_us);
      return;
    }
  if (drain->state == DRAIN_GRACE)
    {
      drain->state = DRAIN_FINISHING;
      core->board.draining = true;
      mf_core_log (core, "drain", core->board.options.self.name, "grace", "finishing", "shutdown");
    }
  finish_when_idle (core);
}

static void
drain_config (MfCore *core)
{
  if (core->board.drain->state == DRAIN_NONE)
    set_ready (core, true);
}

static bool
drain_init (MfCore *core, MfError *error)
{
  core->board.drain = calloc (1, sizeof *core->board.drain);
  if (core->board.drain == NULL)
    mf_error_set (error, MF_CODE_NO_MEMORY, "out of memory while creating the drain state");
  return core->board.drain != NULL;
}

static void
drain_finish (MfCore *core)
{
  free (core->board.drain);
}

const MfController mf_drain_controller = {
  .name = "drain",
  .init = drain_init,
  .finish = drain_finish,
  .handle = drain_handle,
  .tick = drain_tick,
  .config = drain_config,
};
