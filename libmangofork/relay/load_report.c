#include "load_report.h"

#include <msgpack.h>
#include <string.h>
#include <xxhash.h>

/* First member of every report; a reader takes any version and reads the members it knows. */
#define REPORT_VERSION 1
#define REPORT_MEMBERS 5
#define ENTRY_MEMBERS 3

uint64_t
mf_load_hash (const char *upstream_id)
{
  return XXH3_64bits (upstream_id, strlen (upstream_id));
}

static int
buffer_write (void *data, const char *bytes, size_t n_bytes)
{
  MfBuffer *out = data;

  mf_buffer_add (out, bytes, n_bytes);
  return out->failed ? -1 : 0;
}

static void
pack_text (msgpack_packer *packer, const char *text)
{
  msgpack_pack_str_with_body (packer, text, strlen (text));
}

void
mf_load_report_encode (const MfLoadReport *report, MfBuffer *out)
{
  MfBuffer payload = { 0 };
  msgpack_packer packer;
  uint8_t length[4];
  size_t n_bytes;

  msgpack_packer_init (&packer, &payload, buffer_write);
  msgpack_pack_array (&packer, REPORT_MEMBERS);
  msgpack_pack_uint32 (&packer, REPORT_VERSION);
  pack_text (&packer, report->address);
  msgpack_pack_uint32 (&packer, report->heartbeat_ms);
  msgpack_pack_array (&packer, report->n_entries);
  for (uint32_t i = 0; i < report->n_entries; i++)
    {
      msgpack_pack_array (&packer, ENTRY_MEMBERS);
      msgpack_pack_uint64 (&packer, report->entries[i].upstream);
      msgpack_pack_uint32 (&packer, report->entries[i].n_active);
      msgpack_pack_uint32 (&packer, report->entries[i].tokens);
    }
  msgpack_pack_array (&packer, report->n_members);
  for (uint32_t i = 0; i < report->n_members; i++)
    pack_text (&packer, report->members[i]);
  n_bytes = mf_buffer_bytes (&payload);
  for (uint32_t i = 0; i < sizeof length; i++)
    length[i] = (uint8_t)(n_bytes >> (24 - 8 * i));
  if (payload.failed)
    out->failed = true;
  mf_buffer_add (out, length, sizeof length);
  mf_buffer_add (out, mf_buffer_data (&payload), n_bytes);
  mf_buffer_clear (&payload);
}

static bool
read_number (const msgpack_object *object, uint64_t max, uint64_t *number)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
    return false;
  *number = object->via.u64;
  return true;
}

static bool
read_text (const msgpack_object *object, char *dst, size_t dst_bytes)
{
  if (object->type != MSGPACK_OBJECT_STR || object->via.str.size >= dst_bytes)
    return false;
  memcpy (dst, object->via.str.ptr, object->via.str.size);
  dst[object->via.str.size] = '\0';
  return strlen (dst) == object->via.str.size;
}

static bool
read_entries (const msgpack_object *object, MfLoadReport *report)
{
  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size > MF_LOAD_ENTRIES_MAX)
    return false;
  for (uint32_t i = 0; i < object->via.array.size; i++)
    {
      const msgpack_object *row = &object->via.array.ptr[i];
      uint64_t upstream = 0;
      uint64_t n_active = 0;
      uint64_t tokens = 0;

      if (row->type != MSGPACK_OBJECT_ARRAY || row->via.array.size < ENTRY_MEMBERS
          || !read_number (&row->via.array.ptr[0], UINT64_MAX, &upstream)
          || !read_number (&row->via.array.ptr[1], UINT32_MAX, &n_active)
          || !read_number (&row->via.array.ptr[2], UINT32_MAX, &tokens))
        return false;
      report->entries[report->n_entries++] = (MfLoadEntry){
        .upstream = upstream,
        .n_active = (uint32_t)n_active,
        .tokens = (uint32_t)tokens,
      };
    }
  return true;
}

static bool
read_members (const msgpack_object *object, MfLoadReport *report)
{
  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size > MF_LOAD_MEMBERS_MAX)
    return false;
  for (uint32_t i = 0; i < object->via.array.size; i++)
    {
      if (!read_text (&object->via.array.ptr[i], report->members[report->n_members],
                      MF_ADDRESS_BYTES))
        return false;
      report->n_members++;
    }
  return true;
}

static bool
read_report (const msgpack_object *object, MfLoadReport *report)
{
  const msgpack_object *members;
  uint64_t heartbeat_ms = 0;

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < REPORT_MEMBERS)
    return false;
  members = object->via.array.ptr;
  if (!read_text (&members[1], report->address, sizeof report->address)
      || !read_number (&members[2], UINT32_MAX, &heartbeat_ms)
      || !read_entries (&members[3], report) || !read_members (&members[4], report))
    return false;
  report->heartbeat_ms = (uint32_t)heartbeat_ms;
  return true;
}

bool
mf_load_report_decode (const char *payload, size_t payload_bytes, MfLoadReport *report)
{
  msgpack_unpacked unpacked;
  size_t at = 0;
  bool good;

  report->n_entries = 0;
  report->n_members = 0;
  msgpack_unpacked_init (&unpacked);
  good = msgpack_unpack_next (&unpacked, payload, payload_bytes, &at) == MSGPACK_UNPACK_SUCCESS
         && read_report (&unpacked.data, report);
  msgpack_unpacked_destroy (&unpacked);
  return good;
}
