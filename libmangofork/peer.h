#ifndef MF_PEER_H
#define MF_PEER_H

#include "types.h"

/* Gossip items in one digest. */
#define MF_GOSSIP_PER_DIGEST_MAX 64
/* Bytes of one frame. */
#define MF_FRAME_BYTES_MAX (2 * 1024 * 1024)
#define MF_VOTERS_PER_KEY_MAX 7
/* A recorded answer longer than this is not sent to other instances. */
#define MF_RECORDED_ANSWER_BYTES_MAX 16384

/* Types of the messages between instances; the values are sent on the wire. */
typedef enum
{
  MF_PEER_DIGEST,         /* periodic: heartbeat, gossip, load, revision */
  MF_PEER_CONFIG_REQUEST, /* requests the configuration if it is newer than the requester's */
  MF_PEER_CONFIG,         /* a configuration and its revision */
  MF_PEER_CLAIM,          /* requests a vote for the only run of an idempotency key */
  MF_PEER_VOTE,
  MF_PEER_OUTCOME, /* the outcome of a claim */
  MF_PEER_OUTCOME_REQUEST,
  MF_PEER_ADMIT, /* a new incarnation requests admission to its cell of voters */
  MF_PEER_ADMITTED,
  MF_PEER_LIST_REQUEST, /* requests the list of instances if it is newer than the requester's */
  MF_PEER_LIST,
  MF_PEER_MESSAGE_COUNT,
} MfPeerMessageType;

/* Kinds of gossip; the values are sent on the wire. */
typedef enum
{
  MF_GOSSIP_UPSTREAM_LEAVING, /* subject: hash of the upstream's name; value: its incarnation */
  MF_GOSSIP_UPSTREAM_DEAD, /* subject: hash of the upstream's name; value: incarnation that died */
  MF_GOSSIP_REQUEST_SUSPECT,     /* subject: digest of the request; value: number of deaths */
  MF_GOSSIP_REQUEST_QUARANTINED, /* subject: digest of the request */
  MF_GOSSIP_INSTANCE_DEAD,       /* subject: hash of the instance's name; value: its incarnation */
  MF_GOSSIP_FENCE,               /* subject: hash of the upstream's name; value: fencing token */
  MF_GOSSIP_INSTANCE_SUSPECT,    /* as INSTANCE_DEAD: it sends no messages */
  MF_GOSSIP_INSTANCE_ALIVE,      /* as INSTANCE_DEAD: it sent a message, or refutes itself */
  MF_GOSSIP_KIND_COUNT,
} MfGossipKind;

typedef struct
{
  MfGossipKind kind;
  uint64_t subject;
  uint64_t value;
  uint32_t age_ms; /* since it was first published, summed over hops */
} MfGossip;

/* Slots of one upstream that an instance uses, and those that it would use without a limit. */
typedef struct
{
  uint64_t upstream; /* hash of the name */
  uint16_t slots_used;
  uint16_t slots_wanted;
} MfShare;

#define MF_SHARES_PER_DIGEST_MAX 64

typedef struct
{
  uint64_t sequence;
  uint64_t config_revision;
  uint64_t list_index;
  bool leaving;
  bool admitted;
  MfGossip gossip[MF_GOSSIP_PER_DIGEST_MAX];
  uint32_t n_gossip;
  MfShare shares[MF_SHARES_PER_DIGEST_MAX];
  uint32_t n_shares;
  const uint8_t *burn; /* encoded by mf_burn_pack; may be NULL */
  uint32_t burn_bytes;
  bool guardian; /* the receiver cancels the sender's work at the upstreams when the sender dies */
} MfDigestMessage;

typedef struct
{
  uint64_t revision;
  const char *text; /* borrowed; complete, or what replaces the middle of the base */
  uint32_t text_bytes;
  uint64_t base_revision;  /* 0 when text is complete */
  uint32_t prefix_bytes;   /* of the base, kept before text */
  uint32_t suffix_bytes;   /* of the base, kept after text */
  uint64_t full_text_hash; /* of the complete text */
} MfConfigMessage;

