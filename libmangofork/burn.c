#include "burn.h"

#include "upstream.h"

#include <stdlib.h>
#include <string.h>

#include <msgpack.h>
#include "table.h"
#include <xxhash.h>

#define US_PER_MINUTE (60 * MF_US_PER_S)
#define N_RINGS 4
#define RING_BUCKETS 13
/* Rows of one instance, for all its customers and services. Further ones are not counted. */
#define ROWS_MAX 4096
#define PEERS_MAX 128
/* Rows of peers whose last totals are kept. */
#define BASELINES_MAX 65536
#define PEER_MAX_AGE_US (UINT64_C (24) * 60 * US_PER_MINUTE)
/* Rows sent again with each digest although unchanged, in rotation, in case a digest was lost. */
#define ROWS_RESENT_PER_DIGEST 2
#define PACK_VERSION 1
#define ROW_N_COUNTS (3 * MF_SLI_COUNT + 3)
#define ROW_N_HEADER_FIELDS 3 /* kind, hash of the name, age in microseconds */
#define ROW_N_FIELDS (ROW_N_HEADER_FIELDS + ROW_N_COUNTS)

typedef struct
{
  uint32_t total[MF_SLI_COUNT];
  uint32_t bad[MF_SLI_COUNT];
  uint64_t allowed_ppm[MF_SLI_COUNT];
  uint32_t good;
  uint32_t refused;
  uint32_t departed;
  uint32_t epoch; /* start of the interval that it counts, in bucket widths */
} Bucket;

typedef struct
{
  Bucket buckets[N_RINGS][RING_BUCKETS];
} WindowCounts;

typedef struct
{
  uint64_t key; /* hash of kind and name_hash */
  MfBurnKind kind;
  uint64_t name_hash;
  MfBurnCounts counts; /* since the start */
  uint64_t first_us;   /* when this instance counted its first request; 0 for none */
  bool changed;        /* since it was last packed */
  WindowCounts own_windows;
  WindowCounts *peer_windows; /* NULL until a peer has reported the row */
  UT_hash_handle hh;
} Row;

/* The totals of a row in the last digest of a peer. */
typedef struct
{
  uint64_t key; /* hash of the peer's name and the row's key */
  uint64_t incarnation;
  MfBurnCounts counts;
  UT_hash_handle hh;
} Baseline;

struct MfBurn
{
  Row *rows[ROWS_MAX];
  uint32_t n_rows;
  Row *table;
  uint32_t next_changed; /* where the next digest continues */
  uint32_t next_resent;
  Baseline *baselines;
  MfBurnPeer peers[PEERS_MAX];
  uint32_t n_peers;
  uint64_t started_us;
  uint64_t n_rows_missed;
};

static const uint64_t ring_widths_us[N_RINGS]
    = { 30 * MF_US_PER_S, 5 * US_PER_MINUTE, 30 * US_PER_MINUTE, 120 * US_PER_MINUTE };

/* The ring that a window is summed from, and its length in buckets. */
static const struct
{
  const char *name;
  uint32_t ring;
  uint32_t n_buckets;
} windows[MF_BURN_WINDOW_COUNT] = {
  [MF_BURN_WINDOW_5M] = { "5m", 0, 10 }, [MF_BURN_WINDOW_30M] = { "30m", 1, 6 },
  [MF_BURN_WINDOW_1H] = { "1h", 1, 12 }, [MF_BURN_WINDOW_2H] = { "2h", 2, 4 },
  [MF_BURN_WINDOW_6H] = { "6h", 2, 12 }, [MF_BURN_WINDOW_1D] = { "1d", 3, 12 },
};

const MfBurnAlert mf_burn_alerts[MF_BURN_ALERT_COUNT] = {
  { MF_BURN_WINDOW_5M, MF_BURN_WINDOW_1H, 14.4, "page" },
  { MF_BURN_WINDOW_30M, MF_BURN_WINDOW_6H, 6, "page" },
  { MF_BURN_WINDOW_2H, MF_BURN_WINDOW_1D, 3, "ticket" },
};

const char *
mf_sli_name (MfSli sli)
{
  static const char *const names[MF_SLI_COUNT] = {
    [MF_SLI_TTFT] = "ttft",
    [MF_SLI_TBT] = "tbt",
    [MF_SLI_AVAILABILITY] = "availability",
    [MF_SLI_REFUSALS] = "refusals",
  };

  return sli < MF_SLI_COUNT ? names[sli] : "none";
}

const char *
mf_burn_window_name (MfBurnWindow window)
{
  return window < MF_BURN_WINDOW_COUNT ? windows[window].name : "start";
}

