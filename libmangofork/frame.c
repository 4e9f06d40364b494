#include "frame.h"

#include <msgpack.h>
#include <string.h>

/* Keys of the outermost map. */
#define KEY_VERSION 0
#define KEY_TYPE 1
#define KEY_BODY 2

/* Containers inside containers; the messages need five. */
#define DEPTH_MAX 8

typedef enum
{
  FIELD_BOOL,
  FIELD_U16,
  FIELD_U32,
  FIELD_U64,
  FIELD_ENUM,   /* an int below max */
  FIELD_DIGEST, /* MF_DIGEST_BYTES */
  FIELD_NAME,   /* char[max] */
  FIELD_STRING, /* char *, NUL-terminated, or NULL */
  FIELD_BYTES,  /* pointer, with its uint32_t length at count */
  FIELD_STRUCT, /* one value of type items */
  FIELD_ARRAY,  /* an array of at most max items, their uint32_t number at count */
  FIELD_LIST,   /* a pointer to items, their uint32_t number at count */
} FieldKind;

typedef struct FieldTable FieldTable;

/* Where a value stands in its struct and how it is written. */
typedef struct
{
  uint8_t key;
  FieldKind kind;
  size_t offset;
  size_t count;
  uint32_t max;
  const FieldTable *items;
} Field;

struct FieldTable
{
  const Field *fields;
  uint32_t n_fields;
  size_t bytes; /* of one struct */
};

#define FIELD(number, type, member, kind_)                                                         \
  {                                                                                                \
    .key = (number), .kind = FIELD_##kind_, .offset = offsetof (type, member)                      \
  }
#define FIELD_MAX(number, type, member, kind_, max_)                                               \
  {                                                                                                \
    .key = (number), .kind = FIELD_##kind_, .offset = offsetof (type, member), .max = (max_)       \
  }
#define FIELD_COUNTED(number, type, member, count_, kind_, max_, table_)                           \
  {                                                                                                \
    .key = (number), .kind = FIELD_##kind_, .offset = offsetof (type, member),                     \
    .count = offsetof (type, count_), .max = (max_), .items = (table_)                             \
  }
#define FIELD_OWNER(number, type, member)                                                          \
  {                                                                                                \
    .key = (number), .kind = FIELD_STRUCT, .offset = offsetof (type, member),                      \
    .items = &owner_table                                                                          \
  }
#define TABLE(name, type)                                                                          \
  static const FieldTable name##_table = { .fields = name##_fields,                                \
                                           .n_fields = MF_ARRAY_LEN (name##_fields),               \
                                           .bytes = sizeof (type) }

static const Field owner_fields[] = {
  FIELD_MAX (0, MfOwner, name, NAME, MF_NAME_BYTES),
  FIELD (1, MfOwner, incarnation, U64),
};
TABLE (owner, MfOwner);

static const Field news_fields[] = {
  FIELD_MAX (0, MfNews, kind, ENUM, MF_NEWS_KIND_COUNT),
  FIELD (1, MfNews, subject, U64),
  FIELD (2, MfNews, value, U64),
  FIELD (3, MfNews, age_ms, U32),
};
TABLE (news, MfNews);

static const Field share_fields[] = {
  FIELD (0, MfShare, upstream, U64),
  FIELD (1, MfShare, slots_used, U16),
  FIELD (2, MfShare, slots_wanted, U16),
};
TABLE (share, MfShare);

static const Field record_fields[] = {
  FIELD (0, MfKeyRecord, key, DIGEST),  FIELD (1, MfKeyRecord, body_digest, U64),
  FIELD_OWNER (2, MfKeyRecord, holder), FIELD_MAX (3, MfKeyRecord, state, ENUM, MF_KEY_UNKNOWN + 1),
  FIELD (4, MfKeyRecord, age_ms, U32),  FIELD (5, MfKeyRecord, claim_id, U64),
};
TABLE (record, MfKeyRecord);

static const Field listed_fields[] = {
  FIELD_MAX (0, MfListed, name, NAME, MF_NAME_BYTES),
  FIELD_MAX (1, MfListed, address, NAME, MF_ADDRESS_BYTES),
  FIELD_MAX (2, MfListed, data_centre, NAME, MF_NAME_BYTES),
  FIELD (3, MfListed, leaving, BOOL),
};
TABLE (listed, MfListed);

