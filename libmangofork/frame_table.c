#include "frame_table.h"

#define FIELD(number, type, member, kind_)                                                         \
  {                                                                                                \
    .key = (number), .kind = MF_FRAME_FIELD_##kind_, .offset = offsetof (type, member)             \
  }
#define FIELD_MAX(number, type, member, kind_, max_)                                               \
  {                                                                                                \
    .key = (number), .kind = MF_FRAME_FIELD_##kind_, .offset = offsetof (type, member),            \
    .max = (max_)                                                                                  \
  }
#define FIELD_COUNTED(number, type, member, count_, kind_, max_, table_)                           \
  {                                                                                                \
    .key = (number), .kind = MF_FRAME_FIELD_##kind_, .offset = offsetof (type, member),            \
    .count_offset = offsetof (type, count_), .max = (max_), .item_table = (table_)                 \
  }
#define FIELD_INSTANCE_ID(number, type, member)                                                    \
  {                                                                                                \
    .key = (number), .kind = MF_FRAME_FIELD_STRUCT, .offset = offsetof (type, member),             \
    .item_table = &instance_id_table                                                               \
  }
#define TABLE(name, type)                                                                          \
  static const MfFrameTable name##_table = { .fields = name##_fields,                              \
                                             .n_fields = MF_ARRAY_LEN (name##_fields),             \
                                             .struct_bytes = sizeof (type) }

static const MfFrameField instance_id_fields[] = {
  FIELD_MAX (0, MfInstanceId, name, NAME, MF_NAME_BYTES),
  FIELD (1, MfInstanceId, incarnation, U64),
};
TABLE (instance_id, MfInstanceId);

static const MfFrameField gossip_fields[] = {
  FIELD_MAX (0, MfGossip, kind, ENUM, MF_GOSSIP_KIND_COUNT),
  FIELD (1, MfGossip, subject, U64),
  FIELD (2, MfGossip, value, U64),
  FIELD (3, MfGossip, age_ms, U32),
};
TABLE (gossip, MfGossip);

static const MfFrameField share_fields[] = {
  FIELD (0, MfShare, upstream, U64),
  FIELD (1, MfShare, slots_used, U16),
  FIELD (2, MfShare, slots_wanted, U16),
};
TABLE (share, MfShare);

static const MfFrameField record_fields[] = {
  FIELD (0, MfKeyRecord, key, DIGEST),
  FIELD (1, MfKeyRecord, body_digest, U64),
  FIELD_INSTANCE_ID (2, MfKeyRecord, holder),
  FIELD_MAX (3, MfKeyRecord, state, ENUM, MF_KEY_UNKNOWN + 1),
  FIELD (4, MfKeyRecord, age_ms, U32),
  FIELD (5, MfKeyRecord, claim_id, U64),
};
TABLE (record, MfKeyRecord);

static const MfFrameField listed_fields[] = {
  FIELD_MAX (0, MfListedInstance, name, NAME, MF_NAME_BYTES),
  FIELD_MAX (1, MfListedInstance, address, NAME, MF_ADDRESS_BYTES),
  FIELD_MAX (2, MfListedInstance, data_centre, NAME, MF_NAME_BYTES),
  FIELD (3, MfListedInstance, leaving, BOOL),
};
TABLE (listed, MfListedInstance);

static const MfFrameField digest_fields[] = {
  FIELD (0, MfDigestMessage, sequence, U64),
  FIELD (1, MfDigestMessage, config_revision, U64),
  FIELD (2, MfDigestMessage, list_index, U64),
  FIELD (3, MfDigestMessage, leaving, BOOL),
  FIELD (4, MfDigestMessage, admitted, BOOL),
  FIELD_COUNTED (5, MfDigestMessage, gossip, n_gossip, ARRAY, MF_GOSSIP_PER_DIGEST_MAX,
                 &gossip_table),
  FIELD_COUNTED (6, MfDigestMessage, shares, n_shares, ARRAY, MF_SHARES_PER_DIGEST_MAX,
                 &share_table),
  FIELD_COUNTED (7, MfDigestMessage, burn, burn_bytes, BYTES, 0, NULL),
  FIELD (8, MfDigestMessage, guardian, BOOL),
};
TABLE (digest, MfDigestMessage);

static const MfFrameField request_fields[] = { { .key = 0, .kind = MF_FRAME_FIELD_U64 } };
static const MfFrameTable request_table
    = { .fields = request_fields, .n_fields = 1, .struct_bytes = 8 };

static const MfFrameField config_fields[] = {
  FIELD (0, MfConfigMessage, revision, U64),
  FIELD_COUNTED (1, MfConfigMessage, text, text_bytes, BYTES, 0, NULL),
  FIELD (2, MfConfigMessage, base_revision, U64),
  FIELD (3, MfConfigMessage, prefix_bytes, U32),
  FIELD (4, MfConfigMessage, suffix_bytes, U32),
  FIELD (5, MfConfigMessage, full_text_hash, U64),
};
TABLE (config, MfConfigMessage);

