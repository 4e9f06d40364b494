#include "tests/fakes/rig.h"

#include "libmangofork/burn.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Goodput and wasted prefill of the real core against the naive policy on the same engines, in
 * virtual time. */

#define WARM_US (10 * MF_US_PER_S)
#define N_CORES n_cores
#define PREFIX_GROUPS 8
#define SLOTS 20

typedef struct
{
  const char *name;
  uint32_t n_prefill;
  uint32_t n_decode;
  uint32_t n_customers;
  double prompt_median;
  double prompt_sigma;
  uint32_t prompt_max;
  double answer_mean;
} Deployment;

typedef enum
{
  FAULT_NONE,
  FAULT_BURST,
  FAULT_DEATH,
  FAULT_GRAY,
  FAULT_LINK,
} Fault;

typedef struct
{
  const Deployment *deployment;
  double load;
  Fault fault;
  bool naive;
  uint64_t seed;
  uint64_t length_us;
} Trial;

typedef struct
{
  uint32_t n_offered;
  uint32_t n_good;
  uint32_t n_whole;
  uint32_t n_refused;
  uint32_t n_broken; /* promises broken: garbled, answered twice, never answered */
  double offered_work; /* of the resource that limits, as a share of its capacity */
  double good_work;
  double wasted_share;
  uint64_t wasted_tokens;
  double read_p99_ms;
  double read_unloaded_ms;
  uint32_t n_reads_lost;
  uint32_t n_orders_twice;
  uint32_t n_orders_lost;
  uint32_t held;
  uint32_t deaths;
  double ttft_p99_ms;
} Figures;

static uint32_t n_cores = 6;

static const Deployment deployments[] = {
  { .name = "supply",
    .n_prefill = 3,
    .n_decode = 6,
    .n_customers = 3,
    .prompt_median = 1200,
    .prompt_sigma = 1.1,
    .prompt_max = 30000,
    .answer_mean = 200 },
  { .name = "knotwick",
    .n_prefill = 4,
    .n_decode = 3,
    .n_customers = 3,
    .prompt_median = 4000,
    .prompt_sigma = 1.0,
    .prompt_max = 30000,
    .answer_mean = 200 },
};