static const Field digest_fields[] = {
  FIELD (0, MfDigestMessage, sequence, U64),
  FIELD (1, MfDigestMessage, config_revision, U64),
  FIELD (2, MfDigestMessage, list_index, U64),
  FIELD (3, MfDigestMessage, leaving, BOOL),
  FIELD (4, MfDigestMessage, admitted, BOOL),
  FIELD_COUNTED (5, MfDigestMessage, news, n_news, ARRAY, MF_NEWS_PER_DIGEST_MAX, &news_table),
  FIELD_COUNTED (6, MfDigestMessage, shares, n_shares, ARRAY, MF_SHARES_PER_DIGEST_MAX,
                 &share_table),
  FIELD_COUNTED (7, MfDigestMessage, burn, burn_bytes, BYTES, 0, NULL),
  FIELD (8, MfDigestMessage, guardian, BOOL),
};
TABLE (digest, MfDigestMessage);

static const Field ask_fields[] = { { .key = 0, .kind = FIELD_U64 } };
static const FieldTable ask_table = { .fields = ask_fields, .n_fields = 1, .bytes = 8 };

static const Field config_fields[] = {
  FIELD (0, MfConfigMessage, revision, U64),
  FIELD_COUNTED (1, MfConfigMessage, text, text_bytes, BYTES, 0, NULL),
  FIELD (2, MfConfigMessage, base_revision, U64),
  FIELD (3, MfConfigMessage, prefix_bytes, U32),
  FIELD (4, MfConfigMessage, suffix_bytes, U32),
  FIELD (5, MfConfigMessage, whole_hash, U64),
};
TABLE (config, MfConfigMessage);

static const Field claim_fields[] = {
  FIELD (0, MfClaimMessage, claim_id, U64),    FIELD (1, MfClaimMessage, key, DIGEST),
  FIELD (2, MfClaimMessage, body_digest, U64), FIELD (3, MfClaimMessage, minted_ms, U64),
  FIELD (4, MfClaimMessage, epoch, U64),       FIELD_OWNER (5, MfClaimMessage, claimant),
};
TABLE (claim, MfClaimMessage);

static const Field vote_fields[] = {
  FIELD (0, MfVoteMessage, claim_id, U64),
  FIELD (1, MfVoteMessage, key, DIGEST),
  FIELD (2, MfVoteMessage, granted, BOOL),
  FIELD (3, MfVoteMessage, abstained, BOOL),
  FIELD (4, MfVoteMessage, body_differs, BOOL),
  FIELD_OWNER (5, MfVoteMessage, holder),
  FIELD_MAX (6, MfVoteMessage, state, ENUM, MF_KEY_UNKNOWN + 1),
  FIELD_COUNTED (7, MfVoteMessage, view, n_view, ARRAY, MF_VOTERS_PER_KEY_MAX, &owner_table),
  FIELD (8, MfVoteMessage, holder_claim_id, U64),
  FIELD (9, MfVoteMessage, forgotten, BOOL),
};
TABLE (vote, MfVoteMessage);

static const Field outcome_fields[] = {
  FIELD (0, MfOutcomeMessage, key, DIGEST),
  FIELD (1, MfOutcomeMessage, body_digest, U64),
  FIELD_OWNER (2, MfOutcomeMessage, claimant),
  FIELD_MAX (3, MfOutcomeMessage, state, ENUM, MF_KEY_UNKNOWN + 1),
  FIELD (4, MfOutcomeMessage, status, U16),
  FIELD (5, MfOutcomeMessage, code, U32),
  FIELD (6, MfOutcomeMessage, content_type, STRING),
  FIELD_COUNTED (7, MfOutcomeMessage, body, body_bytes, BYTES, 0, NULL),
  FIELD (8, MfOutcomeMessage, claim_id, U64),
};
TABLE (outcome, MfOutcomeMessage);

static const Field admit_fields[] = {
  FIELD (0, MfAdmitMessage, admit_id, U64),
  FIELD (1, MfAdmitMessage, epoch, U64),
  FIELD_OWNER (2, MfAdmitMessage, applicant),
};
TABLE (admit, MfAdmitMessage);

