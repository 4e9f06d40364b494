#ifndef MF_RELAY_LOAD_REPORT_H
#define MF_RELAY_LOAD_REPORT_H

#include "libmangofork/types.h"

/* Upstreams one report names; an instance uses fewer at once. */
#define MF_LOAD_ENTRIES_MAX 128
/* Other instances one report names. */
#define MF_LOAD_MEMBERS_MAX 512

/* What an instance has lately met with at an upstream. */
typedef enum
{
  MF_REACHABILITY_UNKNOWN,     /* nothing that others need to know */
  MF_REACHABILITY_ANSWERING,   /* signs of life */
  MF_REACHABILITY_UNREACHABLE, /* no connection: the upstream, or the way to it, is down */
  MF_REACHABILITY_REPLACED,    /* another process answered at its address */
} MfReachability;
#define MF_REACHABILITY_LAST MF_REACHABILITY_REPLACED

/* What one instance has at one upstream, and what it thinks of it. */
typedef struct
{
  uint64_t upstream;        /* hash of its id */
  uint32_t n_active;        /* requests there or about to be */
  uint32_t tokens;          /* the engine memory they are reckoned to need */
  uint32_t failure_percent; /* of the requests sent there lately */
  MfReachability reachability;
  uint32_t avoided_ms; /* unreached or replaced: the sender uses it again after this time */
} MfLoadEntry;

/* Services that an instance names a leader for in one report. */
#define MF_LOAD_VOTES_MAX 8

/* The instance that the sender asks to decide about a service. */
typedef struct
{
  uint64_t service; /* hash of its name */
  uint64_t leader;  /* hash of the instance's address */
  uint64_t fence;   /* the highest of an order for this service that the sender knows of; 0: none */
} MfLeaderVote;

/* What an instance tells the others. */
typedef struct
{
  char address[MF_ADDRESS_BYTES]; /* of the sender's port for instances */
  uint32_t heartbeat_ms;          /* the next comes within this time */
  uint16_t data_centre;           /* hash of the sender's */
  MfLoadEntry entries[MF_LOAD_ENTRIES_MAX];
  uint32_t n_entries;
  MfLeaderVote votes[MF_LOAD_VOTES_MAX];
  uint32_t n_votes;
  char members[MF_LOAD_MEMBERS_MAX][MF_ADDRESS_BYTES]; /* other instances it knows */
  uint32_t n_members;
} MfLoadReport;

uint64_t mf_load_hash (const char *name);

#endif