uint64_t
mf_burn_window_us (MfBurnWindow window)
{
  return windows[window].n_buckets * ring_widths_us[windows[window].ring];
}

MfBurn *
mf_burn_new (uint64_t now_us)
{
  MfBurn *burn = calloc (1, sizeof *burn);

  if (burn != NULL)
    burn->started_us = now_us;
  return burn;
}

/* Accepts NULL. */
void
mf_burn_free (MfBurn *burn)
{
  Baseline *baseline;
  Baseline *next;

  if (burn == NULL)
    return;
  baseline = burn->baselines;
  HASH_CLEAR (hh, burn->baselines);
  for (; baseline != NULL; baseline = next)
    {
      next = baseline->hh.next;
      free (baseline);
    }
  HASH_CLEAR (hh, burn->table);
  for (uint32_t i = 0; i < burn->n_rows; i++)
    {
      free (burn->rows[i]->peer_windows);
      free (burn->rows[i]);
    }
  free (burn);
}

/* Hashes a pair to one 64-bit key. Collisions are too rare to be handled. */
static uint64_t
pair_key (uint64_t first, uint64_t second)
{
  const uint64_t pair[] = { first, second };

  return XXH3_64bits (pair, sizeof pair);
}

static Row *
row_find (const MfBurn *burn, MfBurnKind kind, uint64_t name_hash)
{
  uint64_t key = pair_key (kind, name_hash);
  Row *row;

  HASH_FIND (hh, burn->table, &key, sizeof key, row);
  return row;
}

static void
row_table_add (MfBurn *burn, Row *row)
{
  HASH_ADD (hh, burn->table, key, sizeof row->key, row);
}

/* Returns NULL when the table is full or memory ran out. */
static Row *
row_find_or_add (MfBurn *burn, MfBurnKind kind, uint64_t name_hash)
{
  Row *row = row_find (burn, kind, name_hash);

  if (row != NULL || burn->n_rows >= ROWS_MAX)
    return row;
  row = calloc (1, sizeof *row);
  if (row == NULL)
    return NULL;
  row->key = pair_key (kind, name_hash);
  row->kind = kind;
  row->name_hash = name_hash;
  row_table_add (burn, row);
  burn->rows[burn->n_rows++] = row;
  return row;
}

static void
counts_add (MfBurnCounts *dst, const MfBurnCounts *src)
{
  for (uint32_t sli = 0; sli < MF_SLI_COUNT; sli++)
    {
      dst->total[sli] += src->total[sli];
      dst->bad[sli] += src->bad[sli];
      dst->allowed_ppm[sli] += src->allowed_ppm[sli];
    }
  dst->good += src->good;
  dst->refused += src->refused;
  dst->departed += src->departed;
}

static void
bucket_add (Bucket *bucket, uint32_t epoch, const MfBurnCounts *counts)
{
  if (bucket->epoch != epoch)
    *bucket = (Bucket){ .epoch = epoch };
  for (uint32_t sli = 0; sli < MF_SLI_COUNT; sli++)
    {
      bucket->total[sli] += (uint32_t)counts->total[sli];
      bucket->bad[sli] += (uint32_t)counts->bad[sli];
      bucket->allowed_ppm[sli] += counts->allowed_ppm[sli];
    }
  bucket->good += (uint32_t)counts->good;
  bucket->refused += (uint32_t)counts->refused;
  bucket->departed += (uint32_t)counts->departed;
}

static void
window_counts_add (WindowCounts *dst, const MfBurnCounts *counts, uint64_t now_us)
{
  for (uint32_t ring = 0; ring < N_RINGS; ring++)
    {
      uint32_t epoch = (uint32_t)(now_us / ring_widths_us[ring]);

      bucket_add (&dst->buckets[ring][epoch % RING_BUCKETS], epoch, counts);
    }
}

/* Sums the current bucket and the n_buckets before it. */
static void
window_counts_sum (const WindowCounts *src, MfBurnWindow window, uint64_t now_us,
                   MfBurnCounts *counts)
{
  uint32_t ring = windows[window].ring;
  uint32_t epoch = (uint32_t)(now_us / ring_widths_us[ring]);

  for (uint32_t i = 0; i < RING_BUCKETS; i++)
    {
      const Bucket *bucket = &src->buckets[ring][i];

      if (bucket->epoch > epoch || epoch - bucket->epoch > windows[window].n_buckets)
        continue;
      for (uint32_t sli = 0; sli < MF_SLI_COUNT; sli++)
        {
          counts->total[sli] += bucket->total[sli];
          counts->bad[sli] += bucket->bad[sli];
          counts->allowed_ppm[sli] += bucket->allowed_ppm[sli];
        }
      counts->good += bucket->good;
      counts->refused += bucket->refused;
      counts->departed += bucket->departed;
    }
}

