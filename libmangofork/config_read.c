#include "config_index.h"

#include "peer.h"

#include <stdlib.h>
#include <string.h>

#define COUNT_MAX 1000000
#define PPM_MAX 1000000
#define DAY_MS UINT64_C (86400000)
#define DAY_S UINT64_C (86400)
#define BYTES_PER_MB UINT64_C (1000000)

/* State while a configuration is read. */
typedef struct
{
  MfJsonc *jsonc;
  MfConfig *config;
  uint32_t upstreams_capacity;
} ConfigReader;

static const char *const kind_names[] = { "model", "plain", NULL };
static const char *const class_names[] = { "read", "order", "summary", NULL };
static const char *const role_names[] = { "prefill", "decode", "plain", NULL };
static const char *const engine_names[] = { "openai", "plain", NULL };

#define KIND_MODEL (1U << MF_SERVICE_MODEL)
#define KIND_PLAIN (1U << MF_SERVICE_PLAIN)

#define NAME_FIELD(key_, type_, member_, required_)                                                \
  {                                                                                                \
    .key = (key_), .type = MF_FIELD_STRING, .offset = offsetof (type_, member_),                   \
    .bytes = sizeof ((type_ *)0)->member_, .min = 1, .required = (required_)                       \
  }

static const MfField objective_fields[] = {
  { .key = "ttft_ppm",
    .type = MF_FIELD_U32,
    .offset = offsetof (MfService, objective_ttft_ppm),
    .min = 1,
    .max = PPM_MAX - 1 },
  { .key = "tbt_ppm",
    .type = MF_FIELD_U32,
    .offset = offsetof (MfService, objective_tbt_ppm),
    .min = 1,
    .max = PPM_MAX - 1 },
  { .key = "availability_ppm",
    .type = MF_FIELD_U32,
    .offset = offsetof (MfService, objective_availability_ppm),
    .min = 1,
    .max = PPM_MAX - 1 },
};
static const MfFieldTable objective_table = { objective_fields, MF_ARRAY_LEN (objective_fields) };

static const MfField service_fields[] = {
  NAME_FIELD ("name", MfService, name, true),
  { .key = "kind",
    .type = MF_FIELD_CHOICE,
    .offset = offsetof (MfService, kind),
    .choices = kind_names,
    .required = true },
  { .key = "class",
    .type = MF_FIELD_CHOICE,
    .offset = offsetof (MfService, class_),
    .choices = class_names,
    .required = true },
  { .key = "deadline_ms",
    .type = MF_FIELD_U64,
    .offset = offsetof (MfService, deadline_us),
    .min = 1,
    .max = DAY_MS,
    .scale = MF_US_PER_MS,
    .required = true },
  { .key = "ttft_target_ms",
    .type = MF_FIELD_U64,
    .offset = offsetof (MfService, ttft_target_us),
    .min = 1,
    .max = DAY_MS,
    .scale = MF_US_PER_MS },
  { .key = "objective", .type = MF_FIELD_OBJECT, .members = &objective_table },
  { .key = "depends_on", .type = MF_FIELD_CUSTOM },
  { .key = "model",
    .type = MF_FIELD_STRING,
    .offset = offsetof (MfService, model),
    .bytes = MF_NAME_BYTES,
    .min = 1,
    .kinds = KIND_MODEL,
    .required = true },
  { .key = "adapter",
    .type = MF_FIELD_STRING,
    .offset = offsetof (MfService, adapter),
    .bytes = MF_NAME_BYTES,
    .kinds = KIND_MODEL },
  { .key = "version",
    .type = MF_FIELD_STRING,
    .offset = offsetof (MfService, version),
    .bytes = MF_NAME_BYTES,
    .kinds = KIND_MODEL },
  { .key = "prefill_pool", .type = MF_FIELD_CUSTOM, .kinds = KIND_MODEL, .required = true },
  { .key = "decode_pool", .type = MF_FIELD_CUSTOM, .kinds = KIND_MODEL, .required = true },
  { .key = "tbt_target_ms",
    .type = MF_FIELD_U64,
    .offset = offsetof (MfService, tbt_target_us),
    .min = 1,
    .max = DAY_MS,
    .scale = MF_US_PER_MS,
    .kinds = KIND_MODEL },
  { .key = "kv_token_bytes",
    .type = MF_FIELD_U64,
    .offset = offsetof (MfService, kv_token_bytes),
    .min = 1,
    .max = UINT64_C (1) << 30,
    .kinds = KIND_MODEL },
  { .key = "expected_tokens",
    .type = MF_FIELD_U32,
    .offset = offsetof (MfService, expected_tokens),
    .min = 1,
    .max = COUNT_MAX,
    .kinds = KIND_MODEL },
  { .key = "path",
    .type = MF_FIELD_STRING,
    .offset = offsetof (MfService, path),
    .bytes = MF_ADDRESS_BYTES,
    .min = 1,
    .kinds = KIND_PLAIN,
    .required = true },
  { .key = "pool", .type = MF_FIELD_CUSTOM, .kinds = KIND_PLAIN, .required = true },
  { .key = "get_is_idempotent",
    .type = MF_FIELD_BOOL,
    .offset = offsetof (MfService, get_is_idempotent),
    .kinds = KIND_PLAIN },
};
static const MfFieldTable service_table = { service_fields, MF_ARRAY_LEN (service_fields) };