static double
uniform (uint64_t *state)
{
  uint64_t z = (*state += UINT64_C (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return ((double)((z ^ (z >> 31)) >> 11) + 0.5) / 9007199254740992.0;
}

static double
normal (uint64_t *state)
{
  double u = uniform (state);

  return sqrt (-2 * log (u)) * cos (6.283185307179586 * uniform (state));
}

static void
rig_options (const Trial *trial, RigOptions *options)
{
  FakeEngineOptions engine = {
    .slots = SLOTS,
    .queue = 16,
    .pieces = 160,
    .prefill_tokens_per_s = 40000,
    .prefill_base_us = 8000,
    .step_us = 12000,
    .step_stream_us = 500,
    .kv_token_bytes = 131072,
    .link_bytes_per_s = UINT64_C (10000000000),
    .result_life_us = 800 * MF_US_PER_MS,
    .load_lag_us = 50 * MF_US_PER_MS,
    .cache_lag_us = 200 * MF_US_PER_MS,
    .cache_gap_ppm = 20000,
    .seed = trial->seed,
  };

  *options = (RigOptions){
    .seed = trial->seed,
    .naive = trial->naive,
    .n_cores = N_CORES,
    .hop_us = 500,
    .prefill = engine,
    .n_prefill = trial->deployment->n_prefill,
    .decode = engine,
    .n_decode = trial->deployment->n_decode,
    .plain = { .workers = 8, .serve_us = 40 * MF_US_PER_MS, .speed_percent = 100 },
    .n_plain = 3,
    .model_deadline_us = 60 * MF_US_PER_S,
    .expected_tokens = 200,
  };
  options->prefill.role = MF_ROLE_PREFILL;
  options->prefill.cache_pieces = 60;
  options->decode.role = MF_ROLE_DECODE;
}

/* Seconds of one prefill engine, and of one decode slot of a full engine. */
static double
prefill_s (const RigRequest *request)
{
  return 0.008 + request->prompt_tokens / 40000.0;
}

static double
decode_s (const RigRequest *request)
{
  return request->answer_tokens * (0.012 + SLOTS * 0.0005);
}

static void
draw_model (const Deployment *deployment, uint64_t *state, RigRequest *request)
{
  double prompt
      = deployment->prompt_median * exp (deployment->prompt_sigma * normal (state));
  uint32_t group = (uint32_t)(uniform (state) * PREFIX_GROUPS);
  uint32_t shared = uniform (state) < 0.5 ? 1 + group % 2 : 0;

  *request = (RigRequest){ .service = 0 };
  request->core = (uint32_t)(uniform (state) * N_CORES);
  request->customer = 1 + (uint32_t)(uniform (state) * deployment->n_customers);
  request->prompt_tokens
      = (uint32_t)fmin (fmax (prompt, 30), deployment->prompt_max) + shared * MF_PIECE_TOKENS;
  request->answer_tokens = 1 + (uint32_t)fmin (
                                   deployment->answer_mean * exp (0.6 * normal (state) - 0.18),
                                   1500);
  request->max_tokens = 1500;
  request->digest = 1 + (uint64_t)(uniform (state) * 1e15);
  request->n_prefix_hashes = request->prompt_tokens / MF_PIECE_TOKENS;
  if (request->n_prefix_hashes > MF_PREFIX_HASHES_MAX)
    request->n_prefix_hashes = MF_PREFIX_HASHES_MAX;
  for (uint32_t i = 0; i < request->n_prefix_hashes; i++)
    request->prefix_hashes[i] = i < shared ? 1000 * (group + 1) + i : request->digest + i;
}

/* Requests a second that the engines can carry, by the pool that limits. */
static double
capacity_per_s (const Deployment *deployment, bool *prefill_limits)
{
  uint64_t state = 7;
  double prefill = 0;
  double decode = 0;
  RigRequest request;

  for (int i = 0; i < 20000; i++)
    {
      draw_model (deployment, &state, &request);
      prefill += prefill_s (&request) / 20000;
      decode += decode_s (&request) / 20000;
    }
  *prefill_limits = deployment->n_prefill / prefill < deployment->n_decode * SLOTS / decode;
  return fmin (deployment->n_prefill / prefill, deployment->n_decode * SLOTS / decode);
}

static double
burst_factor (const Trial *trial, uint64_t at_us)
{
  if (trial->fault != FAULT_BURST)
    return 1;
  return at_us / MF_US_PER_S % 20 < 3 ? 1.8 : 0.86;
}

static void
send_all (Rig *rig, const Trial *trial, double per_s)
{
  uint64_t state = trial->seed;
  uint64_t end_us = rig_now_us (rig) + trial->length_us;
  double plain_per_s = 600 * trial->load;
  RigRequest request;

  for (uint64_t at_us = rig_now_us (rig); at_us < end_us;)
    {
      at_us += (uint64_t)(-log (uniform (&state)) * 1e6
                          / (per_s * trial->load * burst_factor (trial, at_us)));
      draw_model (trial->deployment, &state, &request);
      rig_send (rig, &request, at_us);
    }
  for (uint64_t at_us = rig_now_us (rig); at_us < end_us;)
    {
      at_us += (uint64_t)(-log (uniform (&state)) * 1e6 / plain_per_s);
      request = (RigRequest){ .service = uniform (&state) < 0.4 ? 1 : 2,
                              .core = (uint32_t)(uniform (&state) * N_CORES) };
      rig_send (rig, &request, at_us);
    }
}

static void
strike (Rig *rig, const Trial *trial)
{
  uint32_t decode = trial->deployment->n_prefill;

  if (trial->fault == FAULT_DEATH)
    {
      fake_engine_kill (rig_engine (rig, decode), rig_now_us (rig));
      rig_touch (rig, decode);
    }
  else if (trial->fault == FAULT_GRAY)
    fake_engine_slow (rig_engine (rig, decode), 30);
  else if (trial->fault == FAULT_LINK)
    fake_engine_stall_link (rig_engine (rig, 0), rig_now_us (rig),
                            rig_now_us (rig) + 10 * MF_US_PER_S);
}

static int
compare_double (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

static double
percentile (double *values, uint32_t n, double share)
{
  if (n == 0)
    return 0;
  qsort (values, n, sizeof *values, compare_double);
  return values[(uint32_t)(share * (n - 1))];
}

static bool
is_good (const RigRequest *request)
{
  MfService service = { .ttft_target_us = 1500 * MF_US_PER_MS };
  MfBurnSample sample = {
    .code = rig_is_whole (request) ? MF_CODE_OK : MF_CODE_INTERNAL,
    .ttft_us = request->first_us - request->sent_us,
    .n_gaps = request->n_gaps,
    .n_gaps_late = request->n_gaps_late,
  };

  return mf_burn_is_good (&service, &sample);
}

static void
count_plain (const RigRequest *request, Figures *figures, double *reads_ms, uint32_t *n_reads)
{
  if (request->service == 1)
    {
      if (rig_is_whole (request))
        reads_ms[(*n_reads)++] = (double)(request->ended_us - request->sent_us) / 1000;
      else
        figures->n_reads_lost++;
      return;
    }
  figures->n_orders_twice += request->n_runs > 1;
  figures->n_orders_lost += !rig_is_whole (request) && request->outcome == MF_OUTCOME_NOT_RUN
                            && request->n_runs > 0;
}

static void
count (Rig *rig, const Trial *trial, double per_s, bool prefill_limits, Figures *figures)
{
  uint32_t n = rig_request_count (rig);
  double *reads_ms = calloc (n, sizeof *reads_ms);
  double *ttfts_ms = calloc (n, sizeof *ttfts_ms);
  uint32_t n_reads = 0;
  uint32_t n_ttfts = 0;
  double window_s = (double)(trial->length_us - WARM_US) / 1e6;
  double whole_work = 0;
  uint64_t prefilled = 0;

  (void)per_s;
  for (uint32_t i = 0; i < n; i++)
    {
      const RigRequest *request = rig_request (rig, i);
      double work = prefill_limits ? prefill_s (request) / trial->deployment->n_prefill
                                   : decode_s (request) / (trial->deployment->n_decode * SLOTS);

      figures->n_broken += request->n_ends != 1 || request->garbled
                           || (request->outcome == MF_OUTCOME_NOT_RUN && request->code != MF_CODE_OK
                               && request->ran);
      if (request->sent_us < WARM_US + MF_US_PER_S)
        continue;
      if (request->service != 0)
        {
          count_plain (request, figures, reads_ms, &n_reads);
          continue;
        }
      figures->n_offered++;
      figures->offered_work += work / window_s;
      figures->n_whole += rig_is_whole (request);
      figures->n_refused += request->code != MF_CODE_OK;
      if (rig_is_whole (request))
        ttfts_ms[n_ttfts++] = (double)(request->first_us - request->sent_us) / 1000;
      whole_work += rig_is_whole (request) ? work / window_s : 0;
      if (!is_good (request))
        {
          if (getenv ("POLICY_BAD") != NULL)
            printf ("  bad %u at %.3f prompt %u code %u ttft %.0f tokens %u late %u/%u end %.3f\n", i,
                    (double)request->sent_us / 1e6, request->prompt_tokens, request->code,
                    (double)(request->first_us - request->sent_us) / 1e3, request->n_tokens,
                    request->n_gaps_late, request->n_gaps, (double)request->ended_us / 1e6);
          continue;
        }
      figures->n_good++;
      figures->good_work += work / window_s;
    }
  for (uint32_t i = 0; i < trial->deployment->n_prefill; i++)
    {
      const FakeLedger *ledger = fake_engine_ledger (rig_engine (rig, i));

      figures->wasted_tokens += ledger->wasted_prefill_tokens;
      prefilled += ledger->prefill_tokens;
    }
  figures->wasted_share = prefilled > 0 ? (double)figures->wasted_tokens / (double)prefilled : 0;
  figures->read_p99_ms = percentile (reads_ms, n_reads, 0.99);
  figures->ttft_p99_ms = percentile (ttfts_ms, n_ttfts, 0.99);
  figures->held = rig_held (rig);
  free (reads_ms);
  free (ttfts_ms);
}

static Figures
run_trial (const Trial *trial)
{
  static const char *const faults[] = { "none", "burst", "death", "gray", "link" };
  Figures figures = { 0 };
  bool prefill_limits;
  double per_s = capacity_per_s (trial->deployment, &prefill_limits);
  RigOptions options;
  Rig *rig;
  uint64_t start_us;

  rig_options (trial, &options);
  rig = rig_new (&options);
  start_us = rig_now_us (rig);
  send_all (rig, trial, per_s);
  rig_run (rig, start_us + trial->length_us / 2);
  for (int k = 0; k < 5 && getenv ("POLICY_CODES") != NULL; k++)
    {
      uint32_t used = 0;
      for (uint32_t i = trial->deployment->n_prefill; i < trial->deployment->n_prefill + trial->deployment->n_decode; i++)
        {
          MfLoadEvent load;
          fake_engine_load (rig_engine (rig, i), rig_now_us (rig) + 50000, &load);
          used += load.slots_used;
        }
      printf ("  used %u:", used);
      for (uint32_t c = 0; c < N_CORES; c++)
        {
          const MfPoolRow *w = &rig_core (rig, c)->board.services.pools[1];
          const MfPoolRow *q = &rig_core (rig, c)->board.services.pools[2];
          printf (" own %u coming %u window %u;", w->n_own, w->n_coming, w->window_milli);
          printf (" P%u/%u/%llu/%llu", q->n_own, q->window_milli, (unsigned long long)q->answer_us,  (unsigned long long)q->base_us);
        }
      printf ("\n");
      rig_run (rig, rig_now_us (rig) + 200000);
    }
  strike (rig, trial);
  rig_run (rig, start_us + trial->length_us + 70 * MF_US_PER_S);
  count (rig, trial, per_s, prefill_limits, &figures);
  printf ("%-8s %-5s load %.1f %-5s (%.1f/s) offered %5u good %.3f whole %.3f refused %.3f "
          "good/capacity %.3f wasted %.4f ttft99 %6.0f read99 %5.1f lost %u twice %u broken %u "
          "held %u\n",
          trial->deployment->name, trial->naive ? "naive" : "ours", trial->load,
          faults[trial->fault], per_s, figures.n_offered, (double)figures.n_good / figures.n_offered,
          (double)figures.n_whole / figures.n_offered,
          (double)figures.n_refused / figures.n_offered, figures.good_work, figures.wasted_share,
          figures.ttft_p99_ms, figures.read_p99_ms, figures.n_reads_lost, figures.n_orders_twice,
          figures.n_broken, figures.held);
  if (getenv ("POLICY_CODES") != NULL)
    {
      for (uint32_t i = 0; i < 3; i++)
        printf ("  plain runs %llu\n", (unsigned long long)rig_plain (rig, i)->n_runs);
      uint32_t by_code[10000] = { 0 };
      for (uint32_t i = 0; i < rig_request_count (rig); i++)
        if (rig_request (rig, i)->service == 0)
          by_code[rig_request (rig, i)->code]++;
      for (uint32_t i = 0; i < 10000; i++)
        if (by_code[i] > 0)
          printf ("  code %u: %u\n", i, by_code[i]);
      for (uint32_t c = 0; c < N_CORES; c++)
        {
          const MfCounters *k = &rig_core (rig, c)->board.counters;
          const MfPoolRow *w = &rig_core (rig, c)->board.services.pools[2];
          printf ("  plain core %u window %u own %u answer %llu base %llu drain %llu\n", c, w->window_milli, w->n_own, (unsigned long long)w->answer_us, (unsigned long long)w->base_us, (unsigned long long)rig_core (rig, c)->board.services.rows[1].drain_gap_us);
          w = &rig_core (rig, c)->board.services.pools[1];
          printf ("  core %u waits %llu mean %.1f ms\n", c, (unsigned long long)w->n_waits, w->n_waits ? (double)w->sum_wait_us / (double)w->n_waits / 1000 : 0);
          printf ("  core %u: retries %llu resumes %llu late %llu ejections %llu hedges %llu\n", c,
                  (unsigned long long)k->values[MF_COUNTER_RETRIES],
                  (unsigned long long)k->values[MF_COUNTER_RESUMES],
                  (unsigned long long)k->values[MF_COUNTER_LATE_DROPPED],
                  (unsigned long long)k->values[MF_COUNTER_EJECTIONS],
                  (unsigned long long)k->values[MF_COUNTER_HEDGES]);
        }
      for (uint32_t i = 0; i < trial->deployment->n_prefill + trial->deployment->n_decode; i++)
        {
          const FakeLedger *l = fake_engine_ledger (rig_engine (rig, i));
          const MfUpstream *u = &rig_core (rig, 0)->board.upstreams[i];
          printf ("  row %u rate %llu link %llu MB/s gap %llu window %u own %u gap_drain %llu\n", i, (unsigned long long)u->prefill_tokens_per_s, (unsigned long long)u->link_bytes_per_s / 1000000, (unsigned long long)u->token_gap_us, rig_core (rig, 0)->board.services.pools[1].window_milli, rig_core (rig, 0)->board.services.pools[1].n_own, (unsigned long long)rig_core (rig, 0)->board.services.rows[0].drain_gap_us);
          printf ("  engine %u: prefill %llu cached %llu wasted %llu tokens %llu refused %llu busy %.3f\n", i,
                  (unsigned long long)l->prefill_tokens, (unsigned long long)l->cached_tokens,
                  (unsigned long long)l->wasted_prefill_tokens, (unsigned long long)l->tokens,
                  (unsigned long long)l->refused, (double)l->busy_us / (double)trial->length_us);
        }
    }
  fflush (stdout);
  rig_free (rig);
  return figures;
}

int
main (int argc, char **argv)
{
  static const double loads[] = { 0.5, 0.8, 1.0, 1.3, 2.0 };
  Trial trial = { .seed = 1, .length_us = 60 * MF_US_PER_S };
  double only_load = 0;
  const char *only = NULL;

  for (int i = 1; i < argc; i++)
    {
      if (strcmp (argv[i], "--quick") == 0)
        trial.length_us = 30 * MF_US_PER_S;
      else if (strcmp (argv[i], "--seed") == 0 && i + 1 < argc)
        trial.seed = strtoull (argv[++i], NULL, 10);
      else if (strcmp (argv[i], "--cores") == 0 && i + 1 < argc)
        n_cores = (uint32_t)atoi (argv[++i]);
      else if (strcmp (argv[i], "--only") == 0 && i + 1 < argc)
        only = argv[++i];
      else if (strcmp (argv[i], "--load") == 0 && i + 1 < argc)
        only_load = strtod (argv[++i], NULL);
    }
  for (size_t d = 0; d < MF_ARRAY_LEN (deployments); d++)
    {
      trial.deployment = &deployments[d];
      if (only != NULL && strcmp (only, trial.deployment->name) != 0)
        continue;
      for (size_t l = 0; l < MF_ARRAY_LEN (loads); l++)
        {
          if (only_load != 0 && only_load != loads[l])
            continue;
          trial.load = loads[l];
          trial.naive = false;
          run_trial (&trial);
          trial.naive = true;
          run_trial (&trial);
        }
    }
  return 0;
}
