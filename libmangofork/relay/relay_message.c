#include "relay_message.h"

#include "libmangofork/clock.h"
#include "libmangofork/fair.h"
#include "libmangofork/frame_table.h"
#include "libmangofork/part.h"

#include <msgpack.h>
#include <string.h>

/* Number of members of the msgpack arrays; the first member of a message is its kind. */
#define REPORT_MEMBERS 7
#define VOTE_MEMBERS 3
#define ENTRY_MEMBERS 6
/* Older releases send no customer and no priority: the last two members. */
#define SLOT_REQUEST_MEMBERS_MIN 12
#define SLOT_REQUEST_MEMBERS 14
#define GRANT_MEMBERS 4
#define ID_MEMBERS 2
#define REJECTED_MEMBERS 3
#define RETRY_MEMBERS 5
#define RETRY_REPLY_MEMBERS_MIN 3
#define RETRY_REPLY_MEMBERS 6
#define RETRY_RETURN_MEMBERS 4
#define FEED_MEMBERS 8
#define FEED_ITEM_MEMBERS 4
#define SUSPECTS_MEMBERS 2
#define SUSPECT_ENTRY_MEMBERS 10
#define SUSPECT_CRASH_MEMBERS 5
#define LIMIT_MEMBERS 4
#define RATE_ASK_MEMBERS (7 + LIMIT_MEMBERS)
#define RATE_GRANT_MEMBERS 6
#define LIMITS_MEMBERS 2
#define ORIGIN_MEMBERS 3
#define ORIGIN_ASK_MEMBERS 8
#define ORIGIN_REPLY_MEMBERS 4
#define LIMIT_ENTRY_MEMBERS (1 + LIMIT_MEMBERS)
#define LISTINGS_MEMBERS 2
#define LISTING_MEMBERS 4
#define HISTORY_MEMBERS 2
#define QUOTA_ASK_MEMBERS 10
#define QUOTA_GRANT_MEMBERS 9
/* Units of one ask; more make no sense within the bounds of a bucket. */
#define RATE_UNITS_MAX UINT64_C (1000000000)
/* A retry takes at most two sends: a prefill and a decode. */
#define RETRY_SENDS_MAX 2

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

static void
report_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  const MfLoadReport *report = &message->report;

  msgpack_pack_array (packer, REPORT_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  pack_text (packer, report->address);
  msgpack_pack_uint32 (packer, report->heartbeat_ms);
  msgpack_pack_array (packer, report->n_entries);
  for (uint32_t i = 0; i < report->n_entries; i++)
    {
      msgpack_pack_array (packer, ENTRY_MEMBERS);
      msgpack_pack_uint64 (packer, report->entries[i].upstream);
      msgpack_pack_uint32 (packer, report->entries[i].n_active);
      msgpack_pack_uint32 (packer, report->entries[i].tokens);
      msgpack_pack_uint32 (packer, report->entries[i].failure_percent);
      msgpack_pack_uint32 (packer, report->entries[i].reachability);
      msgpack_pack_uint32 (packer, report->entries[i].avoided_ms);
    }
  msgpack_pack_array (packer, report->n_members);
  for (uint32_t i = 0; i < report->n_members; i++)
    pack_text (packer, report->members[i]);
  msgpack_pack_array (packer, report->n_votes);
  for (uint32_t i = 0; i < report->n_votes; i++)
    {
      msgpack_pack_array (packer, VOTE_MEMBERS);
      msgpack_pack_uint64 (packer, report->votes[i].service);
      msgpack_pack_uint64 (packer, report->votes[i].leader);
      msgpack_pack_uint64 (packer, report->votes[i].fence);
    }
  msgpack_pack_uint16 (packer, report->data_centre);
}

static void
slot_request_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  const MfSlotRequest *request = &message->slot_request;

  msgpack_pack_array (packer, SLOT_REQUEST_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  msgpack_pack_uint64 (packer, request->id);
  pack_text (packer, request->service);
  pack_text (packer, request->data_centre);
  msgpack_pack_uint64 (packer, request->prompt_tokens);
  msgpack_pack_uint64 (packer, request->kv_tokens);
  msgpack_pack_uint32 (packer, request->is_prefilled);
  msgpack_pack_uint64 (packer, request->age_us);
  msgpack_pack_uint64 (packer, request->objective_us);
  msgpack_pack_uint64 (packer, request->max_age_us);
  msgpack_pack_array (packer, request->n_avoid);
  for (uint32_t i = 0; i < request->n_avoid; i++)
    msgpack_pack_uint64 (packer, request->avoid[i]);
  msgpack_pack_uint64 (packer, request->version);
  msgpack_pack_uint64 (packer, request->customer);
  msgpack_pack_uint32 (packer, request->priority);
}

static void
grant_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  msgpack_pack_array (packer, GRANT_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  msgpack_pack_uint64 (packer, message->grant.id);
  msgpack_pack_uint64 (packer, message->grant.decode);
  msgpack_pack_uint64 (packer, message->grant.prefill);
}