static const MfField pool_fields[] = {
  NAME_FIELD ("name", MfPool, name, true),
  { .key = "role",
    .type = MF_FIELD_CHOICE,
    .offset = offsetof (MfPool, role),
    .choices = role_names,
    .required = true },
  { .key = "upstreams", .type = MF_FIELD_CUSTOM, .required = true },
};
static const MfFieldTable pool_table = { pool_fields, MF_ARRAY_LEN (pool_fields) };

#define ROLE_PREFILL (1U << MF_ROLE_PREFILL)
#define ROLE_DECODE (1U << MF_ROLE_DECODE)

static const MfField upstream_fields[] = {
  NAME_FIELD ("name", MfUpstreamConfig, name, true),
  { .key = "address",
    .type = MF_FIELD_ADDRESS,
    .offset = offsetof (MfUpstreamConfig, address),
    .bytes = MF_ADDRESS_BYTES,
    .min = 1,
    .required = true },
  NAME_FIELD ("data_centre", MfUpstreamConfig, data_centre, true),
  { .key = "engine", .type = MF_FIELD_CUSTOM },
  { .key = "slots",
    .type = MF_FIELD_U32,
    .offset = offsetof (MfUpstreamConfig, slots),
    .min = 1,
    .max = 65535,
    .required = true },
  { .key = "pieces",
    .type = MF_FIELD_U32,
    .offset = offsetof (MfUpstreamConfig, pieces),
    .min = 1,
    .max = COUNT_MAX,
    .kinds = ROLE_PREFILL | ROLE_DECODE,
    .required = true },
  { .key = "link_mb_per_s",
    .type = MF_FIELD_U64,
    .offset = offsetof (MfUpstreamConfig, link_bytes_per_s),
    .min = 1,
    .max = UINT64_C (1) << 30,
    .scale = BYTES_PER_MB,
    .kinds = ROLE_PREFILL | ROLE_DECODE },
  { .key = "checks_fencing",
    .type = MF_FIELD_BOOL,
    .offset = offsetof (MfUpstreamConfig, checks_fencing),
    .kinds = ROLE_PREFILL | ROLE_DECODE },
};
static const MfFieldTable upstream_table = { upstream_fields, MF_ARRAY_LEN (upstream_fields) };

static const MfField customer_fields[] = {
  NAME_FIELD ("name", MfCustomer, name, true),
  { .key = "key_digest",
    .type = MF_FIELD_DIGEST,
    .offset = offsetof (MfCustomer, key_digest),
    .required = true },
  { .key = "share",
    .type = MF_FIELD_U32,
    .offset = offsetof (MfCustomer, share),
    .min = 1,
    .max = COUNT_MAX },
  { .key = "in_flight_max",
    .type = MF_FIELD_U32,
    .offset = offsetof (MfCustomer, in_flight_max),
    .max = COUNT_MAX },
  { .key = "requests_per_s",
    .type = MF_FIELD_U32,
    .offset = offsetof (MfCustomer, requests_per_s),
    .max = COUNT_MAX },
};
static const MfFieldTable customer_table = { customer_fields, MF_ARRAY_LEN (customer_fields) };

static const MfField idempotency_fields[] = {
  { .key = "voters", .type = MF_FIELD_CUSTOM },
  { .key = "voters_per_key",
    .type = MF_FIELD_U32,
    .offset = offsetof (MfConfig, voters_per_key),
    .min = 1,
    .max = MF_VOTERS_PER_KEY_MAX },
  { .key = "key_life_s",
    .type = MF_FIELD_U64,
    .offset = offsetof (MfConfig, key_life_us),
    .min = 1,
    .max = DAY_S,
    .scale = MF_US_PER_S },
};
static const MfFieldTable idempotency_table
    = { idempotency_fields, MF_ARRAY_LEN (idempotency_fields) };

