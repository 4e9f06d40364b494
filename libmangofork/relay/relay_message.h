#ifndef MF_RELAY_RELAY_MESSAGE_H
#define MF_RELAY_RELAY_MESSAGE_H

#include "dispatch.h"
#include "feed.h"
#include "listing.h"

#include "libmangofork/quota.h"
#include "libmangofork/rate_share.h"
#include "libmangofork/suspect.h"

/* Maximum payload bytes of a frame. */
#define MF_RELAY_MESSAGE_BYTES_MAX 65536

/* Kinds of messages between instances. */
typedef enum
{
  MF_RELAY_MESSAGE_UNKNOWN = 0,       /* of a newer release */
  MF_RELAY_MESSAGE_REPORT = 1,        /* load of the sender at the engines */
  MF_RELAY_MESSAGE_SLOT_REQUEST = 2,  /* for a slot at an engine */
  MF_RELAY_MESSAGE_GRANT = 3,         /* of a slot */
  MF_RELAY_MESSAGE_QUEUED = 4,        /* no slot is free; the request stays queued */
  MF_RELAY_MESSAGE_CANCEL = 5,        /* of a slot request */
  MF_RELAY_MESSAGE_GRANT_ACK = 6,     /* the next report includes this and all earlier grants */
  MF_RELAY_MESSAGE_RETRY = 7,         /* asks whether a request of a service may be sent again */
  MF_RELAY_MESSAGE_RETRY_REPLY = 8,   /* the answer to that */
  MF_RELAY_MESSAGE_FEED = 9,          /* changes that the sender has read from the platform store */
  MF_RELAY_MESSAGE_SUSPECTS = 10,     /* suspect requests and parts of prompts */
  MF_RELAY_MESSAGE_RATE_ASK = 11,     /* asks the allocator of a shared rate for units */
  MF_RELAY_MESSAGE_RATE_GRANT = 12,   /* the answer to that */
  MF_RELAY_MESSAGE_LIMITS = 13,       /* rate limits that upstreams have named, or ended */
  MF_RELAY_MESSAGE_REJECTED = 14,     /* no slot can be granted in time */
  MF_RELAY_MESSAGE_ORIGIN = 15,       /* which version has begun a stream */
  MF_RELAY_MESSAGE_ORIGIN_ASK = 16,   /* asks which version has begun a stream */
  MF_RELAY_MESSAGE_ORIGIN_REPLY = 17, /* the answer to that */
  MF_RELAY_MESSAGE_LISTINGS = 18,     /* upstreams that were removed or are leaving */
  MF_RELAY_MESSAGE_HISTORY = 19,      /* follows all suspects of the sender */
  MF_RELAY_MESSAGE_CONTENTS = 20,     /* suspect contents of requests */
  MF_RELAY_MESSAGE_QUOTA_ASK = 21,    /* asks the allocator of a customer's quota for units */
  MF_RELAY_MESSAGE_QUOTA_GRANT = 22,  /* the answer to that */
  MF_RELAY_MESSAGE_RETRY_RETURN = 23, /* a granted retry that no request uses */
} MfRelayMessageKind;

/* A request for permission to retry, its answer, or what is returned of that. */
typedef struct
{
  uint64_t id; /* not of RETRY_RETURN */
  char service[MF_NAME_BYTES];
  uint32_t n_sends;    /* sends that the retry takes */
  bool is_done;        /* RETRY only: already sent; they are only counted */
  bool allowed;        /* RETRY_REPLY only */
  uint64_t granted_us; /* RETRY_REPLY, RETRY_RETURN: when, on the leader's clock; 0: not known */
} MfRetryRequest;

/* Maximum suspect requests in one message. */
#define MF_SUSPECT_ENTRIES_MAX 32

/* An upstream that crashed while it ran a request. Ages are relative to the time of sending. */
typedef struct
{
  uint64_t process;
  uint64_t digest; /* of parts only, as is the caller */
  uint64_t caller;
  uint32_t sent_age_ms;
  uint32_t age_ms;
} MfSuspectEntryCrash;

/* A suspect request or part of prompts, which upstreams have crashed while running, as known to one
 * instance. */