static const MfFrameField claim_fields[] = {
  FIELD (0, MfClaimMessage, claim_id, U64),    FIELD (1, MfClaimMessage, key, DIGEST),
  FIELD (2, MfClaimMessage, body_digest, U64), FIELD (3, MfClaimMessage, key_created_ms, U64),
  FIELD (4, MfClaimMessage, epoch, U64),       FIELD_INSTANCE_ID (5, MfClaimMessage, claimant),
};
TABLE (claim, MfClaimMessage);

static const MfFrameField vote_fields[] = {
  FIELD (0, MfVoteMessage, claim_id, U64),
  FIELD (1, MfVoteMessage, key, DIGEST),
  FIELD (2, MfVoteMessage, granted, BOOL),
  FIELD (3, MfVoteMessage, abstained, BOOL),
  FIELD (4, MfVoteMessage, body_differs, BOOL),
  FIELD_INSTANCE_ID (5, MfVoteMessage, holder),
  FIELD_MAX (6, MfVoteMessage, state, ENUM, MF_KEY_UNKNOWN + 1),
  FIELD_COUNTED (7, MfVoteMessage, view, n_view, ARRAY, MF_VOTERS_PER_KEY_MAX, &instance_id_table),
  FIELD (8, MfVoteMessage, holder_claim_id, U64),
  FIELD (9, MfVoteMessage, forgotten, BOOL),
};
TABLE (vote, MfVoteMessage);

static const MfFrameField outcome_fields[] = {
  FIELD (0, MfOutcomeMessage, key, DIGEST),
  FIELD (1, MfOutcomeMessage, body_digest, U64),
  FIELD_INSTANCE_ID (2, MfOutcomeMessage, claimant),
  FIELD_MAX (3, MfOutcomeMessage, state, ENUM, MF_KEY_UNKNOWN + 1),
  FIELD (4, MfOutcomeMessage, status, U16),
  FIELD (5, MfOutcomeMessage, code, U32),
  FIELD (6, MfOutcomeMessage, content_type, STRING),
  FIELD_COUNTED (7, MfOutcomeMessage, body, body_bytes, BYTES, 0, NULL),
  FIELD (8, MfOutcomeMessage, claim_id, U64),
};
TABLE (outcome, MfOutcomeMessage);

static const MfFrameField admit_fields[] = {
  FIELD (0, MfAdmitMessage, admit_id, U64),
  FIELD (1, MfAdmitMessage, epoch, U64),
  FIELD_INSTANCE_ID (2, MfAdmitMessage, applicant),
};
TABLE (admit, MfAdmitMessage);

static const MfFrameField admitted_fields[] = {
  FIELD (0, MfAdmittedMessage, admit_id, U64),
  FIELD (1, MfAdmittedMessage, agreed, BOOL),
  FIELD (2, MfAdmittedMessage, voter_admitted, BOOL),
  FIELD (3, MfAdmittedMessage, highest_incarnation, U64),
  FIELD_COUNTED (4, MfAdmittedMessage, view, n_view, ARRAY, MF_VOTERS_PER_KEY_MAX,
                 &instance_id_table),
  FIELD_COUNTED (5, MfAdmittedMessage, records, n_records, LIST, 0, &record_table),
  FIELD (6, MfAdmittedMessage, cold_start_at_ms, U64),
  FIELD (7, MfAdmittedMessage, opaque_wait_ms, U64),
  FIELD (8, MfAdmittedMessage, part, U32),
  FIELD (9, MfAdmittedMessage, n_parts, U32),
};
TABLE (admitted, MfAdmittedMessage);

static const MfFrameField list_fields[] = {
  FIELD (0, MfListMessage, index, U64),
  FIELD_COUNTED (1, MfListMessage, listed, n_listed, LIST, 0, &listed_table),
};
TABLE (list, MfListMessage);

static const MfFrameTable *const message_tables[MF_PEER_MESSAGE_COUNT] = {
  [MF_PEER_DIGEST] = &digest_table,
  [MF_PEER_CONFIG_REQUEST] = &request_table,
  [MF_PEER_CONFIG] = &config_table,
  [MF_PEER_CLAIM] = &claim_table,
  [MF_PEER_VOTE] = &vote_table,
  [MF_PEER_OUTCOME] = &outcome_table,
  [MF_PEER_OUTCOME_REQUEST] = &outcome_table,
  [MF_PEER_ADMIT] = &admit_table,
  [MF_PEER_ADMITTED] = &admitted_table,
  [MF_PEER_LIST_REQUEST] = &request_table,
  [MF_PEER_LIST] = &list_table,
};

/* Returns the encoding of the messages of a type. Offsets count from the digest member of
 * MfPeerMessage: all members of its union start there. */
const MfFrameTable *
mf_frame_table (MfPeerMessageType type)
{
  return message_tables[type];
}
