#ifndef MF_SUSPECT_H
#define MF_SUSPECT_H

#include "types.h"

/* Requests that may end the upstreams that run them, known by a digest that is the same for each
 * try of a request. A run that breaks waits here until it is known whether its upstream ended. All
 * times are given by the user, on one monotonic clock. */
typedef struct MfSuspects MfSuspects;

/* Deaths that convict in any case. */
#define MF_SUSPECT_DEATHS_MAX 3

typedef struct
{
  uint64_t break_us;        /* a break this long before the end of its upstream has to do with it */
  uint64_t two_deaths_us;   /* a request that was alone under suspicion is refused for so long */
  uint64_t three_deaths_us; /* one that has ended three upstreams */
} MfSuspectTerms;

/* A run that broke. */
typedef struct
{
  uint64_t digest;
  uint64_t request;  /* names the try */
  uint64_t upstream; /* where it ran; not 0 */
  uint64_t place;    /* where that stands; 0: not told */
  bool suspect;      /* it was known as a suspect when it was sent */
  uint64_t sent_us;
  uint64_t at_us;
} MfSuspectBreak;

/* An upstream that ended under a request. */
typedef struct
{
  uint64_t process; /* that ended; 0: not known here */
  uint64_t sent_us;
  uint64_t at_us;
} MfSuspectDeath;

typedef struct
{
  uint64_t digest;
  MfSuspectDeath deaths[MF_SUSPECT_DEATHS_MAX]; /* in their order */
  uint32_t n_deaths;
  uint32_t n_told; /* of these, told to other instances; kept for the user */
  uint64_t convicted_until_us;
  uint64_t at_us; /* the last news of it */
} MfSuspect;

/* What became of a break. */
typedef enum
{
  MF_SUSPECT_RELEASED,  /* the upstream lives, or nobody knows */
  MF_SUSPECT_KNOWN,     /* it ended, which tells nothing new of this request */
  MF_SUSPECT_COUNTED,   /* it ended, and that was counted */
  MF_SUSPECT_CONVICTED, /* the same, and the request is refused from now on */
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
