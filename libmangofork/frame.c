#include "frame.h"

#include "frame_table.h"

#include <msgpack.h>
#include <string.h>

/* Keys of the top-level map. */
#define KEY_VERSION 0
#define KEY_TYPE 1
#define KEY_BODY 2

static void pack_items (msgpack_packer *packer, const MfFrameTable *table, const uint8_t *item);

/* Reads an unsigned number of any width from the struct at base. */
static uint64_t
number_get (const MfFrameField *field, const uint8_t *base)
{
  const uint8_t *at = base + field->offset;
  uint64_t u64;
  uint32_t u32;
  uint16_t u16;

  switch (field->kind)
    {
    case MF_FRAME_FIELD_BOOL:
      return *(const bool *)at;
    case MF_FRAME_FIELD_U16:
      memcpy (&u16, at, sizeof u16);
      return u16;
    case MF_FRAME_FIELD_U32:
    case MF_FRAME_FIELD_ENUM:
      memcpy (&u32, at, sizeof u32);
      return u32;
    default:
      memcpy (&u64, at, sizeof u64);
      return u64;
    }
}

static uint32_t
count_get (const MfFrameField *field, const uint8_t *base)
{
  uint32_t count;

  memcpy (&count, base + field->count_offset, sizeof count);
  return count;
}

static const void *
pointer_get (const MfFrameField *field, const uint8_t *base)
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

/* Returns whether a field has its default value, which the decoder assumes for an absent field. The
 * only nested struct is MfInstanceId, with two fields. */
