#ifndef MF_RELAY_RELAY_MESSAGE_H
#define MF_RELAY_RELAY_MESSAGE_H

#include "dispatch.h"
#include "feed.h"

#include "libmangofork/suspect.h"

/* Bytes of a frame's payload at most. */
#define MF_RELAY_MESSAGE_BYTES_MAX 65536

/* What instances tell each other. */
typedef enum
{
  MF_RELAY_MESSAGE_REPORT = 1,       /* what the sender has at the engines */
  MF_RELAY_MESSAGE_SLOT_REQUEST = 2, /* for a place at an engine */
  MF_RELAY_MESSAGE_GRANT = 3,        /* of a place */
  MF_RELAY_MESSAGE_QUEUED = 4,       /* there is no place yet; the ask is kept */
  MF_RELAY_MESSAGE_CANCEL = 5,       /* of an ask */
  MF_RELAY_MESSAGE_GRANT_ACK = 6,    /* the next report includes this grant and those before it */
  MF_RELAY_MESSAGE_RETRY = 7,        /* may a request of this service be repeated */
  MF_RELAY_MESSAGE_RETRY_REPLY = 8,  /* the answer to that */
  MF_RELAY_MESSAGE_FEED = 9,         /* what the sender has read of the platform's store */
  MF_RELAY_MESSAGE_SUSPECTS = 10,    /* requests under which upstreams have ended */
} MfRelayMessageKind;

/* A repeat that is asked for, or the answer. */
typedef struct
{
  uint64_t id;
  char service[MF_NAME_BYTES]; /* REPEAT only */
  uint32_t n_sends;            /* REPEAT only: that it takes */
  bool is_done;                /* REPEAT only: they were sent, and are only to be counted */
  bool allowed;                /* ALLOW only */
} MfRetryRequest;

/* Suspect requests that one message tells of. */
#define MF_SUSPECT_ENTRIES_MAX 32

/* An upstream that ended under a request. Ages are counted at the sender. */
typedef struct
{
  uint64_t process;
  uint32_t sent_age_ms;
  uint32_t age_ms;
} MfSuspectEntryDeath;

/* A request under which upstreams have ended, as one instance knows of it. */
typedef struct
{
  uint64_t digest;
  bool cleared;           /* it has been answered since */
  uint32_t quarantine_ms; /* it is refused for so long from now; 0: it is not */
  MfSuspectEntryDeath deaths[MF_SUSPECT_DEATHS_MAX];
  uint32_t n_deaths;
} MfSuspectEntry;

typedef struct
{
  MfSuspectEntry entries[MF_SUSPECT_ENTRIES_MAX];
  uint32_t n_entries;
} MfSuspectUpdate;

typedef struct
{
  MfRelayMessageKind kind;
  MfLoadReport report;        /* REPORT */
  MfSlotRequest slot_request; /* ASK */
  MfRetryRequest retry;       /* REPEAT, ALLOW */
  MfFeed feed;                /* FEED */
  MfSuspectUpdate suspects;   /* SUSPECTS */
  MfGrant grant;              /* GRANT; of QUEUED, CANCEL and SEEN its id only */
} MfRelayMessage;

void mf_relay_message_encode (const MfRelayMessage *message, MfBuffer *out);
bool mf_relay_message_decode (const char *payload, size_t payload_bytes, MfRelayMessage *message);

#endif