static void
id_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  msgpack_pack_array (packer, ID_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  msgpack_pack_uint64 (packer, message->grant.id);
}

static void
rejected_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  msgpack_pack_array (packer, REJECTED_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  msgpack_pack_uint64 (packer, message->grant.id);
  msgpack_pack_uint64 (packer, message->wait_us);
}

static void
retry_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  msgpack_pack_array (packer, RETRY_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  msgpack_pack_uint64 (packer, message->retry.id);
  pack_text (packer, message->retry.service);
  msgpack_pack_uint32 (packer, message->retry.n_sends);
  msgpack_pack_uint32 (packer, message->retry.is_done);
}

static void
retry_reply_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  msgpack_pack_array (packer, RETRY_REPLY_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  msgpack_pack_uint64 (packer, message->retry.id);
  msgpack_pack_uint32 (packer, message->retry.allowed);
  pack_text (packer, message->retry.service);
  msgpack_pack_uint32 (packer, message->retry.n_sends);
  msgpack_pack_uint64 (packer, message->retry.granted_us);
}

static void
retry_return_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  msgpack_pack_array (packer, RETRY_RETURN_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  pack_text (packer, message->retry.service);
  msgpack_pack_uint32 (packer, message->retry.n_sends);
  msgpack_pack_uint64 (packer, message->retry.granted_us);
}

static void
feed_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  const MfFeed *feed = &message->feed;

  msgpack_pack_array (packer, FEED_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  msgpack_pack_uint64 (packer, feed->era);
  msgpack_pack_uint64 (packer, feed->from_revision);
  msgpack_pack_uint64 (packer, feed->to_revision);
  msgpack_pack_uint64 (packer, feed->sent_us);
  msgpack_pack_uint64 (packer, feed->as_of_us);
  msgpack_pack_uint64 (packer, feed->keep_us);
  msgpack_pack_array (packer, feed->n_items);
  for (uint32_t i = 0; i < feed->n_items; i++)
    {
      const MfFeedItem *item = &feed->items[i];

      msgpack_pack_array (packer, FEED_ITEM_MEMBERS);
      pack_text (packer, item->key);
      msgpack_pack_uint64 (packer, item->revision);
      msgpack_pack_uint32 (packer, item->removed);
      msgpack_pack_bin_with_body (packer, mf_buffer_data (&feed->values) + item->value_at,
                                  item->value_bytes);
    }
}

static void
suspects_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  const MfSuspectUpdate *update = &message->suspects;

  msgpack_pack_array (packer, SUSPECTS_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  msgpack_pack_array (packer, update->n_entries);
  for (uint32_t i = 0; i < update->n_entries; i++)
    {
      const MfSuspectEntry *entry = &update->entries[i];

      msgpack_pack_array (packer, SUSPECT_ENTRY_MEMBERS);
      msgpack_pack_uint64 (packer, entry->digest);
      msgpack_pack_uint32 (packer, entry->kind);
      msgpack_pack_uint32 (packer, entry->cleared);
      msgpack_pack_uint32 (packer, entry->quarantined);
      msgpack_pack_uint32 (packer, entry->was_sound);
      msgpack_pack_uint32 (packer, entry->sound_age_ms);
      msgpack_pack_uint32 (packer, entry->depth);
      msgpack_pack_uint32 (packer, entry->n_failed_trials);
      msgpack_pack_uint32 (packer, entry->quarantine_ms);
      msgpack_pack_array (packer, entry->n_crashes);
      for (uint32_t j = 0; j < entry->n_crashes; j++)
        {
          msgpack_pack_array (packer, SUSPECT_CRASH_MEMBERS);
          msgpack_pack_uint64 (packer, entry->crashes[j].process);
          msgpack_pack_uint64 (packer, entry->crashes[j].digest);
          msgpack_pack_uint64 (packer, entry->crashes[j].caller);
          msgpack_pack_uint32 (packer, entry->crashes[j].sent_age_ms);
          msgpack_pack_uint32 (packer, entry->crashes[j].age_ms);
        }
    }
}

/* Times are sent as their age: the clocks of instances have no common start. 0, any time, stays so.
 */
static void
pack_age (msgpack_packer *packer, uint64_t at_us)
{
  uint64_t now_us = mf_clock_now_us ();

  if (at_us == 0)
    msgpack_pack_uint64 (packer, UINT64_MAX);
  else
    msgpack_pack_uint64 (packer, now_us > at_us ? now_us - at_us : 0);
}

static void
limit_pack (msgpack_packer *packer, const MfRateNotice *limit)
{
  msgpack_pack_uint32 (packer, limit->is_limited);
  msgpack_pack_uint64 (packer, limit->micro_per_s);
  pack_age (packer, limit->asked_us);
  pack_age (packer, limit->heard_us);
}