static const Field admitted_fields[] = {
  FIELD (0, MfAdmittedMessage, admit_id, U64),
  FIELD (1, MfAdmittedMessage, agreed, BOOL),
  FIELD (2, MfAdmittedMessage, voter_admitted, BOOL),
  FIELD (3, MfAdmittedMessage, highest_incarnation, U64),
  FIELD_COUNTED (4, MfAdmittedMessage, view, n_view, ARRAY, MF_VOTERS_PER_KEY_MAX, &owner_table),
  FIELD_COUNTED (5, MfAdmittedMessage, records, n_records, LIST, 0, &record_table),
  FIELD (6, MfAdmittedMessage, cold_ms, U64),
  FIELD (7, MfAdmittedMessage, opaque_wait_ms, U64),
  FIELD (8, MfAdmittedMessage, part, U32),
  FIELD (9, MfAdmittedMessage, n_parts, U32),
};
TABLE (admitted, MfAdmittedMessage);

static const Field list_fields[] = {
  FIELD (0, MfListMessage, index, U64),
  FIELD_COUNTED (1, MfListMessage, listed, n_listed, LIST, 0, &listed_table),
};
TABLE (list, MfListMessage);

/* The members of the message's union all start at the same place. */
static const FieldTable *const message_tables[MF_PEER_MESSAGE_COUNT] = {
  [MF_PEER_DIGEST] = &digest_table,       [MF_PEER_CONFIG_ASK] = &ask_table,
  [MF_PEER_CONFIG] = &config_table,       [MF_PEER_CLAIM] = &claim_table,
  [MF_PEER_VOTE] = &vote_table,           [MF_PEER_OUTCOME] = &outcome_table,
  [MF_PEER_OUTCOME_ASK] = &outcome_table, [MF_PEER_ADMIT] = &admit_table,
  [MF_PEER_ADMITTED] = &admitted_table,   [MF_PEER_LIST_ASK] = &ask_table,
  [MF_PEER_LIST] = &list_table,
};

static void pack_items (msgpack_packer *packer, const FieldTable *table, const uint8_t *item);

/* Reads an unsigned number of any width from a struct. */
static uint64_t
number_get (const Field *field, const uint8_t *base)
{
  const uint8_t *at = base + field->offset;
  uint64_t u64;
  uint32_t u32;
  uint16_t u16;

  switch (field->kind)
    {
    case FIELD_BOOL:
      return *(const bool *)at;
    case FIELD_U16:
      memcpy (&u16, at, sizeof u16);
      return u16;
    case FIELD_U32:
    case FIELD_ENUM:
      memcpy (&u32, at, sizeof u32);
      return u32;
    default:
      memcpy (&u64, at, sizeof u64);
      return u64;
    }
}

static uint32_t
count_get (const Field *field, const uint8_t *base)
{
  uint32_t count;

  memcpy (&count, base + field->count, sizeof count);
  return count;
}

static const void *
pointer_get (const Field *field, const uint8_t *base)
{
  const void *pointer;

  memcpy (&pointer, base + field->offset, sizeof pointer);
  return pointer;
}

static bool
digest_is_zero (const uint8_t *digest)
{
  static const uint8_t zero[MF_DIGEST_BYTES];

  return memcmp (digest, zero, sizeof zero) == 0;
}

/* Whether a field holds what a reader assumes when it is left out. */
static bool
field_is_default (const Field *field, const uint8_t *base)
{
  switch (field->kind)
    {
    case FIELD_DIGEST:
      return digest_is_zero (base + field->offset);
    case FIELD_NAME:
      return base[field->offset] == '\0';
    case FIELD_STRING:
      return pointer_get (field, base) == NULL;
    case FIELD_STRUCT:
      return field_is_default (&field->items->fields[0], base + field->offset)
             && field_is_default (&field->items->fields[1], base + field->offset);
    case FIELD_BYTES:
    case FIELD_LIST:
      return pointer_get (field, base) == NULL || count_get (field, base) == 0;
    case FIELD_ARRAY:
      return count_get (field, base) == 0;
    default:
      return number_get (field, base) == 0;
    }
}

static void
pack_string (msgpack_packer *packer, const char *string)
{
  size_t len = strlen (string);

  msgpack_pack_str (packer, len);
  msgpack_pack_str_body (packer, string, len);
}

