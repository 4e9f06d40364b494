#ifndef MF_BURN_H
#define MF_BURN_H

#include "config.h"

/* The outcome of one request, as counted for the service-level objectives. */
typedef struct
{
  uint32_t service;
  uint32_t customer; /* or MF_NONE */
  MfCode code;
  MfOutcome outcome;
  bool refused;     /* ended with an error before any output; counts as a refusal if nothing ran */
  bool departed;    /* the caller disconnected; counts for no objective */
  uint64_t ttft_us; /* 0 when there was no token or answer */
  uint32_t n_gaps;  /* gaps between tokens */
  uint32_t n_gaps_late; /* of these, longer than the service's tbt_target_us */
  uint32_t prefill_tokens;
  uint32_t wasted_prefill_tokens;
} MfBurnSample;

/* Error budgets: requests of each service and customer that met or missed each objective, over
 * several time windows, for this instance and together with its peers. */
typedef struct MfBurn MfBurn;

/* Counting starts at now_us. */
MfBurn *mf_burn_new (uint64_t now_us);
void mf_burn_free (MfBurn *burn);
void mf_burn_record (MfBurn *burn, const MfConfig *config, const MfBurnSample *sample,
                     uint64_t now_us);

/* Whether a request was good: answered in full, its first token in time and at least 95 % of the
 * gaps between tokens in time. The program, the bench and the report share this definition. */
bool mf_burn_is_good (const MfService *service, const MfBurnSample *sample);

/* Service-level indicators, each with its own error budget. Failures and refusals are counted
 * apart; both are measured against the availability objective. */
typedef enum
{
  MF_SLI_TTFT,
  MF_SLI_TBT,
  MF_SLI_AVAILABILITY, /* answered in full; refused requests do not count */
  MF_SLI_REFUSALS,     /* not refused */
  MF_SLI_COUNT,
} MfSli;

/* Windows over which burn rates are computed; an alert combines a short one with a long one. */
typedef enum
{
  MF_BURN_WINDOW_5M,
  MF_BURN_WINDOW_30M,
  MF_BURN_WINDOW_1H,
  MF_BURN_WINDOW_2H,
  MF_BURN_WINDOW_6H,
  MF_BURN_WINDOW_1D,
  MF_BURN_WINDOW_COUNT,
} MfBurnWindow;

/* What a row of counts is kept for. */
typedef enum
{
  MF_BURN_SERVICE,
  MF_BURN_CUSTOMER,
  MF_BURN_KIND_COUNT,
} MfBurnKind;

typedef struct
{
  uint64_t total[MF_SLI_COUNT]; /* requests that an objective applies to */
  uint64_t bad[MF_SLI_COUNT];   /* of these, those that missed it */
  uint64_t
      allowed_ppm[MF_SLI_COUNT]; /* misses that the objective allows, in millionths of a request */
  uint64_t good;                 /* met both latency targets */
  uint64_t refused;              /* ended with an error although nothing ran */
  uint64_t departed;             /* the caller disconnected */
} MfBurnCounts;

/* Sums the counts of a row over a window; MF_BURN_WINDOW_COUNT stands for the time since this
 * process started. with_peers adds the counts of peers, except for MF_BURN_WINDOW_COUNT. An unknown
 * row counts nothing. */
void mf_burn_counts (const MfBurn *burn, MfBurnKind kind, uint64_t name_hash, MfBurnWindow window,
                     bool with_peers, uint64_t now_us, MfBurnCounts *counts);
/* Returns the rate at which the error budget is spent: misses over misses allowed. At 1 the budget
 * is used up exactly at the end of the objective's period. */
double mf_burn_rate (const MfBurnCounts *counts, MfSli sli);

/* An alert fires while the burn rates of both windows are at least rate. */
typedef struct
{
  MfBurnWindow short_window;
  MfBurnWindow long_window;
  double rate;
  const char *name;
} MfBurnAlert;

#define MF_BURN_ALERT_COUNT 3
extern const MfBurnAlert mf_burn_alerts[MF_BURN_ALERT_COUNT];

const char *mf_sli_name (MfSli sli);
const char *mf_burn_window_name (MfBurnWindow window);
uint64_t mf_burn_window_us (MfBurnWindow window);

/* A peer whose counts are merged into the rows. */
typedef struct
{
  MfInstanceId peer;
  uint64_t merged_since_us; /* when its first digest was merged */
  uint64_t last_seen_us;    /* when its last digest was merged */
} MfBurnPeer;

typedef bool (*MfBurnPeerFunc) (const MfBurnPeer *peer, void *data);

void mf_burn_foreach_peer (const MfBurn *burn, MfBurnPeerFunc func, void *data);
/* Returns how many updates were left out of the sums because a table was full or memory ran out. */
uint64_t mf_burn_n_rows_missed (const MfBurn *burn);
/* Returns when counting started. */
uint64_t mf_burn_started_us (const MfBurn *burn);

/* Encodes this instance's rows that changed since the last call into at most max_bytes, for the
 * digest to peers. Rows hold the totals since the start, so the next row makes up for a lost one.
 * Returns the bytes written. */
size_t mf_burn_pack (MfBurn *burn, uint64_t now_us, uint8_t *dst, size_t max_bytes);
/* Merges rows that a peer packed. Ignores malformed input and returns false. */
bool mf_burn_merge (MfBurn *burn, const MfInstanceId *peer, const uint8_t *src, size_t src_bytes,
                    uint64_t now_us);

#endif