static const MfField config_fields[] = {
  { .key = "services", .type = MF_FIELD_CUSTOM, .required = true },
  { .key = "pools", .type = MF_FIELD_CUSTOM, .required = true },
  { .key = "customers", .type = MF_FIELD_CUSTOM },
  { .key = "allow_anonymous",
    .type = MF_FIELD_BOOL,
    .offset = offsetof (MfConfig, allow_anonymous) },
  { .key = "idempotency", .type = MF_FIELD_OBJECT, .members = &idempotency_table },
  { .key = "weight_store_mb_per_s",
    .type = MF_FIELD_U64,
    .offset = offsetof (MfConfig, weight_store_bytes_per_s),
    .min = 1,
    .max = UINT64_C (1) << 30,
    .scale = BYTES_PER_MB },
};
static const MfFieldTable config_table = { config_fields, MF_ARRAY_LEN (config_fields) };

/* Adds a name to a table and records a fault when it is already there. Empty names are skipped:
 * mf_field_read has already reported them. */
static void
name_add (const ConfigReader *reader, MfNameTable *table, uint32_t index, const char *name,
          const char *path, const char *key)
{
  char member[MF_PATH_BYTES];

  if (name[0] == '\0' || mf_name_table_add (table, index, name, strlen (name)))
    return;
  mf_path_member (member, path, key);
  mf_jsonc_fault (reader->jsonc, member, MF_CODE_TEXT_DUPLICATE, "\"%s\" is given twice", name);
}

/* Returns the i-th element of an array, or NULL with a fault recorded when it is not an object. */
static json_object *
read_element (const ConfigReader *reader, json_object *array, const char *path, size_t i)
{
  json_object *object = json_object_array_get_idx (array, i);

  if (json_object_is_type (object, json_type_object))
    return object;
  mf_jsonc_fault (reader->jsonc, path, MF_CODE_TEXT_TYPE, "not an object");
  return NULL;
}

/* Resolves a name that refers to another entry. Returns its index, or MF_NONE with a fault
 * recorded. */
static uint32_t
read_reference (const ConfigReader *reader, const MfNameTable *table, json_object *value,
                const char *path, const char *what)
{
  uint32_t found;

  if (!json_object_is_type (value, json_type_string))
    {
      mf_jsonc_fault (reader->jsonc, path, MF_CODE_TEXT_TYPE, "expected the name of a %s", what);
      return MF_NONE;
    }
  found = mf_name_table_find (table, json_object_get_string (value),
                              (size_t)json_object_get_string_len (value));
  if (found == MF_NONE)
    mf_jsonc_fault (reader->jsonc, path, MF_CODE_TEXT_MISSING, "unknown %s \"%s\"", what,
                    json_object_get_string (value));
  return found;
}

static void
read_engine (const ConfigReader *reader, json_object *object, const char *path, MfRole role,
             MfUpstreamConfig *upstream)
{
  char member[MF_PATH_BYTES];
  json_object *value;
  const char *engine = engine_names[role == MF_ROLE_PLAIN ? 1 : 0];

  if (json_object_object_get_ex (object, "engine", &value))
    {
      const char *name = json_object_get_string (value);
      bool known = false;

      for (uint32_t i = 0; name != NULL && engine_names[i] != NULL; i++)
        known = known || strcmp (engine_names[i], name) == 0;
      mf_path_member (member, path, "engine");
      if (!json_object_is_type (value, json_type_string))
        mf_jsonc_fault (reader->jsonc, member, MF_CODE_TEXT_TYPE, "\"engine\" is not a string");
      else if (!known)
        mf_jsonc_fault (reader->jsonc, member, MF_CODE_TEXT_RANGE,
                        "\"engine\" is not one of openai, plain");
      else
        engine = name;
    }
  mf_name_set (upstream->engine, sizeof upstream->engine, engine);
}