static void
pack_bytes (msgpack_packer *packer, const void *bytes, size_t n_bytes)
{
  msgpack_pack_bin (packer, n_bytes);
  msgpack_pack_bin_body (packer, bytes, n_bytes);
}

static void
pack_array (msgpack_packer *packer, const Field *field, const uint8_t *items, uint32_t count)
{
  msgpack_pack_array (packer, count);
  for (uint32_t i = 0; i < count; i++)
    pack_items (packer, field->items, items + i * field->items->bytes);
}

static void
pack_field (msgpack_packer *packer, const Field *field, const uint8_t *base)
{
  const uint8_t *at = base + field->offset;

  switch (field->kind)
    {
    case FIELD_BOOL:
      if (*(const bool *)at)
        msgpack_pack_true (packer);
      else
        msgpack_pack_false (packer);
      break;
    case FIELD_DIGEST:
      pack_bytes (packer, at, MF_DIGEST_BYTES);
      break;
    case FIELD_NAME:
      pack_string (packer, (const char *)at);
      break;
    case FIELD_STRING:
      pack_string (packer, pointer_get (field, base));
      break;
    case FIELD_BYTES:
      pack_bytes (packer, pointer_get (field, base), count_get (field, base));
      break;
    case FIELD_STRUCT:
      pack_items (packer, field->items, at);
      break;
    case FIELD_ARRAY:
      pack_array (packer, field, at, count_get (field, base));
      break;
    case FIELD_LIST:
      pack_array (packer, field, pointer_get (field, base), count_get (field, base));
      break;
    default:
      msgpack_pack_uint64 (packer, number_get (field, base));
      break;
    }
}

/* A nested struct is an array of its fields in order; later versions append. */
static void
pack_items (msgpack_packer *packer, const FieldTable *table, const uint8_t *item)
{
  msgpack_pack_array (packer, table->n_fields);
  for (uint32_t i = 0; i < table->n_fields; i++)
    pack_field (packer, &table->fields[i], item);
}

/* The message's own fields are a map from number to value, without those at their default. */
static void
pack_body (msgpack_packer *packer, const FieldTable *table, const uint8_t *base)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < table->n_fields; i++)
    count += !field_is_default (&table->fields[i], base);
  msgpack_pack_map (packer, count);
  for (uint32_t i = 0; i < table->n_fields; i++)
    {
      if (field_is_default (&table->fields[i], base))
        continue;
      msgpack_pack_uint8 (packer, table->fields[i].key);
      pack_field (packer, &table->fields[i], base);
    }
}

/* Whether the message's arrays keep to their limits. */
static bool
counts_fit (const FieldTable *table, const uint8_t *base)
{
  for (uint32_t i = 0; i < table->n_fields; i++)
    {
      const Field *field = &table->fields[i];

      if (field->kind == FIELD_ARRAY && count_get (field, base) > field->max)
        return false;
    }
  return true;
}

/* Encodes a message as msgpack after a 4-byte big-endian length. Returns a buffer owned by the
 * caller, or NULL when memory ran out or the message is too large. */
uint8_t *
mf_frame_encode (const MfPeerMessage *message, size_t *frame_bytes, MfError *error)
{
  const FieldTable *table = message_tables[message->type];
  const uint8_t *base = (const uint8_t *)&message->digest;
  static const char length_space[MF_FRAME_LENGTH_BYTES];
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  size_t payload_bytes;

  if (!counts_fit (table, base))
    {
      mf_error_set (error, MF_CODE_PEER_FRAME, "a message has too many items");
      return NULL;
    }
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_sbuffer_write (&buffer, length_space, sizeof length_space);
  msgpack_pack_map (&packer, 3);
  msgpack_pack_uint8 (&packer, KEY_VERSION);
  msgpack_pack_uint8 (&packer, MF_FRAME_VERSION);
  msgpack_pack_uint8 (&packer, KEY_TYPE);
  msgpack_pack_uint32 (&packer, message->type);
  msgpack_pack_uint8 (&packer, KEY_BODY);
  pack_body (&packer, table, base);
  payload_bytes = buffer.size - MF_FRAME_LENGTH_BYTES;
  if (buffer.data == NULL || payload_bytes > MF_FRAME_BYTES_MAX)
    {
      mf_error_set (error, MF_CODE_PEER_FRAME, "a message of %zu bytes is too large",
                    payload_bytes);
      msgpack_sbuffer_destroy (&buffer);
      return NULL;
    }
  for (int i = 0; i < MF_FRAME_LENGTH_BYTES; i++)
    buffer.data[i] = (char)(payload_bytes >> (8 * (MF_FRAME_LENGTH_BYTES - 1 - i)));
  *frame_bytes = buffer.size;
  return (uint8_t *)msgpack_sbuffer_release (&buffer);
}

