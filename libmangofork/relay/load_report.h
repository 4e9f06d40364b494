#ifndef MF_RELAY_LOAD_REPORT_H
#define MF_RELAY_LOAD_REPORT_H

#include "libmangofork/types.h"

/* Maximum upstreams in one report; an instance uses fewer than this at a time. */
#define MF_LOAD_ENTRIES_MAX 128
/* Maximum other instances in one report. */
#define MF_LOAD_MEMBERS_MAX 512

/* Reachability of an upstream, as one instance has seen it lately. */
typedef enum
{
  MF_REACHABILITY_UNKNOWN,     /* nothing to report */
  MF_REACHABILITY_ANSWERING,   /* recent signs of life */
  MF_REACHABILITY_UNREACHABLE, /* connecting failed: the upstream or the network path is down */
  MF_REACHABILITY_REPLACED,    /* another process answered at its address */
} MfReachability;
#define MF_REACHABILITY_LAST MF_REACHABILITY_REPLACED

/* Load of one instance at one upstream, and its view of the upstream. */
typedef struct
{
  uint64_t upstream;        /* hash of its id */
  uint32_t n_active;        /* running and reserved requests */
  uint32_t tokens;          /* expected KV use of these requests */
  uint32_t failure_percent; /* share of the recent requests there that failed */
  MfReachability reachability;
  uint32_t avoided_ms; /* unreachable or replaced: the sender avoids it for this much longer */
} MfLoadEntry;

/* Maximum votes for leaders in one report. */
#define MF_LOAD_VOTES_MAX 8

/* The sender's vote for the leader of a service. */
typedef struct
{
  uint64_t service; /* hash of its name */
  uint64_t leader;  /* hash of the instance's address */
  uint64_t fence;   /* highest fencing token of its orders known to the sender; 0: none */
} MfLeaderVote;

/* The report that an instance sends to the others. */
typedef struct
{
  char address[MF_ADDRESS_BYTES]; /* at which the sender accepts connections of other instances */
  uint32_t heartbeat_ms;          /* the next report is sent within this time */
  uint16_t data_centre;           /* hash of the name of the sender's data centre */
  MfLoadEntry entries[MF_LOAD_ENTRIES_MAX];
  uint32_t n_entries;
  MfLeaderVote votes[MF_LOAD_VOTES_MAX];
  uint32_t n_votes;
  char members[MF_LOAD_MEMBERS_MAX][MF_ADDRESS_BYTES]; /* other instances known to the sender */
  uint32_t n_members;
} MfLoadReport;

uint64_t mf_load_hash (const char *name);

#endif