static void
read_upstreams (ConfigReader *reader, json_object *pool_object, const char *pool_path,
                uint32_t pool)
{
  MfConfig *config = reader->config;
  json_object *array = mf_field_array (reader->jsonc, pool_path, pool_object, "upstreams", false);
  size_t n = array != NULL ? json_object_array_length (array) : 0;

  for (size_t i = 0; i < n; i++)
    {
      MfUpstreamConfig *upstream = &config->upstreams[config->n_upstreams];
      MfRole role = config->pools[pool].role;
      char path[MF_PATH_BYTES];
      json_object *object;

      mf_path_element (path, pool_path, "upstreams", i);
      object = read_element (reader, array, path, i);
      if (object == NULL)
        continue;
      *upstream = (MfUpstreamConfig){ .pool = pool, .link_bytes_per_s = 1000 * BYTES_PER_MB };
      mf_field_read (reader->jsonc, path, object, &upstream_table, 1U << role, upstream);
      read_engine (reader, object, path, role, upstream);
      name_add (reader, &config->index->upstreams, config->n_upstreams, upstream->name, path,
                "name");
      config->n_upstreams++;
    }
}

static void
read_pools (ConfigReader *reader, json_object *array)
{
  MfConfig *config = reader->config;

  for (uint32_t i = 0; i < config->n_pools; i++)
    {
      char path[MF_PATH_BYTES];
      json_object *object;

      mf_path_element (path, "", "pools", i);
      object = read_element (reader, array, path, i);
      if (object == NULL)
        continue;
      mf_field_read (reader->jsonc, path, object, &pool_table, 0, &config->pools[i]);
      name_add (reader, &config->index->pools, i, config->pools[i].name, path, "name");
      read_upstreams (reader, object, path, i);
    }
}

/* Returns the pool that a service names under key. A pool of another role is a fault. */
static uint32_t
read_pool_reference (const ConfigReader *reader, json_object *object, const char *path,
                     const char *key, MfRole role)
{
  const MfConfig *config = reader->config;
  char member[MF_PATH_BYTES];
  json_object *value;
  uint32_t pool;

  if (!json_object_object_get_ex (object, key, &value))
    return MF_NONE;
  mf_path_member (member, path, key);
  pool = read_reference (reader, &config->index->pools, value, member, "pool");
  if (pool != MF_NONE && config->pools[pool].role != role)
    mf_jsonc_fault (reader->jsonc, member, MF_CODE_TEXT_TYPE, "the pool \"%s\" has the role %s",
                    config->pools[pool].name, mf_role_name (config->pools[pool].role));
  return pool;
}

static void
read_service (const ConfigReader *reader, json_object *object, const char *path, uint32_t i)
{
  MfConfig *config = reader->config;
  MfService *service = &config->services[i];
  json_object *kind = NULL;
  bool plain;

  json_object_object_get_ex (object, "kind", &kind);
  plain = kind != NULL && json_object_is_type (kind, json_type_string)
          && strcmp (json_object_get_string (kind), kind_names[MF_SERVICE_PLAIN]) == 0;
  *service = (MfService){
    .prefill_pool = MF_NONE,
    .decode_pool = MF_NONE,
    .plain_pool = MF_NONE,
    .ttft_target_us = 1500 * MF_US_PER_MS,
    .tbt_target_us = 30 * MF_US_PER_MS,
    .kv_token_bytes = 131072,
    .expected_tokens = 200,
    .objective_ttft_ppm = 950000,
    .objective_tbt_ppm = 950000,
    .objective_availability_ppm = 999000,
  };
  mf_field_read (reader->jsonc, path, object, &service_table, plain ? KIND_PLAIN : KIND_MODEL,
                 service);
  name_add (reader, &config->index->services, i, service->name, path, "name");
  name_add (reader, &config->index->models, i, service->model, path, "model");
  name_add (reader, &config->index->paths, i, service->path, path, "path");
  if (service->path[0] != '\0' && service->path[0] != '/')
    {
      char member[MF_PATH_BYTES];

      mf_path_member (member, path, "path");
      mf_jsonc_fault (reader->jsonc, member, MF_CODE_TEXT_RANGE,
                      "\"path\" does not begin with \"/\"");
    }
  service->prefill_pool
      = read_pool_reference (reader, object, path, "prefill_pool", MF_ROLE_PREFILL);
  service->decode_pool = read_pool_reference (reader, object, path, "decode_pool", MF_ROLE_DECODE);
  service->plain_pool = read_pool_reference (reader, object, path, "pool", MF_ROLE_PLAIN);
}