static void
rate_ask_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  const MfRateAsk *ask = &message->rate.ask;

  msgpack_pack_array (packer, RATE_ASK_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  msgpack_pack_uint64 (packer, message->rate.id);
  msgpack_pack_uint64 (packer, ask->key);
  msgpack_pack_uint32 (packer, ask->n_units);
  msgpack_pack_uint32 (packer, ask->n_charged);
  msgpack_pack_uint32 (packer, ask->n_returned);
  msgpack_pack_uint64 (packer, ask->max_wait_us);
  limit_pack (packer, &ask->limit);
}

static void
rate_grant_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  msgpack_pack_array (packer, RATE_GRANT_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  msgpack_pack_uint64 (packer, message->rate.id);
  msgpack_pack_uint64 (packer, message->rate.ask.key);
  msgpack_pack_uint32 (packer, message->rate.grant.granted);
  msgpack_pack_uint64 (packer, message->rate.grant.wait_us);
  msgpack_pack_uint32 (packer, message->rate.grant.redirected);
}

static void
limits_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  const MfLimitUpdate *update = &message->limits;

  msgpack_pack_array (packer, LIMITS_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  msgpack_pack_array (packer, update->n_entries);
  for (uint32_t i = 0; i < update->n_entries; i++)
    {
      msgpack_pack_array (packer, LIMIT_ENTRY_MEMBERS);
      msgpack_pack_uint64 (packer, update->entries[i].process);
      limit_pack (packer, &update->entries[i].limit);
    }
}

static void
origin_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  msgpack_pack_array (packer, ORIGIN_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  msgpack_pack_uint64 (packer, message->origin.stream);
  msgpack_pack_uint64 (packer, message->origin.version);
}

static void
origin_ask_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  msgpack_pack_array (packer, ORIGIN_ASK_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  msgpack_pack_uint64 (packer, message->origin.id);
  msgpack_pack_uint64 (packer, message->origin.stream);
  pack_text (packer, message->origin.service);
  pack_age (packer, message->origin.begun_us);
  msgpack_pack_uint64 (packer, message->origin.part);
  msgpack_pack_uint64 (packer, message->origin.tokens);
  msgpack_pack_uint32 (packer, message->origin.asks_engines);
}

static void
origin_reply_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  msgpack_pack_array (packer, ORIGIN_REPLY_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  msgpack_pack_uint64 (packer, message->origin.id);
  msgpack_pack_uint64 (packer, message->origin.version);
  msgpack_pack_uint32 (packer, message->origin.is_inferred);
}

static void
listings_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  const MfListingUpdate *update = &message->listings;

  msgpack_pack_array (packer, LISTINGS_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  msgpack_pack_array (packer, update->n_rows);
  for (uint32_t i = 0; i < update->n_rows; i++)
    {
      const MfListing *listing = &update->rows[i];

      msgpack_pack_array (packer, LISTING_MEMBERS);
      msgpack_pack_uint64 (packer, listing->process);
      msgpack_pack_uint32 (packer, listing->state);
      msgpack_pack_uint64 (packer, listing->position.era);
      msgpack_pack_uint64 (packer, listing->position.revision);
    }
}

static void
history_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  msgpack_pack_array (packer, HISTORY_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  msgpack_pack_uint64 (packer, message->history_age_us);
}

static void
quota_ask_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  const MfQuotaAsk *ask = &message->quota.ask;

  msgpack_pack_array (packer, QUOTA_ASK_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  msgpack_pack_uint64 (packer, message->quota.id);
  msgpack_pack_uint64 (packer, ask->key);
  msgpack_pack_uint32 (packer, ask->n_units);
  msgpack_pack_uint32 (packer, ask->n_charged);
  msgpack_pack_uint32 (packer, ask->n_returned);
  msgpack_pack_uint32 (packer, ask->n_wanted);
  msgpack_pack_uint32 (packer, ask->n_denied);
  msgpack_pack_uint64 (packer, ask->limit.per_s);
  msgpack_pack_uint64 (packer, ask->limit.burst);
}