static uint64_t
big_endian (const uint8_t *at, size_t n_bytes)
{
  uint64_t value = 0;

  for (size_t i = 0; i < n_bytes; i++)
    value = value << 8 | at[i];
  return value;
}

/* How the first byte of a value says what follows it. */
typedef struct
{
  size_t head_bytes; /* the first byte and the length or number after it */
  uint64_t n_body_bytes;
  uint64_t n_values; /* inside a container */
} ValueHead;

/* Reads the head of the value at payload. Returns false when it is cut or of no known type. */
static bool
head_read (const uint8_t *payload, size_t n_bytes, ValueHead *head)
{
  /* Bytes after the first from 0xc0 on; where a length stands there, its width. */
  static const uint8_t fixed[0x20] = {
    [0x0a] = 4, [0x0b] = 8, [0x0c] = 1, [0x0d] = 2, [0x0e] = 4, [0x0f] = 8, [0x10] = 1,  [0x11] = 2,
    [0x12] = 4, [0x13] = 8, [0x14] = 2, [0x15] = 3, [0x16] = 5, [0x17] = 9, [0x18] = 17,
  };
  static const uint8_t width[0x20] = {
    [0x04] = 1, [0x05] = 2, [0x06] = 4, [0x07] = 1, [0x08] = 2, [0x09] = 4, [0x19] = 1,
    [0x1a] = 2, [0x1b] = 4, [0x1c] = 2, [0x1d] = 4, [0x1e] = 2, [0x1f] = 4,
  };
  uint8_t first = payload[0];
  uint8_t low = first - 0xc0;
  uint64_t length;

  *head = (ValueHead){ .head_bytes = 1 };
  if (first < 0x80 || first >= 0xe0 || first == 0xc0 || first == 0xc2 || first == 0xc3)
    return true;
  if (first < 0xa0)
    {
      head->n_values = (uint64_t)(first & 0x0f) * (first < 0x90 ? 2 : 1);
      return true;
    }
  if (first < 0xc0)
    {
      head->n_body_bytes = first & 0x1f;
      return true;
    }
  if (first == 0xc1)
    return false;
  head->n_body_bytes = fixed[low];
  if (width[low] == 0)
    return true;
  head->head_bytes += width[low];
  if (head->head_bytes > n_bytes)
    return false;
  length = big_endian (payload + 1, width[low]);
  if (first >= 0xdc)
    head->n_values = length * (first >= 0xde ? 2 : 1);
  else
    head->n_body_bytes = length + (first >= 0xc7 && first <= 0xc9);
  return true;
}

/* Whether the payload is one value whose containers hold no more values than there are bytes left.
 * The library allocates what a container's head promises, so it only sees payloads that pass. */
static bool
payload_is_sound (const uint8_t *payload, size_t payload_bytes)
{
  uint64_t left[DEPTH_MAX + 1] = { 1 };
  size_t depth = 0, at = 0;

  for (;;)
    {
      ValueHead head;

      while (left[depth] == 0)
        {
          if (depth == 0)
            return at == payload_bytes;
          depth--;
        }
      if (at >= payload_bytes || !head_read (payload + at, payload_bytes - at, &head))
        return false;
      left[depth]--;
      at += head.head_bytes;
      if (head.n_body_bytes > payload_bytes - at || head.n_values > payload_bytes - at)
        return false;
      at += head.n_body_bytes;
      if (head.n_values == 0)
        continue;
      if (depth == DEPTH_MAX)
        return false;
      left[++depth] = head.n_values;
    }
}

static bool unpack_items (const msgpack_object *object, const FieldTable *table, uint8_t *item,
                          msgpack_zone *zone);