static void
read_services (const ConfigReader *reader, json_object *array)
{
  for (uint32_t i = 0; i < reader->config->n_services; i++)
    {
      char path[MF_PATH_BYTES];
      json_object *object;

      mf_path_element (path, "", "services", i);
      object = read_element (reader, array, path, i);
      if (object != NULL)
        read_service (reader, object, path, i);
    }
}

static void
read_depends (const ConfigReader *reader, json_object *services)
{
  for (uint32_t i = 0; i < reader->config->n_services; i++)
    {
      MfService *service = &reader->config->services[i];
      json_object *object = json_object_array_get_idx (services, i);
      json_object *array;
      char path[MF_PATH_BYTES];
      char member[MF_PATH_BYTES];
      size_t n;

      mf_path_element (path, "", "services", i);
      if (!json_object_is_type (object, json_type_object))
        continue;
      array = mf_field_array (reader->jsonc, path, object, "depends_on", false);
      n = array != NULL ? json_object_array_length (array) : 0;
      mf_path_member (member, path, "depends_on");
      if (n > MF_SERVICE_DEPENDS_MAX)
        mf_jsonc_fault (reader->jsonc, member, MF_CODE_TEXT_RANGE, "more than %d dependencies",
                        MF_SERVICE_DEPENDS_MAX);
      for (size_t k = 0; k < n && k < MF_SERVICE_DEPENDS_MAX; k++)
        {
          uint32_t target;

          mf_path_element (member, path, "depends_on", k);
          target = read_reference (reader, &reader->config->index->services,
                                   json_object_array_get_idx (array, k), member, "service");
          if (target != MF_NONE)
            service->depends[service->n_depends++] = target;
        }
    }
}

typedef enum
{
  VISIT_NEW,
  VISIT_IN_PROGRESS,
  VISIT_DONE,
} Visit;

/* Depth-first search of the dependencies of one service; an edge to a service whose search is still
 * in progress closes a cycle. */
static void
check_cycle (const ConfigReader *reader, uint32_t i, uint8_t *visits)
{
  const MfService *service = &reader->config->services[i];

  visits[i] = VISIT_IN_PROGRESS;
  for (uint32_t k = 0; k < service->n_depends; k++)
    {
      uint32_t target = service->depends[k];
      char object_path[MF_PATH_BYTES];
      char path[MF_PATH_BYTES];

      if (visits[target] == VISIT_NEW)
        check_cycle (reader, target, visits);
      if (visits[target] != VISIT_IN_PROGRESS)
        continue;
      mf_path_element (object_path, "", "services", i);
      mf_path_member (path, object_path, "depends_on");
      mf_jsonc_fault (reader->jsonc, path, MF_CODE_TEXT_CYCLE,
                      "dependency cycle: \"%s\" depends on \"%s\", which depends on it",
                      service->name, reader->config->services[target].name);
    }
  visits[i] = VISIT_DONE;
}

static void
check_cycles (const ConfigReader *reader)
{
  uint8_t *visits = calloc ((size_t)reader->config->n_services + 1, 1);

  for (uint32_t i = 0; visits != NULL && i < reader->config->n_services; i++)
    {
      if (visits[i] == VISIT_NEW)
        check_cycle (reader, i, visits);
    }
  free (visits);
}

static void
read_customers (const ConfigReader *reader, json_object *array)
{
  MfConfig *config = reader->config;

  for (uint32_t i = 0; i < config->n_customers; i++)
    {
      MfCustomer *customer = &config->customers[i];
      char path[MF_PATH_BYTES];
      char member[MF_PATH_BYTES];
      json_object *object;

      mf_path_element (path, "", "customers", i);
      object = read_element (reader, array, path, i);
      if (object == NULL)
        continue;
      *customer = (MfCustomer){ .share = 1 };
      mf_field_read (reader->jsonc, path, object, &customer_table, 0, customer);
      name_add (reader, &config->index->customers, i, customer->name, path, "name");
      if (!json_object_object_get_ex (object, "key_digest", NULL)
          || mf_name_table_add (&config->index->keys, i, customer->key_digest, MF_DIGEST_BYTES))
        continue;
      mf_path_member (member, path, "key_digest");
      mf_jsonc_fault (reader->jsonc, member, MF_CODE_TEXT_DUPLICATE,
                      "another customer has this key");
    }
}