static void
quota_grant_pack (msgpack_packer *packer, const MfRelayMessage *message)
{
  const MfQuotaGrant *grant = &message->quota.grant;

  msgpack_pack_array (packer, QUOTA_GRANT_MEMBERS);
  msgpack_pack_uint32 (packer, message->kind);
  msgpack_pack_uint64 (packer, message->quota.id);
  msgpack_pack_uint64 (packer, message->quota.ask.key);
  msgpack_pack_uint32 (packer, message->quota.ask.n_units);
  msgpack_pack_uint32 (packer, grant->granted);
  msgpack_pack_uint32 (packer, grant->redirected);
  msgpack_pack_uint64 (packer, grant->wait_us);
  msgpack_pack_uint64 (packer, grant->spread_us);
  msgpack_pack_uint32 (packer, grant->n_leased);
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
read_u32 (const msgpack_object *object, uint32_t *number)
{
  uint64_t value = 0;

  if (!read_number (object, UINT32_MAX, &value))
    return false;
  *number = (uint32_t)value;
  return true;
}

static bool
read_flag (const msgpack_object *object, bool *flag)
{
  uint64_t value = 0;

  if (!read_number (object, 1, &value))
    return false;
  *flag = value != 0;
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
read_array (const msgpack_object *object, uint32_t n_max)
{
  return object->type == MSGPACK_OBJECT_ARRAY && object->via.array.size <= n_max;
}

static bool
entry_read (const msgpack_object *object, MfLoadEntry *entry)
{
  uint64_t reachability = 0;

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < ENTRY_MEMBERS
      || !read_number (&object->via.array.ptr[0], UINT64_MAX, &entry->upstream)
      || !read_u32 (&object->via.array.ptr[1], &entry->n_active)
      || !read_u32 (&object->via.array.ptr[2], &entry->tokens)
      || !read_u32 (&object->via.array.ptr[3], &entry->failure_percent)
      || !read_number (&object->via.array.ptr[4], MF_REACHABILITY_LAST, &reachability)
      || !read_u32 (&object->via.array.ptr[5], &entry->avoided_ms))
    return false;
  entry->reachability = (MfReachability)reachability;
  return true;
}

static bool
vote_read (const msgpack_object *object, MfLeaderVote *vote)
{
  return object->type == MSGPACK_OBJECT_ARRAY && object->via.array.size >= VOTE_MEMBERS
         && read_number (&object->via.array.ptr[0], UINT64_MAX, &vote->service)
         && read_number (&object->via.array.ptr[1], UINT64_MAX, &vote->leader)
         && read_number (&object->via.array.ptr[2], UINT64_MAX, &vote->fence);
}

static bool
report_read (const msgpack_object *members, MfRelayMessage *message)
{
  MfLoadReport *report = &message->report;
  const msgpack_object *entries = &members[3];
  const msgpack_object *member_list = &members[4];
  const msgpack_object *votes = &members[5];
  uint64_t data_centre = 0;

  report->n_entries = 0;
  report->n_members = 0;
  report->n_votes = 0;
  if (!read_text (&members[1], report->address, sizeof report->address)
      || !read_u32 (&members[2], &report->heartbeat_ms)
      || !read_array (entries, MF_LOAD_ENTRIES_MAX)
      || !read_array (member_list, MF_LOAD_MEMBERS_MAX) || !read_array (votes, MF_LOAD_VOTES_MAX)
      || !read_number (&members[6], UINT16_MAX, &data_centre))
    return false;
  report->data_centre = (uint16_t)data_centre;
  for (uint32_t i = 0; i < entries->via.array.size; i++)
    {
      if (!entry_read (&entries->via.array.ptr[i], &report->entries[i]))
        return false;
      report->n_entries++;
    }
  for (uint32_t i = 0; i < member_list->via.array.size; i++)
    {
      if (!read_text (&member_list->via.array.ptr[i], report->members[i], MF_ADDRESS_BYTES))
        return false;
      report->n_members++;
    }
  for (uint32_t i = 0; i < votes->via.array.size; i++)
    {
      if (!vote_read (&votes->via.array.ptr[i], &report->votes[i]))
        return false;
      report->n_votes++;
    }
  return true;
}

static bool
slot_request_read (const msgpack_object *members, MfRelayMessage *message)
{
  MfSlotRequest *request = &message->slot_request;
  const msgpack_object *avoid = &members[10];

  request->n_avoid = 0;
  request->customer = 0;
  request->priority = 0;
  if (!read_number (&members[1], UINT64_MAX, &request->id)
      || !read_text (&members[2], request->service, sizeof request->service)
      || !read_text (&members[3], request->data_centre, sizeof request->data_centre)
      || !read_number (&members[4], UINT32_MAX, &request->prompt_tokens)
      || !read_number (&members[5], UINT32_MAX, &request->kv_tokens)
      || !read_flag (&members[6], &request->is_prefilled)
      || !read_number (&members[7], UINT64_MAX / 2, &request->age_us)
      || !read_number (&members[8], UINT64_MAX / 4, &request->objective_us)
      || !read_number (&members[9], UINT64_MAX / 4, &request->max_age_us)
      || !read_number (&members[11], UINT64_MAX, &request->version)
      || !read_array (avoid, MF_PLACE_AVOID_MAX))
    return false;
  for (uint32_t i = 0; i < avoid->via.array.size; i++)
    {
      if (!read_number (&avoid->via.array.ptr[i], UINT64_MAX, &request->avoid[i]))
        return false;
      request->n_avoid++;
    }
  return true;
}

/* Reads the members that older releases do not send. */
static bool
slot_request_read_optional (const msgpack_object_array *members, MfRelayMessage *message)
{
  MfSlotRequest *request = &message->slot_request;
  uint64_t priority = 0;

  if (members->size < SLOT_REQUEST_MEMBERS)
    return true;
  if (!read_number (&members->ptr[12], UINT64_MAX, &request->customer)
      || !read_number (&members->ptr[13], MF_FAIR_PRIORITY_MAX, &priority))
    return false;
  request->priority = (uint32_t)priority;
  return true;
}

static bool
grant_read (const msgpack_object *members, MfRelayMessage *message)
{
  return read_number (&members[1], UINT64_MAX, &message->grant.id)
         && read_number (&members[2], UINT64_MAX, &message->grant.decode)
         && read_number (&members[3], UINT64_MAX, &message->grant.prefill);
}

static bool
id_read (const msgpack_object *members, MfRelayMessage *message)
{
  return read_number (&members[1], UINT64_MAX, &message->grant.id);
}

static bool
rejected_read (const msgpack_object *members, MfRelayMessage *message)
{
  return read_number (&members[1], UINT64_MAX, &message->grant.id)
         && read_number (&members[2], UINT64_MAX / 4, &message->wait_us);
}

static bool
retry_read (const msgpack_object *members, MfRelayMessage *message)
{
  MfRetryRequest *retry = &message->retry;

  return read_number (&members[1], UINT64_MAX, &retry->id)
         && read_text (&members[2], retry->service, sizeof retry->service)
         && read_u32 (&members[3], &retry->n_sends) && retry->n_sends <= RETRY_SENDS_MAX
         && read_flag (&members[4], &retry->is_done);
}

/* Reads the service, the sends and the time of a grant. */
static bool
retry_grant_read (const msgpack_object *members, MfRetryRequest *retry)
{
  return read_text (&members[0], retry->service, sizeof retry->service)
         && read_u32 (&members[1], &retry->n_sends) && retry->n_sends <= RETRY_SENDS_MAX
         && read_number (&members[2], UINT64_MAX, &retry->granted_us);
}

static bool
retry_reply_read (const msgpack_object *members, MfRelayMessage *message)
{
  message->retry = (MfRetryRequest){ 0 };
  return read_number (&members[1], UINT64_MAX, &message->retry.id)
         && read_flag (&members[2], &message->retry.allowed);
}

/* Older releases do not say what they grant. */
static bool
retry_reply_read_optional (const msgpack_object_array *members, MfRelayMessage *message)
{
  return members->size < RETRY_REPLY_MEMBERS
         || retry_grant_read (&members->ptr[RETRY_REPLY_MEMBERS_MIN], &message->retry);
}

static bool
retry_return_read (const msgpack_object *members, MfRelayMessage *message)
{
  message->retry = (MfRetryRequest){ 0 };
  return retry_grant_read (&members[1], &message->retry);
}

static bool
feed_read (const msgpack_object *members, MfRelayMessage *message)
{
  MfFeed *feed = &message->feed;
  const msgpack_object *items = &members[7];

  mf_feed_begin (feed, 0, 0);
  if (!read_number (&members[1], UINT64_MAX, &feed->era)
      || !read_number (&members[2], UINT64_MAX, &feed->from_revision)
      || !read_number (&members[3], UINT64_MAX, &feed->to_revision)
      || !read_number (&members[4], INT64_MAX, &feed->sent_us)
      || !read_number (&members[5], INT64_MAX, &feed->as_of_us)
      || !read_number (&members[6], UINT32_MAX, &feed->keep_us)
      || !read_array (items, MF_FEED_ITEMS_MAX))
    return false;
  for (uint32_t i = 0; i < items->via.array.size; i++)
    {
      const msgpack_object *object = &items->via.array.ptr[i];
      char key[MF_FEED_KEY_BYTES];
      uint64_t revision = 0;
      bool removed = false;

      if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < FEED_ITEM_MEMBERS
          || !read_text (&object->via.array.ptr[0], key, sizeof key)
          || !read_number (&object->via.array.ptr[1], UINT64_MAX, &revision)
          || !read_flag (&object->via.array.ptr[2], &removed)
          || object->via.array.ptr[3].type != MSGPACK_OBJECT_BIN
          || !mf_feed_add (feed, key, revision, removed, object->via.array.ptr[3].via.bin.ptr,
                           object->via.array.ptr[3].via.bin.size))
        return false;
    }
  return true;
}

