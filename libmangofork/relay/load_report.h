#ifndef MF_RELAY_LOAD_REPORT_H
#define MF_RELAY_LOAD_REPORT_H

#include "libmangofork/buffer.h"
#include "libmangofork/error.h"

/* Engines one report names; an instance uses fewer at once. */
#define MF_LOAD_ENTRIES_MAX 128
/* Other instances one report names. */
#define MF_LOAD_MEMBERS_MAX 400
/* Bytes of a report's payload at most. */
#define MF_LOAD_REPORT_BYTES_MAX 65536

/* What one instance has at one engine. */
typedef struct
{
  uint64_t upstream; /* hash of its id */
  uint32_t n_active; /* requests there or about to be */
  uint32_t tokens;   /* their engine memory, when they end */
} MfLoadEntry;

/* What an instance tells the others, as often as it changes and at each heartbeat. */
typedef struct
{
  char address[MF_ADDRESS_BYTES]; /* of the sender's port for instances */
  uint32_t heartbeat_ms;          /* the next comes within this time */
  MfLoadEntry entries[MF_LOAD_ENTRIES_MAX];
  uint32_t n_entries;
  char members[MF_LOAD_MEMBERS_MAX][MF_ADDRESS_BYTES]; /* other instances it knows */
  uint32_t n_members;
} MfLoadReport;

/* The hash under which reports name an upstream. */
uint64_t mf_load_hash (const char *upstream_id);
/* Adds a report as a frame: 4 bytes of length, then msgpack. */
void mf_load_report_encode (const MfLoadReport *report, MfBuffer *out);
/* Reads the payload of a frame; fields that are not known are passed over. */
bool mf_load_report_decode (const char *payload, size_t payload_bytes, MfLoadReport *report);

#endif