/* An instance as the platform lists it. */
typedef struct
{
  char name[MF_NAME_BYTES];
  char address[MF_ADDRESS_BYTES]; /* of its peer port */
  char data_centre[MF_NAME_BYTES];
  bool leaving;
} MfListedInstance;

typedef struct
{
  uint64_t index;
  const MfListedInstance *listed; /* borrowed */
  uint32_t n_listed;
} MfListMessage;

/* The state of an idempotency key as known to a voter or claimant. */
typedef enum
{
  MF_KEY_NONE,
  MF_KEY_RUNNING,
  MF_KEY_FINISHED,
  MF_KEY_UNKNOWN,
} MfKeyState;

typedef struct
{
  uint64_t claim_id; /* assigned by the claimant; matches votes to the claim */
  uint8_t key[MF_DIGEST_BYTES];
  uint64_t body_digest;
  uint64_t key_created_ms;
  uint64_t epoch; /* of the set of voters */
  MfInstanceId claimant;
} MfClaimMessage;

typedef struct
{
  uint64_t claim_id;
  uint8_t key[MF_DIGEST_BYTES];
  bool granted;
  bool abstained;
  bool forgotten; /* the voter never votes on this key: its record of so old a key may be lost */
  bool body_differs;
  MfInstanceId holder; /* the claimant that holds the key, when not granted */
  uint64_t holder_claim_id;
  MfKeyState state;
  MfInstanceId
      view[MF_VOTERS_PER_KEY_MAX]; /* highest known incarnation of each voter of the cell */
  uint32_t n_view;
} MfVoteMessage;

typedef struct
{
  uint8_t key[MF_DIGEST_BYTES];
  uint64_t body_digest;
  MfInstanceId claimant;
  uint64_t claim_id;
  MfKeyState state;
  uint16_t status;
  uint32_t code;            /* MfCode */
  const char *content_type; /* borrowed; NULL when no answer is recorded */
  const char *body;         /* borrowed */
  uint32_t body_bytes;
} MfOutcomeMessage;

/* A key record sent to a voter that requests admission. */
typedef struct
{
  uint8_t key[MF_DIGEST_BYTES];
  uint64_t body_digest;
  MfInstanceId holder;
  uint64_t claim_id;
  MfKeyState state;
  uint32_t age_ms;
} MfKeyRecord;

typedef struct
{
  uint64_t admit_id;
  uint64_t epoch;
  MfInstanceId applicant;
} MfAdmitMessage;

typedef struct
{
  uint64_t admit_id;
  bool agreed;
  bool voter_admitted;          /* whether the voter that answers is admitted itself */
  uint64_t cold_start_at_ms;    /* wall clock; keys created earlier may be lost; 0 when none are */
  uint64_t opaque_wait_ms;      /* until keys without a creation time are voted on again */
  uint64_t highest_incarnation; /* known of the applicant; a lower one is not admitted */
  MfInstanceId view[MF_VOTERS_PER_KEY_MAX];
  uint32_t n_view;
  uint32_t part; /* from 0; an answer too large for one frame is sent in parts */
  uint32_t n_parts;
  const MfKeyRecord *records; /* borrowed */
  uint32_t n_records;
} MfAdmittedMessage;

/* Key records in one part of an answer. */
#define MF_RECORDS_PER_PART_MAX 4096

typedef struct
{
  MfPeerMessageType type;
  union
  {
    MfDigestMessage digest;  /* all members of the union start at the same offset */
    uint64_t known_revision; /* MF_PEER_CONFIG_REQUEST: revision that the requester has */
    uint64_t known_index;    /* MF_PEER_LIST_REQUEST: index that the requester has */
    MfListMessage list;
    MfConfigMessage config;
    MfClaimMessage claim;
    MfVoteMessage vote;
    MfOutcomeMessage outcome; /* MF_PEER_OUTCOME and MF_PEER_OUTCOME_REQUEST */
    MfAdmitMessage admit;
    MfAdmittedMessage admitted;
  };
} MfPeerMessage;

#endif