static bool
suspect_crash_read (const msgpack_object *members, MfSuspectEntryCrash *crash)
{
  return members->type == MSGPACK_OBJECT_ARRAY && members->via.array.size >= SUSPECT_CRASH_MEMBERS
         && read_number (&members->via.array.ptr[0], UINT64_MAX, &crash->process)
         && read_number (&members->via.array.ptr[1], UINT64_MAX, &crash->digest)
         && read_number (&members->via.array.ptr[2], UINT64_MAX, &crash->caller)
         && read_u32 (&members->via.array.ptr[3], &crash->sent_age_ms)
         && read_u32 (&members->via.array.ptr[4], &crash->age_ms);
}

static bool
suspect_entry_read (const msgpack_object *members, MfSuspectEntry *entry)
{
  const msgpack_object *fields;
  const msgpack_object *crashes;
  uint64_t kind = 0;

  if (members->type != MSGPACK_OBJECT_ARRAY || members->via.array.size < SUSPECT_ENTRY_MEMBERS)
    return false;
  fields = members->via.array.ptr;
  crashes = &fields[SUSPECT_ENTRY_MEMBERS - 1];
  entry->n_crashes = 0;
  if (!read_number (&fields[0], UINT64_MAX, &entry->digest)
      || !read_number (&fields[1], MF_SUSPECT_CONTENT, &kind)
      || !read_flag (&fields[2], &entry->cleared) || !read_flag (&fields[3], &entry->quarantined)
      || !read_flag (&fields[4], &entry->was_sound) || !read_u32 (&fields[5], &entry->sound_age_ms)
      || !read_u32 (&fields[6], &entry->depth) || !read_u32 (&fields[7], &entry->n_failed_trials)
      || !read_u32 (&fields[8], &entry->quarantine_ms)
      || !read_array (crashes, MF_SUSPECT_CRASHES_MAX))
    return false;
  entry->kind = (MfSuspectKind)kind;
  while (entry->n_crashes < crashes->via.array.size)
    {
      if (!suspect_crash_read (&crashes->via.array.ptr[entry->n_crashes],
                               &entry->crashes[entry->n_crashes]))
        return false;
      entry->n_crashes++;
    }
  return true;
}