/* Whether the code means an error in the caller's own request. */
static bool
code_is_caller_error (MfCode code)
{
  return code >= MF_CODE_BAD_JSON && code < MF_CODE_QUEUE_FULL;
}

static void
count_sli (MfBurnCounts *counts, MfSli sli, bool bad, uint32_t objective_ppm)
{
  counts->total[sli]++;
  counts->bad[sli] += bad;
  counts->allowed_ppm[sli] += 1000000 - objective_ppm;
}

/* Counts one request. Requests whose caller disconnected or made an error count for no objective;
 * refused ones count only for MF_SLI_REFUSALS. */
static void
sample_count (const MfService *service, const MfBurnSample *sample, MfBurnCounts *counts)
{
  bool answered = sample->code == MF_CODE_OK;
  bool refused;

  if (sample->departed)
    counts->departed++;
  if (sample->departed || code_is_caller_error (sample->code))
    return;
  refused = !answered && sample->refused && sample->outcome == MF_OUTCOME_NOT_RUN;
  count_sli (counts, MF_SLI_REFUSALS, refused, service->objective_availability_ppm);
  counts->refused += refused;
  if (refused)
    return;
  count_sli (counts, MF_SLI_AVAILABILITY, !answered, service->objective_availability_ppm);
  if (!answered)
    return;
  count_sli (counts, MF_SLI_TTFT, sample->ttft_us > service->ttft_target_us,
             service->objective_ttft_ppm);
  if (sample->n_gaps > 0)
    count_sli (counts, MF_SLI_TBT, (uint64_t)sample->n_gaps_late * 20 > sample->n_gaps,
               service->objective_tbt_ppm);
  counts->good += mf_burn_is_good (service, sample);
}

static void
row_record (MfBurn *burn, MfBurnKind kind, const char *name, const MfBurnCounts *counts,
            uint64_t now_us)
{
  Row *row = row_find_or_add (burn, kind, mf_hash_name (name));

  if (row == NULL)
    {
      burn->n_rows_missed++;
      return;
    }
  if (row->first_us == 0)
    row->first_us = now_us;
  counts_add (&row->counts, counts);
  window_counts_add (&row->own_windows, counts, now_us);
  row->changed = true;
}

/* Counts the outcome of one request for its service and its customer. */
void
mf_burn_record (MfBurn *burn, const MfConfig *config, const MfBurnSample *sample, uint64_t now_us)
{
  MfBurnCounts counts = { 0 };

  if (config == NULL || sample->service >= config->n_services)
    return;
  sample_count (&config->services[sample->service], sample, &counts);
  row_record (burn, MF_BURN_SERVICE, config->services[sample->service].name, &counts, now_us);
  if (sample->customer < config->n_customers)
    row_record (burn, MF_BURN_CUSTOMER, config->customers[sample->customer].name, &counts, now_us);
}

bool
mf_burn_is_good (const MfService *service, const MfBurnSample *sample)
{
  if (sample->code != MF_CODE_OK || sample->ttft_us > service->ttft_target_us)
    return false;
  return (uint64_t)sample->n_gaps_late * 20 <= sample->n_gaps;
}

void
mf_burn_counts (const MfBurn *burn, MfBurnKind kind, uint64_t name_hash, MfBurnWindow window,
                bool with_peers, uint64_t now_us, MfBurnCounts *counts)
{
  const Row *row = row_find (burn, kind, name_hash);

  *counts = (MfBurnCounts){ 0 };
  if (row == NULL)
    return;
  if (window >= MF_BURN_WINDOW_COUNT)
    {
      *counts = row->counts;
      return;
    }
  window_counts_sum (&row->own_windows, window, now_us, counts);
  if (with_peers && row->peer_windows != NULL)
    window_counts_sum (row->peer_windows, window, now_us, counts);
}

double
mf_burn_rate (const MfBurnCounts *counts, MfSli sli)
{
  if (counts->allowed_ppm[sli] == 0)
    return 0;
  return (double)counts->bad[sli] * 1e6 / (double)counts->allowed_ppm[sli];
}

void
mf_burn_foreach_peer (const MfBurn *burn, MfBurnPeerFunc func, void *data)
{
  for (uint32_t i = 0; i < burn->n_peers; i++)
    {
      if (!func (&burn->peers[i], data))
        return;
    }
}

uint64_t
mf_burn_n_rows_missed (const MfBurn *burn)
{
  return burn->n_rows_missed;
}

