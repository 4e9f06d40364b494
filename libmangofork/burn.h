#ifndef MF_BURN_H
#define MF_BURN_H

#include "config.h"

/* How one request ended, as the service-level report counts it. */
typedef struct
{
  uint32_t service;
  uint32_t customer; /* or MF_NONE */
  MfCode code;
  MfOutcome outcome;
  bool refused;         /* an honest refusal, counted apart from failures */
  bool departed;        /* the caller left; counts neither way */
  uint64_t ttft_us;     /* 0 when no token or answer came */
  uint32_t n_gaps;      /* gaps between tokens */
  uint32_t n_gaps_late; /* of them, longer than the service's target */
  uint32_t prefill_tokens;
  uint32_t wasted_prefill_tokens;
} MfBurnSample;

typedef struct MfBurn MfBurn;

/* Counts from now on. */
MfBurn *mf_burn_new (uint64_t now_us);
void mf_burn_free (MfBurn *burn);
void mf_burn_note (MfBurn *burn, const MfConfig *config, const MfBurnSample *sample,
                   uint64_t now_us);

/* Whether a request was good: whole, its first token in time and 95 in 100 gaps in time. The
 * program, the bench and the report share this definition. */
bool mf_burn_is_good (const MfService *service, const MfBurnSample *sample);

/* What is promised of a service, each with an error budget of its own. Failures and honest refusals
 * are told apart; both are held against the objective for availability. */
typedef enum
{
  MF_SLI_TTFT,
  MF_SLI_TBT,
  MF_SLI_AVAILABILITY, /* accepted and then answered in full */
  MF_SLI_REFUSALS,     /* not refused */
  MF_SLI_COUNT,
} MfSli;

/* Windows over which burn is told; alerts pair a short one with a long one. */
typedef enum
{
  MF_WINDOW_5M,
  MF_WINDOW_30M,
  MF_WINDOW_1H,
  MF_WINDOW_2H,
  MF_WINDOW_6H,
  MF_WINDOW_1D,
  MF_WINDOW_COUNT,
} MfWindow;

/* Whose requests a row counts. */
typedef enum
{
  MF_BURN_SERVICE,
  MF_BURN_CUSTOMER,
  MF_BURN_KIND_COUNT,
} MfBurnKind;

typedef struct
{
  uint64_t total[MF_SLI_COUNT];       /* requests that an objective applies to */
  uint64_t bad[MF_SLI_COUNT];         /* of them, those that missed it */
  uint64_t allowed_ppm[MF_SLI_COUNT]; /* misses the objectives allow, in millionths of a request */
  uint64_t good;                      /* met both latency targets */
  uint64_t refused;                   /* honest refusals: nothing ran */
  uint64_t departed;                  /* the caller left */
} MfBurnCounts;

/* Adds up a row's counts over a window, or since this process started for MF_WINDOW_COUNT; those of
 * peers as well when with_peers. A row without counts is all zero. */
void mf_burn_counts (const MfBurn *burn, MfBurnKind kind, uint64_t name_hash, MfWindow window,
                     bool with_peers, uint64_t now_us, MfBurnCounts *counts);
/* How fast the error budget is spent; 1 spends it exactly over the objective's period. */
double mf_burn_rate (const MfBurnCounts *counts, MfSli sli);

/* An alert fires while both of its windows burn at least this fast. */
typedef struct
{
  MfWindow short_window;
  MfWindow long_window;
  double rate;
  const char *name;
} MfBurnAlert;

#define MF_BURN_ALERTS 3
extern const MfBurnAlert mf_burn_alerts[MF_BURN_ALERTS];

const char *mf_sli_name (MfSli sli);
const char *mf_window_name (MfWindow window);
uint64_t mf_window_us (MfWindow window);

/* A peer whose counts are merged into the rows. */
typedef struct
{
  MfInstanceId owner;
  uint64_t first_us; /* its counts are merged from here on */
  uint64_t last_us;  /* when it was last heard */
} MfBurnPeer;

typedef bool (*MfBurnPeerFunc) (const MfBurnPeer *peer, void *data);

void mf_burn_foreach_peer (const MfBurn *burn, MfBurnPeerFunc func, void *data);
/* Rows of peers that found no room and are missing from the sums. */
uint64_t mf_burn_missed (const MfBurn *burn);
/* When counting began. */
uint64_t mf_burn_started_us (const MfBurn *burn);

/* Encodes this instance's rows that changed since the last call, for the digest to peers, at most
 * max_bytes. Rows hold all counts since the start, so that one that is lost is made good by the
 * next. Returns the bytes written. */
size_t mf_burn_pack (MfBurn *burn, uint64_t now_us, uint8_t *dst, size_t max_bytes);
/* Takes in what a peer packed. Malformed input is ignored and returns false. */
bool mf_burn_merge (MfBurn *burn, const MfInstanceId *peer, const uint8_t *src, size_t src_bytes,
                    uint64_t now_us);

#endif