typedef struct
{
  uint64_t digest;
  MfSuspectKind kind;
  bool cleared;          /* answered since then */
  bool quarantined;      /* of parts only, as are the following ones */
  bool was_sound;        /* an upstream has survived it */
  uint32_t sound_age_ms; /* since then */
  uint32_t depth;        /* its place in prompts */
  uint32_t n_failed_trials;
  uint32_t quarantine_ms; /* for this much longer; 0: it is not. Of a part: until its next trial */
  MfSuspectEntryCrash crashes[MF_SUSPECT_CRASHES_MAX];
  uint32_t n_crashes;
} MfSuspectEntry;

typedef struct
{
  MfSuspectEntry entries[MF_SUSPECT_ENTRIES_MAX];
  uint32_t n_entries;
} MfSuspectUpdate;

/* A request for units of a shared rate, or its answer. Sent with the ages of the times. */
typedef struct
{
  uint64_t id;       /* 0: needs no answer */
  MfRateAsk ask;     /* RATE_GRANT: its key only */
  MfRateGrant grant; /* RATE_GRANT only */
} MfRateMessage;

/* A request for units of a customer's quota, or its answer. */
typedef struct
{
  uint64_t id;        /* 0: needs no answer */
  MfQuotaAsk ask;     /* QUOTA_GRANT: its key and units only */
  MfQuotaGrant grant; /* QUOTA_GRANT only */
} MfQuotaMessage;

/* Maximum limits in one message. */
#define MF_LIMIT_ENTRIES_MAX 64

typedef struct
{
  uint64_t process; /* mf_target_process_id */
  MfRateNotice limit;
} MfLimitEntry;

typedef struct
{
  MfLimitEntry entries[MF_LIMIT_ENTRIES_MAX];
  uint32_t n_entries;
} MfLimitUpdate;

/* Maximum listings in one message. */
#define MF_LISTING_ROWS_MAX 64

typedef struct
{
  MfListing rows[MF_LISTING_ROWS_MAX];
  uint32_t n_rows;
} MfListingUpdate;

/* The software version that has begun a stream. */
typedef struct
{
  uint64_t id;                 /* ORIGIN_ASK, ORIGIN_REPLY */
  uint64_t stream;             /* ORIGIN, ORIGIN_ASK: hash that identifies it */
  char service[MF_NAME_BYTES]; /* ORIGIN_ASK */
  uint64_t begun_us;           /* ORIGIN_ASK: it has not begun before; sent as its age */
  /* ORIGIN_ASK: its own part of the prompt, a hash, and the part's tokens. With asks_engines, the
   * receiver is to ask the engines which of them hold it. */
  uint64_t part;
  uint64_t tokens;
  bool asks_engines;
  uint64_t version; /* ORIGIN, ORIGIN_REPLY: hash; 0: not known */
  /* ORIGIN_REPLY: no other version was in use then, as far as the sender knows; without a version,
   * the sender has queried no engines. */
  bool is_inferred;
} MfOriginMessage;

typedef struct
{
  MfRelayMessageKind kind;
  MfLoadReport report;        /* REPORT */
  MfSlotRequest slot_request; /* SLOT_REQUEST */
  MfRetryRequest retry;       /* RETRY, RETRY_REPLY */
  MfFeed feed;                /* FEED */
  MfSuspectUpdate suspects;   /* SUSPECTS, CONTENTS */
  MfRateMessage rate;         /* RATE_ASK, RATE_GRANT */
  MfQuotaMessage quota;       /* QUOTA_ASK, QUOTA_GRANT */
  MfLimitUpdate limits;       /* LIMITS */
  MfOriginMessage origin;     /* ORIGIN, ORIGIN_ASK, ORIGIN_REPLY */
  MfListingUpdate listings;   /* LISTINGS */
  uint64_t history_age_us;    /* HISTORY: earlier crashes may be unknown */
  MfGrant grant;              /* GRANT; QUEUED, CANCEL, GRANT_ACK, REJECTED use its id only */
  uint64_t wait_us;           /* REJECTED: until the queue of that time is served */
} MfRelayMessage;

void mf_relay_message_encode (const MfRelayMessage *message, MfBuffer *out);
bool mf_relay_message_decode (const char *payload, size_t payload_bytes, MfRelayMessage *message);

#endif