uint64_t
mf_burn_started_us (const MfBurn *burn)
{
  return burn->started_us;
}

/* Lists the counts of a row in the order in which they are packed. */
static void
counts_to_array (const MfBurnCounts *counts, uint64_t array[ROW_N_COUNTS])
{
  uint32_t n = 0;

  for (uint32_t sli = 0; sli < MF_SLI_COUNT; sli++)
    {
      array[n++] = counts->total[sli];
      array[n++] = counts->bad[sli];
      array[n++] = counts->allowed_ppm[sli];
    }
  array[n++] = counts->good;
  array[n++] = counts->refused;
  array[n] = counts->departed;
}

static void
counts_from_array (MfBurnCounts *counts, const uint64_t array[ROW_N_COUNTS])
{
  uint32_t n = 0;

  for (uint32_t sli = 0; sli < MF_SLI_COUNT; sli++)
    {
      counts->total[sli] = array[n++];
      counts->bad[sli] = array[n++];
      counts->allowed_ppm[sli] = array[n++];
    }
  counts->good = array[n++];
  counts->refused = array[n++];
  counts->departed = array[n];
}

/* Appends a row if it fits. */
static bool
pack_row (msgpack_sbuffer *packed, const Row *row, uint64_t now_us, size_t max_bytes)
{
  size_t start = packed->size;
  uint64_t numbers[ROW_N_COUNTS];
  msgpack_packer packer;

  msgpack_packer_init (&packer, packed, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, ROW_N_FIELDS);
  msgpack_pack_uint32 (&packer, row->kind);
  msgpack_pack_uint64 (&packer, row->name_hash);
  msgpack_pack_uint64 (&packer, now_us - row->first_us);
  counts_to_array (&row->counts, numbers);
  for (size_t i = 0; i < MF_ARRAY_LEN (numbers); i++)
    msgpack_pack_uint64 (&packer, numbers[i]);
  if (packed->size <= max_bytes)
    return true;
  packed->size = start;
  return false;
}

/* Packs the changed rows in rotation, so that each row is sent in time even if a digest cannot hold
 * all of them. */
static void
pack_changed (MfBurn *burn, msgpack_sbuffer *packed, uint64_t now_us, size_t max_bytes)
{
  for (uint32_t i = 0; i < burn->n_rows; i++)
    {
      Row *row = burn->rows[burn->next_changed % burn->n_rows];

      if (row->changed && !pack_row (packed, row, now_us, max_bytes))
        return;
      row->changed = false;
      burn->next_changed = (burn->next_changed + 1) % burn->n_rows;
    }
}

size_t
mf_burn_pack (MfBurn *burn, uint64_t now_us, uint8_t *dst, size_t max_bytes)
{
  msgpack_sbuffer packed;
  msgpack_packer packer;
  size_t n_bytes;

  if (burn->n_rows == 0)
    return 0;
  msgpack_sbuffer_init (&packed);
  msgpack_packer_init (&packer, &packed, msgpack_sbuffer_write);
  msgpack_pack_uint32 (&packer, PACK_VERSION);
  n_bytes = packed.size;
  pack_changed (burn, &packed, now_us, max_bytes);
  for (uint32_t i = 0; i < ROWS_RESENT_PER_DIGEST && packed.size < max_bytes; i++)
    {
      const Row *row = burn->rows[burn->next_resent++ % burn->n_rows];

      if (row->first_us != 0)
        pack_row (&packed, row, now_us, max_bytes);
    }
  n_bytes = packed.size > n_bytes && packed.size <= max_bytes ? packed.size : 0;
  if (n_bytes > 0)
    memcpy (dst, packed.data, n_bytes);
  msgpack_sbuffer_destroy (&packed);
  return n_bytes;
}

static MfBurnPeer *
peer_find_or_add (MfBurn *burn, const MfInstanceId *id, uint64_t now_us)
{
  MfBurnPeer *free_peer = NULL;

  for (uint32_t i = 0; i < burn->n_peers; i++)
    {
      MfBurnPeer *peer = &burn->peers[i];

      if (strcmp (peer->peer.name, id->name) == 0)
        return peer;
      if (now_us - peer->last_seen_us > PEER_MAX_AGE_US)
        free_peer = peer;
    }
  if (burn->n_peers < PEERS_MAX)
    free_peer = &burn->peers[burn->n_peers++];
  if (free_peer != NULL)
    *free_peer = (MfBurnPeer){ .peer = *id, .merged_since_us = now_us };
  return free_peer;
}

static Baseline *
baseline_find (const MfBurn *burn, uint64_t key)
{
  Baseline *baseline;

  HASH_FIND (hh, burn->baselines, &key, sizeof key, baseline);
  return baseline;
}

