#ifndef MF_SUSPECT_H
#define MF_SUSPECT_H

#include "part.h"

/* Tracks requests, and parts of prompts, that may crash the upstreams that run them ("poison"). A
 * request is identified by a digest that is the same for each of its attempts, a part by its hash.
 * The content of a request is tracked as well, as many callers may send the same one: like a part
 * it is released by an upstream that survives it, and is tried again from time to time.
 * A failed call is kept here until it is known whether its upstream crashed. The caller passes in
 * all times, read from one monotonic clock. */
typedef struct MfSuspects MfSuspects;

/* Crashes kept of one suspect, the latest ones. */
#define MF_SUSPECT_CRASHES_MAX 8

typedef enum
{
  MF_SUSPECT_REQUEST, /* of one caller */
  MF_SUSPECT_PART,    /* of prompts */
  MF_SUSPECT_CONTENT, /* a request, whoever sends it; tracked like a part */
} MfSuspectKind;

typedef struct
{
  uint64_t crash_window_us; /* a failure counts as caused by a crash at most this long after it */
  uint64_t
      two_crashes_quarantine_us; /* quarantine after two crashes, the last without other suspects */
  uint64_t three_crashes_quarantine_us; /* quarantine after three crashes */
  /* Quarantine after one sufficient crash, if another request was sent to the upstream later. */
  uint64_t beside_quarantine_us;
  uint64_t trial_interval_us; /* from the quarantine of a part to its first trial */
} MfSuspectLimits;

/* A call that failed. */
typedef struct
{
  uint64_t digest;
  uint64_t request_id;    /* identifies the attempt */
  uint64_t upstream_id;   /* that ran it; not 0 */
  uint64_t address_hash;  /* of the upstream; 0 when unknown */
  uint64_t caller;        /* hash of the caller's host */
  uint64_t content;       /* hash of the request whoever sends it; 0: not tracked */
  MfParts parts;          /* of the prompt; none once the answer has begun */
  uint64_t trial_part;    /* the quarantined part that the attempt was the trial of; 0: none */
  uint64_t trial_content; /* the content likewise; 0: none */
  bool was_suspect;       /* the request was already a suspect when it was sent */
  bool is_sufficient;     /* one crash is enough: earlier ones may have been lost */
  bool is_sufficient_for_parts; /* the same for the best suspect among the parts */
  uint64_t sent_us;
  uint64_t failed_us;
} MfSuspectFailure;

/* An upstream that crashed while it ran a request. */
typedef struct
{
  uint64_t process_id; /* that crashed; 0 when another instance reported it */
  uint64_t digest;     /* of the request; used for parts only, as is the caller */
  uint64_t caller;
  uint64_t sent_us;
  uint64_t at_us;
} MfSuspectCrash;

/* What is known of a part or a content only. */
typedef struct
{
  uint32_t depth;           /* its place in the prompt */
  uint64_t sound_us;        /* an upstream was last seen to survive it; 0: never */
  uint64_t quarantined_us;  /* start of the quarantine, which only a sound answer ends; 0: none */
  uint64_t only_caller;     /* the quarantine is for this caller only; 0: for all */
  uint32_t n_quarantines;   /* ever, including the present one, without provisional ones */
  bool is_provisional;      /* quarantined for fewer crashes, as earlier ones may be unknown */
  bool is_unreported;       /* other instances do not know all crashes; reset by the caller */
  bool is_recorded;         /* the quarantine has been logged; set by the caller */
  bool is_own;              /* it was found here, not by a peer; likewise */
  bool is_disputed;         /* a peer refuses it, and is known to be wrong; likewise */
  uint32_t n_failed_trials; /* upstreams that crashed under it during the quarantine */
  uint64_t tried_by;        /* peer that has begun a trial; 0: none known; set by the caller */
} MfSuspectPart;

typedef struct
{
  uint64_t digest; /* hash of the part */
  MfSuspectKind kind;
  MfSuspectCrash crashes[MF_SUSPECT_CRASHES_MAX]; /* oldest first */
  uint32_t n_crashes;
  uint32_t n_reported;           /* of these, reported to other instances; set by the caller */
  uint64_t quarantined_until_us; /* of a part: the next trial is due then */
  uint64_t at_us;                /* last update */
  MfSuspectPart part;
} MfSuspect;

/* How a failed call was resolved. */
typedef enum
{
  MF_SUSPECT_UNRELATED,   /* the upstream is alive, or its state stayed unknown */
  MF_SUSPECT_DUPLICATE,   /* the upstream crashed, but that crash adds no evidence */
  MF_SUSPECT_COUNTED,     /* the upstream crashed, and the crash was counted */
  MF_SUSPECT_QUARANTINED, /* the crash was counted, and the request is refused from now on */
} MfSuspectResult;