/* Copies bytes into the frame's memory and closes them with NUL. */
static char *
zone_copy (msgpack_zone *zone, const char *bytes, size_t n_bytes)
{
  char *copy = msgpack_zone_malloc (zone, n_bytes + 1);

  if (copy == NULL)
    return NULL;
  if (n_bytes > 0)
    memcpy (copy, bytes, n_bytes);
  copy[n_bytes] = '\0';
  return copy;
}

static bool
unpack_number (const msgpack_object *object, const Field *field, uint8_t *at)
{
  uint64_t value;
  uint32_t u32;
  uint16_t u16;

  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  value = object->via.u64;
  u32 = (uint32_t)value;
  u16 = (uint16_t)value;
  switch (field->kind)
    {
    case FIELD_U16:
      memcpy (at, &u16, sizeof u16);
      return value <= UINT16_MAX;
    case FIELD_ENUM:
      memcpy (at, &u32, sizeof u32);
      return value < field->max;
    case FIELD_U32:
      memcpy (at, &u32, sizeof u32);
      return value <= UINT32_MAX;
    default:
      memcpy (at, &value, sizeof value);
      return true;
    }
}

static bool
unpack_name (const msgpack_object *object, const Field *field, uint8_t *at)
{
  if (object->type != MSGPACK_OBJECT_STR || object->via.str.size >= field->max
      || memchr (object->via.str.ptr, '\0', object->via.str.size) != NULL)
    return false;
  memcpy (at, object->via.str.ptr, object->via.str.size);
  at[object->via.str.size] = '\0';
  return true;
}

static bool
unpack_string (const msgpack_object *object, uint8_t *at, msgpack_zone *zone)
{
  char *copy;

  if (object->type != MSGPACK_OBJECT_STR)
    return false;
  copy = zone_copy (zone, object->via.str.ptr, object->via.str.size);
  memcpy (at, &copy, sizeof copy);
  return copy != NULL && strlen (copy) == object->via.str.size;
}

static bool
unpack_bytes (const msgpack_object *object, const Field *field, uint8_t *base, msgpack_zone *zone)
{
  char *copy;

  if (object->type != MSGPACK_OBJECT_BIN)
    return false;
  copy = zone_copy (zone, object->via.bin.ptr, object->via.bin.size);
  if (copy == NULL)
    return false;
  memcpy (base + field->offset, &copy, sizeof copy);
  memcpy (base + field->count, &object->via.bin.size, sizeof (uint32_t));
  return true;
}

static bool
unpack_array (const msgpack_object *object, const Field *field, uint8_t *base, msgpack_zone *zone)
{
  uint8_t *items = base + field->offset;
  uint32_t count;

  if (object->type != MSGPACK_OBJECT_ARRAY)
    return false;
  count = object->via.array.size;
  if (field->kind == FIELD_ARRAY && count > field->max)
    return false;
  if (field->kind == FIELD_LIST)
    {
      size_t n_bytes = (size_t)count * field->items->bytes;

      items = msgpack_zone_malloc (zone, n_bytes + 1);
      if (items == NULL)
        return false;
      memset (items, 0, n_bytes + 1);
      memcpy (base + field->offset, &items, sizeof items);
    }
  for (uint32_t i = 0; i < count; i++)
    {
      if (!unpack_items (&object->via.array.ptr[i], field->items, items + i * field->items->bytes,
                         zone))
        return false;
    }
  memcpy (base + field->count, &count, sizeof count);
  return true;
}

static bool
unpack_field (const msgpack_object *object, const Field *field, uint8_t *base, msgpack_zone *zone)
{
  uint8_t *at = base + field->offset;

  switch (field->kind)
    {
    case FIELD_BOOL:
      if (object->type != MSGPACK_OBJECT_BOOLEAN)
        return false;
      *(bool *)at = object->via.boolean;
      return true;
    case FIELD_DIGEST:
      if (object->type != MSGPACK_OBJECT_BIN || object->via.bin.size != MF_DIGEST_BYTES)
        return false;
      memcpy (at, object->via.bin.ptr, MF_DIGEST_BYTES);
      return true;
    case FIELD_NAME:
      return unpack_name (object, field, at);
    case FIELD_STRING:
      return unpack_string (object, at, zone);
    case FIELD_BYTES:
      return unpack_bytes (object, field, base, zone);
    case FIELD_STRUCT:
      return unpack_items (object, field->items, at, zone);
    case FIELD_ARRAY:
    case FIELD_LIST:
      return unpack_array (object, field, base, zone);
    default:
      return unpack_number (object, field, at);
    }
}

