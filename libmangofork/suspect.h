#ifndef MF_SUSPECT_H
#define MF_SUSPECT_H

#include "types.h"

/* Tracks requests that may crash the upstreams that run them ("poison" requests). A request is
 * identified by a digest that is the same for each of its attempts. A failed call is kept here
 * until it is known whether its upstream died. The caller passes in all times, read from one
 * monotonic clock. */
typedef struct MfSuspects MfSuspects;

/* Deaths after which a request is quarantined even if other suspects ran at the same upstreams. */
#define MF_SUSPECT_DEATHS_MAX 3

typedef struct
{
  uint64_t break_us;        /* a failure counts as caused by a death at most this long after it */
  uint64_t two_deaths_us;   /* quarantine after two deaths, the last without other suspects */
  uint64_t three_deaths_us; /* quarantine after three deaths */
} MfSuspectTerms;

/* A call that failed. */
typedef struct
{
  uint64_t digest;
  uint64_t request;  /* identifies the attempt */
  uint64_t upstream; /* that ran it; not 0 */
  uint64_t place;    /* of the upstream; 0 when unknown */
  bool suspect;      /* the request was a suspect when it was sent */
  uint64_t sent_us;
  uint64_t at_us;
} MfSuspectBreak;

/* An upstream that died while it ran a request. */
typedef struct
{
  uint64_t process; /* that died; 0 when another instance reported it */
  uint64_t sent_us;
  uint64_t at_us;
} MfSuspectDeath;

typedef struct
{
  uint64_t digest;
  MfSuspectDeath deaths[MF_SUSPECT_DEATHS_MAX]; /* oldest first */
  uint32_t n_deaths;
  uint32_t n_told; /* of these, reported to other instances; set by the caller */
  uint64_t convicted_until_us;
  uint64_t at_us; /* last update */
} MfSuspect;

/* How a failed call was resolved. */
typedef enum
{
  MF_SUSPECT_RELEASED,  /* the upstream is alive, or its state stayed unknown */
  MF_SUSPECT_KNOWN,     /* the upstream died, but that death adds no evidence */
  MF_SUSPECT_COUNTED,   /* the upstream died, and the death was counted */
  MF_SUSPECT_CONVICTED, /* the death was counted, and the request is refused from now on */
} MfSuspectVerdict;

typedef void (*MfSuspectBreakFunc) (void *data, const MfSuspectBreak *broken,
                                    MfSuspectVerdict verdict);
typedef bool (*MfSuspectFunc) (void *data, const MfSuspect *suspect);

MfSuspects *mf_suspects_new (const MfSuspectTerms *terms);
void mf_suspects_free (MfSuspects *suspects);

MfSuspect *mf_suspects_find (const MfSuspects *suspects, uint64_t digest, uint64_t now_us);
bool mf_suspects_is_convicted (const MfSuspects *suspects, uint64_t digest, uint64_t now_us);
void mf_suspects_foreach (const MfSuspects *suspects, uint64_t now_us, MfSuspectFunc func,
                          void *data);

bool mf_suspects_add_break (MfSuspects *suspects, const MfSuspectBreak *broken);
uint32_t mf_suspects_n_breaks (const MfSuspects *suspects);
void mf_suspects_end_upstream (MfSuspects *suspects, uint64_t upstream, uint64_t process,
                               uint64_t now_us, MfSuspectBreakFunc func, void *data);
void mf_suspects_end_place (MfSuspects *suspects, uint64_t place, uint64_t successor,
                            uint64_t now_us, MfSuspectBreakFunc func, void *data);
void mf_suspects_release_upstream (MfSuspects *suspects, uint64_t upstream, uint64_t before_us,
                                   MfSuspectBreakFunc func, void *data);
void mf_suspects_release_before (MfSuspects *suspects, uint64_t before_us, MfSuspectBreakFunc func,
                                 void *data);

MfSuspectVerdict mf_suspects_add_death (MfSuspects *suspects, uint64_t digest,
                                        const MfSuspectDeath *death, bool apart, uint64_t now_us);
void mf_suspects_raise (MfSuspects *suspects, uint64_t digest, uint32_t n_deaths, uint64_t now_us);
bool mf_suspects_convict (MfSuspects *suspects, uint64_t digest, uint64_t until_us,
                          uint64_t now_us);
bool mf_suspects_clear (MfSuspects *suspects, uint64_t digest);

#endif