static void
read_voters (const ConfigReader *reader, json_object *array)
{
  MfConfig *config = reader->config;

  for (uint32_t i = 0; i < config->n_voters; i++)
    {
      json_object *value = json_object_array_get_idx (array, i);
      char path[MF_PATH_BYTES];

      mf_path_element (path, "idempotency", "voters", i);
      if (!json_object_is_type (value, json_type_string) || json_object_get_string_len (value) == 0
          || !mf_name_set (config->voters[i].name, MF_NAME_BYTES, json_object_get_string (value)))
        mf_jsonc_fault (reader->jsonc, path, MF_CODE_TEXT_TYPE, "expected the name of an instance");
      else
        name_add (reader, &config->index->voters, i, config->voters[i].name, path, "");
    }
  if (config->voters_per_key == 0)
    config->voters_per_key
        = config->n_voters < MF_VOTERS_PER_KEY_MAX ? config->n_voters : MF_VOTERS_PER_KEY_MAX;
  else if (config->voters_per_key > config->n_voters)
    mf_jsonc_fault (reader->jsonc, "idempotency.voters_per_key", MF_CODE_TEXT_RANGE,
                    "\"voters_per_key\" exceeds the number of voters");
}

static uint32_t
array_length (json_object *array)
{
  return array != NULL ? (uint32_t)json_object_array_length (array) : 0;
}

static uint32_t
count_upstreams (json_object *pools)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < array_length (pools); i++)
    {
      json_object *array = NULL;

      json_object_object_get_ex (json_object_array_get_idx (pools, i), "upstreams", &array);
      if (json_object_is_type (array, json_type_array))
        n += (uint32_t)json_object_array_length (array);
    }
  return n;
}

/* Allocates all lists and name tables at their final size. */
static bool
config_reserve (MfConfig *config, uint32_t n_upstreams)
{
  config->services = calloc ((size_t)config->n_services + 1, sizeof *config->services);
  config->pools = calloc ((size_t)config->n_pools + 1, sizeof *config->pools);
  config->upstreams = calloc ((size_t)n_upstreams + 1, sizeof *config->upstreams);
  config->customers = calloc ((size_t)config->n_customers + 1, sizeof *config->customers);
  config->voters = calloc ((size_t)config->n_voters + 1, sizeof *config->voters);
  config->index = calloc (1, sizeof *config->index);
  return config->services != NULL && config->pools != NULL && config->upstreams != NULL
         && config->customers != NULL && config->voters != NULL && config->index != NULL
         && mf_name_table_reserve (&config->index->services, config->n_services)
         && mf_name_table_reserve (&config->index->models, config->n_services)
         && mf_name_table_reserve (&config->index->paths, config->n_services)
         && mf_name_table_reserve (&config->index->pools, config->n_pools)
         && mf_name_table_reserve (&config->index->upstreams, n_upstreams)
         && mf_name_table_reserve (&config->index->customers, config->n_customers)
         && mf_name_table_reserve (&config->index->keys, config->n_customers)
         && mf_name_table_reserve (&config->index->voters, config->n_voters);
}

void
mf_config_read (MfJsonc *jsonc, MfConfig *config)
{
  ConfigReader reader = { .jsonc = jsonc, .config = config };
  json_object *root = mf_jsonc_root (jsonc);
  json_object *idempotency = NULL;
  json_object *services = mf_field_array (jsonc, "", root, "services", false);
  json_object *pools = mf_field_array (jsonc, "", root, "pools", false);
  json_object *customers = mf_field_array (jsonc, "", root, "customers", false);
  json_object *voters = NULL;

  mf_field_read (jsonc, "", root, &config_table, 0, config);
  if (json_object_object_get_ex (root, "idempotency", &idempotency)
      && json_object_is_type (idempotency, json_type_object))
    voters = mf_field_array (jsonc, "idempotency", idempotency, "voters", false);
  config->n_services = array_length (services);
  config->n_pools = array_length (pools);
  config->n_customers = array_length (customers);
  config->n_voters = array_length (voters);
  if (config->n_services > MF_SERVICES_MAX)
    {
      mf_jsonc_fault (jsonc, "services", MF_CODE_TEXT_RANGE, "more than %d services",
                      MF_SERVICES_MAX);
      return;
    }
  if (!config_reserve (config, count_upstreams (pools)))
    {
      mf_jsonc_fault (jsonc, "", MF_CODE_NO_MEMORY, "no memory for the configuration");
      return;
    }
  read_pools (&reader, pools);
  read_services (&reader, services);
  read_depends (&reader, services);
  check_cycles (&reader);
  read_customers (&reader, customers);
  read_voters (&reader, voters);
}
