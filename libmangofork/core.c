#include "core.h"

#include "series.h"

#include <stdlib.h>

/* Steps of requests kept for `mangofork explain`. */
#define TRACE_STEPS 65536
/* A tick that is later than requested by more than this means that the process was paused. */
#define PAUSE_MIN_US (300 * MF_US_PER_MS)

static const MfController *const controllers[] = {
  &mf_confsync_controller, &mf_service_controller, &mf_upstream_controller, &mf_member_controller,
  &mf_gossip_controller,   &mf_health_controller,  &mf_prefix_controller,   &mf_suspect_controller,
  &mf_share_controller,    &mf_claim_controller,   &mf_request_controller,  &mf_queue_controller,
  &mf_cancel_controller,   &mf_order_controller,   &mf_drain_controller,    &mf_digest_controller,
  &mf_series_controller,
};

static uint64_t
rotate_left (uint64_t value, unsigned bits)
{
  return (value << bits) | (value >> (64 - bits));
}

/* Spreads a small seed over the complete state of the generator (splitmix64). */
static void
random_seed (MfCore *core, uint64_t seed)
{
  for (size_t i = 0; i < MF_ARRAY_LEN (core->random_state); i++)
    {
      uint64_t z = (seed += UINT64_C (0x9e3779b97f4a7c15));

      z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
      z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
      core->random_state[i] = z ^ (z >> 31);
    }
}

static void
controllers_tick (MfCore *core)
{
  for (size_t i = 0; i < MF_ARRAY_LEN (controllers); i++)
    {
      if (controllers[i]->tick != NULL)
        controllers[i]->tick (core);
    }
}

void
mf_core_options (MfOptions *options)
{
  *options = (MfOptions){
    .seed = 1,
    .requests_max = 20000,
    .drain_grace_us = 5 * MF_US_PER_S,
    .drain_limit_us = 120 * MF_US_PER_S,
    .digest_period_us = 200 * MF_US_PER_MS,
    .digest_bytes_max = 2048,
    .links_max = 8,
    .load_period_us = 100 * MF_US_PER_MS,
    .platform_period_us = 5 * MF_US_PER_S,
    .cold_start_us = 4 * MF_US_PER_S,
  };
}

MfCore *
mf_core_new (const MfOptions *options, uint64_t now_us, uint64_t wall_ms, MfActionFunc on_action,
             void *data, MfError *error)
{
  MfCore *core = calloc (1, sizeof *core);

  if (core == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "out of memory while creating the core");
      return NULL;
    }
  core->board.options = *options;
  core->board.now_us = now_us;
  core->board.wall_ms = wall_ms;
  core->on_action = on_action;
  core->action_data = data;
  core->wake_us = now_us;
  random_seed (core, options->seed);
  core->board.trace = mf_trace_new (TRACE_STEPS);
  core->board.burn = mf_burn_new (now_us);
  if (core->board.trace == NULL || core->board.burn == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "out of memory while creating the core");
      mf_core_free (core);
      return NULL;
    }
  for (size_t i = 0; i < MF_ARRAY_LEN (controllers); i++)
    {
      if (controllers[i]->init != NULL && !controllers[i]->init (core, error))
        {
          mf_core_free (core);
          return NULL;
        }
    }
  return core;
}

/* Frees the core and everything it owns. Accepts NULL and a core that was only partly created. */
void
mf_core_free (MfCore *core)
{
  if (core == NULL)
    return;
  for (size_t i = MF_ARRAY_LEN (controllers); i-- > 0;)
    {
      if (controllers[i]->finish != NULL)
        controllers[i]->finish (core);
    }
  mf_trace_free (core->board.trace);
  mf_burn_free (core->board.burn);
  mf_config_free (core->board.config);
  free (core);
}

/* Processes one event. The board's time never goes backwards, even if an event's does. */
void
mf_core_step (MfCore *core, const MfEvent *event)
{
  if (core->wake_us != UINT64_MAX && event->now_us > core->wake_us + PAUSE_MIN_US)
    core->board.process_pause_end_us = event->now_us;
  if (event->now_us > core->board.now_us)
    core->board.now_us = event->now_us;
  core->board.wall_ms = event->wall_ms;
  if (core->wake_us <= core->board.now_us)
    core->wake_us = UINT64_MAX;
  for (size_t i = 0; i < MF_ARRAY_LEN (controllers); i++)
    {
      if (controllers[i]->handle != NULL)
        controllers[i]->handle (core, event);
    }
  controllers_tick (core);
}

uint64_t
mf_core_next_us (const MfCore *core)
{
  return core->wake_us;
}

/* Requests a tick no later than at_us. */
void
mf_core_wake_at (MfCore *core, uint64_t at_us)
{
  if (at_us < core->wake_us)
    core->wake_us = at_us;
}

void
mf_core_emit (MfCore *core, const MfAction *action)
{
  core->on_action (action, core->action_data);
}

/* Logs one change of state. */
void
mf_core_log (MfCore *core, const char *subject, const char *name, const char *from, const char *to,
             const char *reason)
{
  MfAction action = {
    .type = MF_ACTION_LOG,
    .log = { .subject = subject, .name = name, .from = from, .to = to, .reason = reason },
  };

  mf_core_emit (core, &action);
}

uint64_t
mf_core_next_call_id (MfCore *core)
{
  return ++core->next_call_id;
}

/* xoshiro256** */
uint64_t
mf_core_random (MfCore *core)
{
  uint64_t *s = core->random_state;
  uint64_t result = rotate_left (s[1] * 5, 7) * 9;
  uint64_t t = s[1] << 17;

  s[2] ^= s[0];
  s[3] ^= s[1];
  s[1] ^= s[2];
  s[0] ^= s[3];
  s[2] ^= t;
  s[3] = rotate_left (s[3], 45);
  return result;
}

/* Returns a number from 0 to bound - 1; 0 if bound is 0. */
uint64_t
mf_core_random_below (MfCore *core, uint64_t bound)
{
  return bound == 0 ? 0 : mf_core_random (core) % bound;
}

void
mf_core_set_config (MfCore *core, MfConfig *config)
{
  mf_config_free (core->board.config);
  core->board.config = config;
  for (size_t i = 0; i < MF_ARRAY_LEN (controllers); i++)
    {
      if (controllers[i]->config != NULL)
        controllers[i]->config (core);
    }
}