static bool
field_is_default (const MfFrameField *field, const uint8_t *base)
{
  switch (field->kind)
    {
    case MF_FRAME_FIELD_DIGEST:
      return digest_is_zero (base + field->offset);
    case MF_FRAME_FIELD_NAME:
      return base[field->offset] == '\0';
    case MF_FRAME_FIELD_STRING:
      return pointer_get (field, base) == NULL;
    case MF_FRAME_FIELD_STRUCT:
      return field_is_default (&field->item_table->fields[0], base + field->offset)
             && field_is_default (&field->item_table->fields[1], base + field->offset);
    case MF_FRAME_FIELD_BYTES:
    case MF_FRAME_FIELD_LIST:
      return pointer_get (field, base) == NULL || count_get (field, base) == 0;
    case MF_FRAME_FIELD_ARRAY:
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
pack_array (msgpack_packer *packer, const MfFrameField *field, const uint8_t *items, uint32_t count)
{
  msgpack_pack_array (packer, count);
  for (uint32_t i = 0; i < count; i++)
    pack_items (packer, field->item_table, items + i * field->item_table->struct_bytes);
}

static void
pack_field (msgpack_packer *packer, const MfFrameField *field, const uint8_t *base)
{
  const uint8_t *at = base + field->offset;

  switch (field->kind)
    {
    case MF_FRAME_FIELD_BOOL:
      if (*(const bool *)at)
        msgpack_pack_true (packer);
      else
        msgpack_pack_false (packer);
      break;
    case MF_FRAME_FIELD_DIGEST:
      pack_bytes (packer, at, MF_DIGEST_BYTES);
      break;
    case MF_FRAME_FIELD_NAME:
      pack_string (packer, (const char *)at);
      break;
    case MF_FRAME_FIELD_STRING:
      pack_string (packer, pointer_get (field, base));
      break;
    case MF_FRAME_FIELD_BYTES:
      pack_bytes (packer, pointer_get (field, base), count_get (field, base));
      break;
    case MF_FRAME_FIELD_STRUCT:
      pack_items (packer, field->item_table, at);
      break;
    case MF_FRAME_FIELD_ARRAY:
      pack_array (packer, field, at, count_get (field, base));
      break;
    case MF_FRAME_FIELD_LIST:
      pack_array (packer, field, pointer_get (field, base), count_get (field, base));
      break;
    default:
      msgpack_pack_uint64 (packer, number_get (field, base));
      break;
    }
}

/* Encodes a nested struct as an array of its fields. Later versions append fields at the end. */
static void
pack_items (msgpack_packer *packer, const MfFrameTable *table, const uint8_t *item)
{
  msgpack_pack_array (packer, table->n_fields);
  for (uint32_t i = 0; i < table->n_fields; i++)
    pack_field (packer, &table->fields[i], item);
}

/* Encodes the fields of a message as a map from field number to value, without those at their
 * default. */
static void
pack_body (msgpack_packer *packer, const MfFrameTable *table, const uint8_t *base)
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

/* Returns whether the arrays of a message are within their limits. */
static bool
counts_fit (const MfFrameTable *table, const uint8_t *base)
{
  for (uint32_t i = 0; i < table->n_fields; i++)
    {
      const MfFrameField *field = &table->fields[i];

      if (field->kind == MF_FRAME_FIELD_ARRAY && count_get (field, base) > field->max)
        return false;
    }
  return true;
}

/* Encodes a message as msgpack after a 4-byte big-endian length. Returns a buffer of *frame_bytes
 * owned by the caller, or NULL with error set when memory runs out or the message is too large. */
uint8_t *
mf_frame_encode (const MfPeerMessage *message, size_t *frame_bytes, MfError *error)
{
  const MfFrameTable *table = mf_frame_table (message->type);
  const uint8_t *base = (const uint8_t *)&message->digest;
  static const char length_space[MF_FRAME_LENGTH_BYTES];
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  size_t payload_bytes;

  if (!counts_fit (table, base))
    {
      mf_error_set (error, MF_CODE_PEER_FRAME, "message has more items than an array may hold");
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
      mf_error_set (error, MF_CODE_PEER_FRAME, "message of %zu bytes is too large for a frame",
                    payload_bytes);
      msgpack_sbuffer_destroy (&buffer);
      return NULL;
    }
  for (int i = 0; i < MF_FRAME_LENGTH_BYTES; i++)
    buffer.data[i] = (char)(payload_bytes >> (8 * (MF_FRAME_LENGTH_BYTES - 1 - i)));
  *frame_bytes = buffer.size;
  return (uint8_t *)msgpack_sbuffer_release (&buffer);
}

static bool unpack_items (const msgpack_object *object, const MfFrameTable *table, uint8_t *item,
                          msgpack_zone *zone);

/* Copies bytes into the memory of the frame and terminates them with NUL. */
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
unpack_number (const msgpack_object *object, const MfFrameField *field, uint8_t *at)
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
    case MF_FRAME_FIELD_U16:
      memcpy (at, &u16, sizeof u16);
      return value <= UINT16_MAX;
    case MF_FRAME_FIELD_ENUM:
      memcpy (at, &u32, sizeof u32);
      return value < field->max;
    case MF_FRAME_FIELD_U32:
      memcpy (at, &u32, sizeof u32);
      return value <= UINT32_MAX;
    default:
      memcpy (at, &value, sizeof value);
      return true;
    }
}

static bool
unpack_name (const msgpack_object *object, const MfFrameField *field, uint8_t *at)
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
unpack_bytes (const msgpack_object *object, const MfFrameField *field, uint8_t *base,
              msgpack_zone *zone)
{
  char *copy;

  if (object->type != MSGPACK_OBJECT_BIN)
    return false;
  copy = zone_copy (zone, object->via.bin.ptr, object->via.bin.size);
  if (copy == NULL)
    return false;
  memcpy (base + field->offset, &copy, sizeof copy);
  memcpy (base + field->count_offset, &object->via.bin.size, sizeof (uint32_t));
  return true;
}

static bool
unpack_array (const msgpack_object *object, const MfFrameField *field, uint8_t *base,
              msgpack_zone *zone)
{
  uint8_t *items = base + field->offset;
  uint32_t count;

  if (object->type != MSGPACK_OBJECT_ARRAY)
    return false;
  count = object->via.array.size;
  if (field->kind == MF_FRAME_FIELD_ARRAY && count > field->max)
    return false;
  if (field->kind == MF_FRAME_FIELD_LIST)
    {
      size_t n_bytes = (size_t)count * field->item_table->struct_bytes;

      items = msgpack_zone_malloc (zone, n_bytes + 1);
      if (items == NULL)
        return false;
      memset (items, 0, n_bytes + 1);
      memcpy (base + field->offset, &items, sizeof items);
    }
  for (uint32_t i = 0; i < count; i++)
    {
      if (!unpack_items (&object->via.array.ptr[i], field->item_table,
                         items + i * field->item_table->struct_bytes, zone))
        return false;
    }
  memcpy (base + field->count_offset, &count, sizeof count);
  return true;
}