static bool
suspects_read (const msgpack_object *members, MfRelayMessage *message)
{
  MfSuspectUpdate *update = &message->suspects;
  const msgpack_object *rows = &members[1];

  update->n_entries = 0;
  if (!read_array (rows, MF_SUSPECT_ENTRIES_MAX))
    return false;
  while (update->n_entries < rows->via.array.size)
    {
      if (!suspect_entry_read (&rows->via.array.ptr[update->n_entries],
                               &update->entries[update->n_entries]))
        return false;
      update->n_entries++;
    }
  return true;
}

static bool
read_age (const msgpack_object *object, uint64_t *at_us)
{
  uint64_t now_us = mf_clock_now_us ();
  uint64_t age_us = 0;

  if (!read_number (object, UINT64_MAX, &age_us))
    return false;
  *at_us = now_us > age_us ? now_us - age_us : 0;
  return true;
}

static bool
limit_read (const msgpack_object *members, MfRateNotice *limit)
{
  if (!read_flag (&members[0], &limit->is_limited)
      || !read_number (&members[1], MF_RATE_MAX * MF_RATE_MICRO, &limit->micro_per_s)
      || !read_age (&members[2], &limit->asked_us) || !read_age (&members[3], &limit->heard_us))
    return false;
  /* The clock was read between the two ages, which may be close to each other. */
  if (limit->asked_us > limit->heard_us)
    limit->asked_us = limit->heard_us;
  return true;
}

static bool
rate_ask_read (const msgpack_object *members, MfRelayMessage *message)
{
  MfRateAsk *ask = &message->rate.ask;
  uint64_t n_units = 0;
  uint64_t n_charged = 0;
  uint64_t n_returned = 0;

  if (!read_number (&members[1], UINT64_MAX, &message->rate.id)
      || !read_number (&members[2], UINT64_MAX, &ask->key)
      || !read_number (&members[3], RATE_UNITS_MAX, &n_units)
      || !read_number (&members[4], RATE_UNITS_MAX, &n_charged)
      || !read_number (&members[5], RATE_UNITS_MAX, &n_returned)
      || !read_number (&members[6], UINT32_MAX, &ask->max_wait_us)
      || !limit_read (&members[7], &ask->limit))
    return false;
  ask->n_units = (uint32_t)n_units;
  ask->n_charged = (uint32_t)n_charged;
  ask->n_returned = (uint32_t)n_returned;
  return true;
}

static bool
rate_grant_read (const msgpack_object *members, MfRelayMessage *message)
{
  return read_number (&members[1], UINT64_MAX, &message->rate.id)
         && read_number (&members[2], UINT64_MAX, &message->rate.ask.key)
         && read_flag (&members[3], &message->rate.grant.granted)
         && read_number (&members[4], UINT64_MAX, &message->rate.grant.wait_us)
         && read_flag (&members[5], &message->rate.grant.redirected);
}

static bool
limits_read (const msgpack_object *members, MfRelayMessage *message)
{
  MfLimitUpdate *update = &message->limits;
  const msgpack_object *rows = &members[1];

  update->n_entries = 0;
  if (!read_array (rows, MF_LIMIT_ENTRIES_MAX))
    return false;
  while (update->n_entries < rows->via.array.size)
    {
      const msgpack_object *row = &rows->via.array.ptr[update->n_entries];
      MfLimitEntry *entry = &update->entries[update->n_entries];

      if (row->type != MSGPACK_OBJECT_ARRAY || row->via.array.size < LIMIT_ENTRY_MEMBERS
          || !read_number (&row->via.array.ptr[0], UINT64_MAX, &entry->process)
          || !limit_read (&row->via.array.ptr[1], &entry->limit))
        return false;
      update->n_entries++;
    }
  return true;
}

