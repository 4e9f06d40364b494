#ifndef MF_PEER_H
#define MF_PEER_H

#include "types.h"

/* Items of news in one digest, and bytes of one frame. */
#define MF_GOSSIP_PER_DIGEST_MAX 64
#define MF_FRAME_BYTES_MAX (2 * 1024 * 1024)
#define MF_VOTERS_PER_KEY_MAX 7
/* A recorded answer longer than this is not handed between instances. */
#define MF_RECORDED_ANSWER_BYTES_MAX 16384

/* The messages between instances. */
typedef enum
{
  MF_PEER_DIGEST,         /* periodic: heartbeat, news, load, revision */
  MF_PEER_CONFIG_REQUEST, /* asks for the text when its revision is above the asker's */
  MF_PEER_CONFIG,         /* a text and its revision */
  MF_PEER_CLAIM,          /* asks a vote for running a key once */
  MF_PEER_VOTE,
  MF_PEER_OUTCOME, /* what became of a claimed key */
  MF_PEER_OUTCOME_REQUEST,
  MF_PEER_ADMIT, /* a fresh incarnation asks to be let into a cell of voters */
  MF_PEER_ADMITTED,
  MF_PEER_LIST_REQUEST, /* asks for the list of instances when its index is above the asker's */
  MF_PEER_LIST,
  MF_PEER_MESSAGE_COUNT,
} MfPeerMessageType;

/* What an item of news is about. */
typedef enum
{
  MF_GOSSIP_UPSTREAM_LEAVING,    /* subject: hash of the upstream's name; value: its incarnation */
  MF_GOSSIP_UPSTREAM_DEAD,       /* value: incarnation that died */
  MF_GOSSIP_REQUEST_SUSPECT,     /* subject: digest of a request; value: deaths seen */
  MF_GOSSIP_REQUEST_QUARANTINED, /* subject: digest of a request */
  MF_GOSSIP_INSTANCE_DEAD,       /* subject: hash of the slot's name; value: dead incarnation */
  MF_GOSSIP_FENCE,               /* subject: hash of the upstream's name; value: fencing number */
  MF_GOSSIP_INSTANCE_SUSPECT,    /* as dead: it was not heard */
  MF_GOSSIP_INSTANCE_ALIVE,      /* as dead: it was heard, or says so itself */
  MF_GOSSIP_KIND_COUNT,
} MfGossipKind;

typedef struct
{
  MfGossipKind kind;
  uint64_t subject;
  uint64_t value;
  uint32_t age_ms; /* since it was first noted, summed over hops */
} MfGossip;

/* How much of one upstream an instance uses and wants. */
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
  bool guardian; /* the receiver pays this sender's debts when it dies */
} MfDigestMessage;

typedef struct
{
  uint64_t revision;
  const char *text; /* borrowed; whole, or what changed between prefix and suffix of the base */
  uint32_t text_bytes;
  uint64_t base_revision;  /* 0 when text is whole */
  uint32_t prefix_bytes;   /* of the base's text, kept before the change */
  uint32_t suffix_bytes;   /* and after it */
  uint64_t full_text_hash; /* of the whole text */
} MfConfigMessage;

/* One instance as the platform publishes it. */
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

/* The state of one key as a voter or a claimant knows it. */
typedef enum
{
  MF_KEY_NONE,
  MF_KEY_RUNNING,
  MF_KEY_FINISHED,
  MF_KEY_UNKNOWN,
} MfKeyState;

typedef struct
{
  uint64_t claim_id; /* pairs votes with the claim; the claimant's own */
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
  bool forgotten; /* abstained for good: the voter cannot vouch for so old a key */
  bool body_differs;
  MfInstanceId holder; /* who was granted it, when not granted now */
  uint64_t holder_claim_id;
  MfKeyState state;
  MfInstanceId
      view[MF_VOTERS_PER_KEY_MAX]; /* highest incarnation known of each voter of the cell */
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

/* One record handed to a fresh voter. */
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
  bool voter_admitted; /* whether the answering voter is itself admitted */
  uint64_t
      cold_start_at_ms;    /* wall clock before which the cell forgot its keys; 0 when it has not */
  uint64_t opaque_wait_ms; /* until opaque keys are voted on again */
  uint64_t highest_incarnation; /* of the applicant's slot; the applicant must be above it */
  MfInstanceId view[MF_VOTERS_PER_KEY_MAX];
  uint32_t n_view;
  uint32_t part; /* an answer too large for one frame comes in parts, from 0 */
  uint32_t n_parts;
  const MfKeyRecord *records; /* borrowed */
  uint32_t n_records;
} MfAdmittedMessage;

/* Records in one part of an answer. */
#define MF_RECORDS_PER_PART_MAX 4096

typedef struct
{
  MfPeerMessageType type;
  union
  {
    MfDigestMessage digest;  /* every member of the union starts where this one does */
    uint64_t known_revision; /* MF_PEER_CONFIG_REQUEST: the asker's own revision */
    uint64_t known_index;    /* MF_PEER_LIST_REQUEST: the asker's own index */
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