/* Items may be longer than known here, of a later version, but not shorter. */
static bool
unpack_items (const msgpack_object *object, const FieldTable *table, uint8_t *item,
              msgpack_zone *zone)
{
  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < table->n_fields)
    return false;
  for (uint32_t i = 0; i < table->n_fields; i++)
    {
      if (!unpack_field (&object->via.array.ptr[i], &table->fields[i], item, zone))
        return false;
    }
  return true;
}

/* Returns the value of a number key, or NULL. */
static const msgpack_object *
map_find (const msgpack_object *map, uint64_t key)
{
  if (map->type != MSGPACK_OBJECT_MAP)
    return NULL;
  for (uint32_t i = 0; i < map->via.map.size; i++)
    {
      const msgpack_object_kv *pair = &map->via.map.ptr[i];

      if (pair->key.type == MSGPACK_OBJECT_POSITIVE_INTEGER && pair->key.via.u64 == key)
        return &pair->val;
    }
  return NULL;
}

static bool
unpack_body (const msgpack_object *body, const FieldTable *table, uint8_t *base, msgpack_zone *zone)
{
  if (body == NULL || body->type != MSGPACK_OBJECT_MAP)
    return false;
  for (uint32_t i = 0; i < table->n_fields; i++)
    {
      const msgpack_object *value = map_find (body, table->fields[i].key);

      if (value != NULL && !unpack_field (value, &table->fields[i], base, zone))
        return false;
    }
  return true;
}

static bool
unpack_message (const msgpack_object *root, MfPeerMessage *message, msgpack_zone *zone,
                MfError *error)
{
  const msgpack_object *version = map_find (root, KEY_VERSION);
  const msgpack_object *type = map_find (root, KEY_TYPE);

  if (version == NULL || type == NULL || version->type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || type->type != MSGPACK_OBJECT_POSITIVE_INTEGER || version->via.u64 == 0)
    {
      mf_error_set (error, MF_CODE_PEER_FRAME, "a frame has no version or type");
      return false;
    }
  if (type->via.u64 >= MF_PEER_MESSAGE_COUNT)
    {
      mf_error_set (error, MF_CODE_PEER_VERSION, "a frame has a type not known here");
      return false;
    }
  message->type = (MfPeerMessageType)type->via.u64;
  if (!unpack_body (map_find (root, KEY_BODY), message_tables[message->type],
                    (uint8_t *)&message->digest, zone))
    {
      mf_error_set (error, MF_CODE_PEER_FRAME, "a frame has a field of a wrong type");
      return false;
    }
  return true;
}

/* Decodes the payload of one frame, without its length. Unknown fields are skipped, so that two
 * releases can talk. Returns false with error set when it is malformed. The caller frees frame with
 * mf_frame_clear. */
bool
mf_frame_decode (const uint8_t *payload, size_t payload_bytes, MfFrame *frame, MfError *error)
{
  msgpack_object root;
  msgpack_zone *zone;
  size_t offset = 0;

  memset (frame, 0, sizeof *frame);
  if (payload_bytes > MF_FRAME_BYTES_MAX || !payload_is_sound (payload, payload_bytes))
    {
      mf_error_set (error, MF_CODE_PEER_FRAME, "a frame is not one whole value");
      return false;
    }
  zone = msgpack_zone_new (MSGPACK_ZONE_CHUNK_SIZE);
  if (zone == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for a frame");
      return false;
    }
  frame->memory = zone;
  if (msgpack_unpack ((const char *)payload, payload_bytes, &offset, zone, &root)
      != MSGPACK_UNPACK_SUCCESS)
    mf_error_set (error, MF_CODE_PEER_FRAME, "a frame is not msgpack");
  else if (unpack_message (&root, &frame->message, zone, error))
    return true;
  mf_frame_clear (frame);
  return false;
}

/* Frees what the frame's message points to. */
void
mf_frame_clear (MfFrame *frame)
{
  if (frame->memory != NULL)
    msgpack_zone_free (frame->memory);
  memset (frame, 0, sizeof *frame);
}