static bool
unpack_field (const msgpack_object *object, const MfFrameField *field, uint8_t *base,
              msgpack_zone *zone)
{
  uint8_t *at = base + field->offset;

  switch (field->kind)
    {
    case MF_FRAME_FIELD_BOOL:
      if (object->type != MSGPACK_OBJECT_BOOLEAN)
        return false;
      *(bool *)at = object->via.boolean;
      return true;
    case MF_FRAME_FIELD_DIGEST:
      if (object->type != MSGPACK_OBJECT_BIN || object->via.bin.size != MF_DIGEST_BYTES)
        return false;
      memcpy (at, object->via.bin.ptr, MF_DIGEST_BYTES);
      return true;
    case MF_FRAME_FIELD_NAME:
      return unpack_name (object, field, at);
    case MF_FRAME_FIELD_STRING:
      return unpack_string (object, at, zone);
    case MF_FRAME_FIELD_BYTES:
      return unpack_bytes (object, field, base, zone);
    case MF_FRAME_FIELD_STRUCT:
      return unpack_items (object, field->item_table, at, zone);
    case MF_FRAME_FIELD_ARRAY:
    case MF_FRAME_FIELD_LIST:
      return unpack_array (object, field, base, zone);
    default:
      return unpack_number (object, field, at);
    }
}

/* Decodes a nested struct. It may have additional fields of a later version, but none may be
 * missing. */
static bool
unpack_items (const msgpack_object *object, const MfFrameTable *table, uint8_t *item,
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

/* Returns the value of a numeric key, or NULL. */
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
unpack_body (const msgpack_object *body, const MfFrameTable *table, uint8_t *base,
             msgpack_zone *zone)
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
      mf_error_set (error, MF_CODE_PEER_FRAME, "frame has no version or type");
      return false;
    }
  if (type->via.u64 >= MF_PEER_MESSAGE_COUNT)
    {
      mf_error_set (error, MF_CODE_PEER_VERSION, "frame has an unknown message type");
      return false;
    }
  message->type = (MfPeerMessageType)type->via.u64;
  if (!unpack_body (map_find (root, KEY_BODY), mf_frame_table (message->type),
                    (uint8_t *)&message->digest, zone))
    {
      mf_error_set (error, MF_CODE_PEER_FRAME, "frame has a field with an invalid value");
      return false;
    }
  return true;
}

/* Decodes the payload of one frame, without its length. Unknown fields are ignored, so that
 * different releases can exchange messages. Returns false with error set when the payload is
 * malformed. The caller frees frame with mf_frame_clear. */
bool
mf_frame_decode (const uint8_t *payload, size_t payload_bytes, MfFrame *frame, MfError *error)
{
  msgpack_object root;
  msgpack_zone *zone;
  size_t offset = 0;

  memset (frame, 0, sizeof *frame);
  if (payload_bytes > MF_FRAME_BYTES_MAX || !mf_frame_is_well_formed (payload, payload_bytes))
    {
      mf_error_set (error, MF_CODE_PEER_FRAME,
                    "frame is too large or not exactly one well-formed msgpack value");
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
    mf_error_set (error, MF_CODE_PEER_FRAME, "frame is not valid msgpack");
  else if (unpack_message (&root, &frame->message, zone, error))
    return true;
  mf_frame_clear (frame);
  return false;
}

/* Frees the memory that the message refers to. */
void
mf_frame_clear (MfFrame *frame)
{
  if (frame->memory != NULL)
    msgpack_zone_free (frame->memory);
  memset (frame, 0, sizeof *frame);
}