static bool
origin_read (const msgpack_object *members, MfRelayMessage *message)
{
  return read_number (&members[1], UINT64_MAX, &message->origin.stream)
         && read_number (&members[2], UINT64_MAX, &message->origin.version);
}

static bool
origin_ask_read (const msgpack_object *members, MfRelayMessage *message)
{
  return read_number (&members[1], UINT64_MAX, &message->origin.id)
         && read_number (&members[2], UINT64_MAX, &message->origin.stream)
         && read_text (&members[3], message->origin.service, sizeof message->origin.service)
         && read_age (&members[4], &message->origin.begun_us)
         && read_number (&members[5], UINT64_MAX, &message->origin.part)
         && read_number (&members[6], MF_PART_TOKENS_MAX, &message->origin.tokens)
         && read_flag (&members[7], &message->origin.asks_engines);
}

static bool
origin_reply_read (const msgpack_object *members, MfRelayMessage *message)
{
  return read_number (&members[1], UINT64_MAX, &message->origin.id)
         && read_number (&members[2], UINT64_MAX, &message->origin.version)
         && read_flag (&members[3], &message->origin.is_inferred);
}

static bool
listing_read (const msgpack_object *row, MfListing *listing)
{
  uint64_t state = 0;

  if (row->type != MSGPACK_OBJECT_ARRAY || row->via.array.size < LISTING_MEMBERS
      || !read_number (&row->via.array.ptr[0], UINT64_MAX, &listing->process)
      || !read_number (&row->via.array.ptr[1], MF_LISTING_STATE_LAST, &state)
      || !read_number (&row->via.array.ptr[2], UINT64_MAX, &listing->position.era)
      || !read_number (&row->via.array.ptr[3], UINT64_MAX, &listing->position.revision))
    return false;
  listing->state = (MfListingState)state;
  return true;
}

static bool
listings_read (const msgpack_object *members, MfRelayMessage *message)
{
  MfListingUpdate *update = &message->listings;
  const msgpack_object *rows = &members[1];

  update->n_rows = 0;
  if (!read_array (rows, MF_LISTING_ROWS_MAX))
    return false;
  while (update->n_rows < rows->via.array.size)
    {
      if (!listing_read (&rows->via.array.ptr[update->n_rows], &update->rows[update->n_rows]))
        return false;
      update->n_rows++;
    }
  return true;
}

static bool
history_read (const msgpack_object *members, MfRelayMessage *message)
{
  return read_number (&members[1], INT64_MAX, &message->history_age_us);
}

static bool
read_units (const msgpack_object *object, uint32_t *n_units)
{
  uint64_t number = 0;

  if (!read_number (object, MF_QUOTA_ASK_UNITS_MAX, &number))
    return false;
  *n_units = (uint32_t)number;
  return true;
}

static bool
quota_ask_read (const msgpack_object *members, MfRelayMessage *message)
{
  MfQuotaAsk *ask = &message->quota.ask;

  return read_number (&members[1], UINT64_MAX, &message->quota.id)
         && read_number (&members[2], UINT64_MAX, &ask->key)
         && read_units (&members[3], &ask->n_units) && read_units (&members[4], &ask->n_charged)
         && read_units (&members[5], &ask->n_returned) && read_units (&members[6], &ask->n_wanted)
         && read_units (&members[7], &ask->n_denied)
         && read_number (&members[8], UINT64_MAX, &ask->limit.per_s)
         && read_number (&members[9], UINT64_MAX, &ask->limit.burst);
}

static bool
quota_grant_read (const msgpack_object *members, MfRelayMessage *message)
{
  MfQuotaGrant *grant = &message->quota.grant;

  return read_number (&members[1], UINT64_MAX, &message->quota.id)
         && read_number (&members[2], UINT64_MAX, &message->quota.ask.key)
         && read_units (&members[3], &message->quota.ask.n_units)
         && read_flag (&members[4], &grant->granted) && read_flag (&members[5], &grant->redirected)
         && read_number (&members[6], UINT32_MAX, &grant->wait_us)
         && read_number (&members[7], UINT32_MAX, &grant->spread_us)
         && read_units (&members[8], &grant->n_leased);
}

/* Encoder and decoder of one kind of message. */
typedef struct
{
  uint32_t n_members;
  void (*pack) (msgpack_packer *packer, const MfRelayMessage *message);
  bool (*read) (const msgpack_object *members, MfRelayMessage *message);
  /* Reads members that the message may lack; NULL: there are none. */
  bool (*read_optional) (const msgpack_object_array *members, MfRelayMessage *message);
} MessageCodec;