static Baseline *
baseline_find_or_add (MfBurn *burn, uint64_t key)
{
  Baseline *baseline = baseline_find (burn, key);

  if (baseline != NULL || HASH_COUNT (burn->baselines) >= BASELINES_MAX)
    return baseline;
  baseline = calloc (1, sizeof *baseline);
  if (baseline == NULL)
    return NULL;
  baseline->key = key;
  HASH_ADD (hh, burn->baselines, key, sizeof baseline->key, baseline);
  return baseline;
}

/* State while a peer's digest is merged. */
typedef struct
{
  MfBurn *burn;
  const MfInstanceId *peer;
  uint64_t now_us;
} Merge;

/* Adds the growth of a row since the peer's last digest. A row reported for the first time is added
 * in full if the peer started it, age_us ago, after this instance started. Otherwise its history is
 * older than this instance, and only its growth from now on is added. */
static void
merge_row (const Merge *merge, MfBurnKind kind, uint64_t name_hash, uint64_t age_us,
           const MfBurnCounts *counts)
{
  MfBurn *burn = merge->burn;
  Row *row = row_find_or_add (burn, kind, name_hash);
  uint64_t key = pair_key (mf_hash_name (merge->peer->name), pair_key (kind, name_hash));
  Baseline *baseline = baseline_find_or_add (burn, key);
  uint64_t previous[ROW_N_COUNTS];
  uint64_t current[ROW_N_COUNTS];
  MfBurnCounts growth;
  bool known;

  if (row != NULL && row->peer_windows == NULL)
    row->peer_windows = calloc (1, sizeof *row->peer_windows);
  if (row == NULL || row->peer_windows == NULL || baseline == NULL)
    {
      burn->n_rows_missed++;
      return;
    }
  known = baseline->incarnation == merge->peer->incarnation;
  counts_to_array (known ? &baseline->counts : &(MfBurnCounts){ 0 }, previous);
  counts_to_array (counts, current);
  for (size_t i = 0; i < MF_ARRAY_LEN (current); i++)
    current[i] = current[i] > previous[i] ? current[i] - previous[i] : 0;
  counts_from_array (&growth, current);
  if (known || merge->now_us - burn->started_us >= age_us)
    window_counts_add (row->peer_windows, &growth, merge->now_us);
  baseline->incarnation = merge->peer->incarnation;
  baseline->counts = *counts;
}

static bool
number_read (const msgpack_object *object, uint64_t *number)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  *number = object->via.u64;
  return true;
}

/* Merges one packed row. Returns false when it is malformed. */
static bool
merge_packed (const Merge *merge, const msgpack_object *object)
{
  uint64_t numbers[ROW_N_FIELDS];
  MfBurnCounts counts;

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < ROW_N_FIELDS)
    return false;
  for (uint32_t i = 0; i < ROW_N_FIELDS; i++)
    {
      if (!number_read (&object->via.array.ptr[i], &numbers[i]))
        return false;
    }
  if (numbers[0] >= MF_BURN_KIND_COUNT)
    return true; /* sent by a later release */
  counts_from_array (&counts, numbers + ROW_N_HEADER_FIELDS);
  merge_row (merge, (MfBurnKind)numbers[0], numbers[1], numbers[2], &counts);
  return true;
}

bool
mf_burn_merge (MfBurn *burn, const MfInstanceId *peer, const uint8_t *src, size_t src_bytes,
               uint64_t now_us)
{
  Merge merge = { .burn = burn, .peer = peer, .now_us = now_us };
  msgpack_unpacked unpacked;
  uint64_t version = 0;
  MfBurnPeer *known;
  size_t offset = 0;
  bool is_valid;

  if (src_bytes == 0)
    return true;
  msgpack_unpacked_init (&unpacked);
  is_valid = msgpack_unpack_next (&unpacked, (const char *)src, src_bytes, &offset)
                 == MSGPACK_UNPACK_SUCCESS
             && number_read (&unpacked.data, &version) && version == PACK_VERSION;
  known = is_valid ? peer_find_or_add (burn, peer, now_us) : NULL;
  if (known != NULL)
    {
      known->peer.incarnation = peer->incarnation;
      known->last_seen_us = now_us;
    }
  while (is_valid && known != NULL && offset < src_bytes)
    is_valid = msgpack_unpack_next (&unpacked, (const char *)src, src_bytes, &offset)
                   == MSGPACK_UNPACK_SUCCESS
               && merge_packed (&merge, &unpacked.data);
  msgpack_unpacked_destroy (&unpacked);
  return is_valid;
}