typedef enum
{
  MF_SUSPECT_PART_ALLOWED,
  MF_SUSPECT_PART_REFUSED,
  MF_SUSPECT_PART_TRIAL_DUE, /* refused, but one request may show whether it is still deadly */
} MfSuspectVerdict;

typedef void (*MfSuspectFailureFunc) (void *data, const MfSuspectFailure *failure,
                                      MfSuspectResult result);
typedef bool (*MfSuspectFunc) (void *data, const MfSuspect *suspect);

MfSuspects *mf_suspects_new (const MfSuspectLimits *limits);
void mf_suspects_free (MfSuspects *suspects);

MfSuspect *mf_suspects_find (const MfSuspects *suspects, uint64_t digest, uint64_t now_us);
bool mf_suspects_is_quarantined (const MfSuspects *suspects, uint64_t digest, uint64_t now_us);
void mf_suspects_foreach (const MfSuspects *suspects, uint64_t now_us, MfSuspectFunc func,
                          void *data);

bool mf_suspects_add_failure (MfSuspects *suspects, const MfSuspectFailure *failure);
bool mf_suspects_withdraw_failure (MfSuspects *suspects, uint64_t request_id, uint64_t upstream_id,
                                   MfSuspectFailure *failure);
uint32_t mf_suspects_n_failures (const MfSuspects *suspects);
void mf_suspects_upstream_crashed (MfSuspects *suspects, uint64_t upstream_id, uint64_t process_id,
                                   uint64_t now_us, MfSuspectFailureFunc func, void *data);
void mf_suspects_address_reused (MfSuspects *suspects, uint64_t address_hash, uint64_t successor,
                                 uint64_t now_us, MfSuspectFailureFunc func, void *data);
void mf_suspects_upstream_alive (MfSuspects *suspects, uint64_t upstream_id, uint64_t before_us,
                                 MfSuspectFailureFunc func, void *data);
void mf_suspects_expire_failures (MfSuspects *suspects, uint64_t before_us,
                                  MfSuspectFailureFunc func, void *data);

MfSuspectResult mf_suspects_add_crash (MfSuspects *suspects, uint64_t digest,
                                       const MfSuspectCrash *crash, bool isolated, uint64_t now_us);
void mf_suspects_raise_crashes (MfSuspects *suspects, uint64_t digest, uint32_t n_crashes,
                                uint64_t now_us);
bool mf_suspects_quarantine (MfSuspects *suspects, uint64_t digest, uint64_t until_us,
                             uint64_t now_us);
bool mf_suspects_remove (MfSuspects *suspects, uint64_t digest);
void mf_suspects_note_answered (MfSuspects *suspects, uint64_t digest);
bool mf_suspects_was_answered (const MfSuspects *suspects, uint64_t digest);

/* suspect_part.c: parts of prompts and contents of requests. */
MfSuspectResult mf_suspects_add_part_crash (MfSuspects *suspects, uint64_t part, uint32_t depth,
                                            const MfSuspectCrash *crash, uint64_t now_us);
void mf_suspects_add_part_crashes (MfSuspects *suspects, const MfParts *parts,
                                   const MfSuspectCrash *crash, bool is_sufficient,
                                   uint64_t now_us);
MfSuspectResult mf_suspects_add_content_crash (MfSuspects *suspects, uint64_t content,
                                               const MfSuspectCrash *crash, bool is_isolated,
                                               bool is_sufficient, uint64_t now_us);
bool mf_suspects_is_suspect_content (const MfSuspects *suspects, uint64_t content, uint64_t now_us);
bool mf_suspects_note_sound (MfSuspects *suspects, MfSuspectKind kind, uint64_t part,
                             uint64_t sound_us, uint64_t now_us);
MfSuspectVerdict mf_suspects_judge_part (MfSuspects *suspects, uint64_t part, uint64_t caller,
                                         uint64_t now_us);
void mf_suspects_start_trial (MfSuspects *suspects, uint64_t part, uint64_t now_us);
void mf_suspects_void_trial (MfSuspects *suspects, uint64_t part, uint64_t now_us);
void mf_suspects_merge_part (MfSuspects *suspects, const MfSuspect *reported, uint64_t now_us);
bool mf_suspects_part_is_quarantined (const MfSuspects *suspects, uint64_t part, uint64_t now_us);

#endif