static const MessageCodec codecs[] = {
  [MF_RELAY_MESSAGE_REPORT] = { REPORT_MEMBERS, report_pack, report_read },
  [MF_RELAY_MESSAGE_SLOT_REQUEST]
  = { SLOT_REQUEST_MEMBERS_MIN, slot_request_pack, slot_request_read, slot_request_read_optional },
  [MF_RELAY_MESSAGE_GRANT] = { GRANT_MEMBERS, grant_pack, grant_read },
  [MF_RELAY_MESSAGE_QUEUED] = { ID_MEMBERS, id_pack, id_read },
  [MF_RELAY_MESSAGE_CANCEL] = { ID_MEMBERS, id_pack, id_read },
  [MF_RELAY_MESSAGE_GRANT_ACK] = { ID_MEMBERS, id_pack, id_read },
  [MF_RELAY_MESSAGE_RETRY] = { RETRY_MEMBERS, retry_pack, retry_read },
  [MF_RELAY_MESSAGE_RETRY_REPLY]
  = { RETRY_REPLY_MEMBERS_MIN, retry_reply_pack, retry_reply_read, retry_reply_read_optional },
  [MF_RELAY_MESSAGE_RETRY_RETURN] = { RETRY_RETURN_MEMBERS, retry_return_pack, retry_return_read },
  [MF_RELAY_MESSAGE_FEED] = { FEED_MEMBERS, feed_pack, feed_read },
  [MF_RELAY_MESSAGE_SUSPECTS] = { SUSPECTS_MEMBERS, suspects_pack, suspects_read },
  [MF_RELAY_MESSAGE_CONTENTS] = { SUSPECTS_MEMBERS, suspects_pack, suspects_read },
  [MF_RELAY_MESSAGE_RATE_ASK] = { RATE_ASK_MEMBERS, rate_ask_pack, rate_ask_read },
  [MF_RELAY_MESSAGE_RATE_GRANT] = { RATE_GRANT_MEMBERS, rate_grant_pack, rate_grant_read },
  [MF_RELAY_MESSAGE_REJECTED] = { REJECTED_MEMBERS, rejected_pack, rejected_read },
  [MF_RELAY_MESSAGE_LIMITS] = { LIMITS_MEMBERS, limits_pack, limits_read },
  [MF_RELAY_MESSAGE_ORIGIN] = { ORIGIN_MEMBERS, origin_pack, origin_read },
  [MF_RELAY_MESSAGE_ORIGIN_ASK] = { ORIGIN_ASK_MEMBERS, origin_ask_pack, origin_ask_read },
  [MF_RELAY_MESSAGE_ORIGIN_REPLY] = { ORIGIN_REPLY_MEMBERS, origin_reply_pack, origin_reply_read },
  [MF_RELAY_MESSAGE_LISTINGS] = { LISTINGS_MEMBERS, listings_pack, listings_read },
  [MF_RELAY_MESSAGE_HISTORY] = { HISTORY_MEMBERS, history_pack, history_read },
  [MF_RELAY_MESSAGE_QUOTA_ASK] = { QUOTA_ASK_MEMBERS, quota_ask_pack, quota_ask_read },
  [MF_RELAY_MESSAGE_QUOTA_GRANT] = { QUOTA_GRANT_MEMBERS, quota_grant_pack, quota_grant_read },
};

/* Appends a message as a frame: 4 bytes of length in network byte order, then msgpack. */
void
mf_relay_message_encode (const MfRelayMessage *message, MfBuffer *out)
{
  MfBuffer payload = { 0 };
  msgpack_packer packer;
  uint8_t length[4];
  size_t n_bytes;

  msgpack_packer_init (&packer, &payload, buffer_write);
  codecs[message->kind].pack (&packer, message);
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
message_read (const msgpack_object *object, MfRelayMessage *message)
{
  uint64_t kind = 0;

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size == 0
      || !read_number (&object->via.array.ptr[0], UINT64_MAX, &kind)
      || kind == MF_RELAY_MESSAGE_UNKNOWN)
    return false;
  if (kind >= MF_ARRAY_LEN (codecs))
    {
      message->kind = MF_RELAY_MESSAGE_UNKNOWN;
      return true;
    }
  if (object->via.array.size < codecs[kind].n_members)
    return false;
  message->kind = (MfRelayMessageKind)kind;
  return codecs[kind].read (object->via.array.ptr, message)
         && (codecs[kind].read_optional == NULL
             || codecs[kind].read_optional (&object->via.array, message));
}

/* Decodes the payload of a frame; members beyond the known ones are ignored, and of a message of a
 * newer release all. Returns false when it is malformed. */
bool
mf_relay_message_decode (const char *payload, size_t payload_bytes, MfRelayMessage *message)
{
  msgpack_unpacked unpacked;
  size_t at = 0;
  bool good;

  /* The library allocates as much as the header of a container claims. */
  if (!mf_frame_is_well_formed ((const uint8_t *)payload, payload_bytes))
    return false;
  msgpack_unpacked_init (&unpacked);
  good = msgpack_unpack_next (&unpacked, payload, payload_bytes, &at) == MSGPACK_UNPACK_SUCCESS
         && message_read (&unpacked.data, message);
  msgpack_unpacked_destroy (&unpacked);
  return good;
}
