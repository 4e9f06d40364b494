#include "service.h"

#include "core.h"

#include <stdlib.h>
#include <string.h>

/* A pool without a usable upstream for this long is down, and requests for it are refused. */
#define OUTAGE_GRACE_US (3 * MF_US_PER_S)
/* The weight of one sample in a running mean is 1 in 2^4. */
#define MEAN_SHIFT 4

static void *
grow (void *rows, uint32_t n, size_t row_bytes)
{
  void *grown = realloc (rows, (size_t)n * row_bytes);

  if (grown == NULL)
    abort ();
  return grown;
}

static uint32_t
service_row (MfServices *services, const char *name)
{
  uint64_t hash = mf_hash_name (name);

  for (uint32_t i = 0; i < services->n_rows; i++)
    {
      if (services->rows[i].name_hash == hash)
        return i;
    }
  services->rows = grow (services->rows, services->n_rows + 1, sizeof *services->rows);
  services->rows[services->n_rows] = (MfServiceRow){ .name_hash = hash };
  return services->n_rows++;
}

static uint32_t
pool_row (MfServices *services, const char *name)
{
  uint64_t hash = mf_hash_name (name);

  for (uint32_t i = 0; i < services->n_pools; i++)
    {
      if (services->pools[i].name_hash == hash)
        return i;
    }
  services->pools = grow (services->pools, services->n_pools + 1, sizeof *services->pools);
  services->pools[services->n_pools] = (MfPoolRow){ .name_hash = hash };
  return services->n_pools++;
}

typedef struct
{
  uint64_t hash;
  uint32_t row;
} HashRow;

static int
hash_row_compare (const void *a, const void *b)
{
  uint64_t x = ((const HashRow *)a)->hash;
  uint64_t y = ((const HashRow *)b)->hash;

  return x < y ? -1 : x > y;
}

/* Brings the customers in line with the configuration. Their rows are found through a sorted index,
 * as there may be thousands of customers. */
static void
apply_customers (MfServices *services, const MfConfig *config)
{
  uint32_t n_known = services->n_customers;
  HashRow *known = grow (NULL, n_known + 1, sizeof *known);

  for (uint32_t i = 0; i < n_known; i++)
    {
      known[i] = (HashRow){ .hash = services->customers[i].name_hash, .row = i };
      services->customers[i].in_config = false;
      services->customers[i].index_in_config = MF_NONE;
    }
  qsort (known, n_known, sizeof *known, hash_row_compare);
  services->customers
      = grow (services->customers, n_known + config->n_customers + 1, sizeof *services->customers);
  services->config_customer_rows = grow (services->config_customer_rows, config->n_customers + 1,
                                         sizeof *services->config_customer_rows);
  for (uint32_t i = 0; i < config->n_customers; i++)
    {
      HashRow want = { .hash = mf_hash_name (config->customers[i].name) };
      HashRow *found = bsearch (&want, known, n_known, sizeof *known, hash_row_compare);
      uint32_t row = found != NULL ? found->row : services->n_customers++;

      if (found == NULL)
        services->customers[row] = (MfCustomerRow){ .name_hash = want.hash };
      services->customers[row].config = config->customers[i];
      services->customers[row].in_config = true;
      services->customers[row].index_in_config = i;
      services->config_customer_rows[i] = row;
    }
  free (known);
}

static void
apply_pools (MfServices *services, const MfConfig *config)
{
  for (uint32_t i = 0; i < services->n_pools; i++)
    {
      services->pools[i].in_config = false;
      services->pools[i].n_members = 0;
    }
  services->config_pool_rows
      = grow (services->config_pool_rows, config->n_pools + 1, sizeof *services->config_pool_rows);
  for (uint32_t i = 0; i < config->n_pools; i++)
    {
      uint32_t row = pool_row (services, config->pools[i].name);

      services->pools[row].role = config->pools[i].role;
      services->pools[row].in_config = true;
      services->config_pool_rows[i] = row;
    }
}

static uint32_t
pool_row_of_config (const MfServices *services, uint32_t config_pool)
{
  return config_pool == MF_NONE ? MF_NONE : services->config_pool_rows[config_pool];
}

static void
apply_services (MfServices *services, const MfConfig *config)
{
  for (uint32_t i = 0; i < services->n_rows; i++)
    {
      services->rows[i].in_config = false;
      services->rows[i].index_in_config = MF_NONE;
    }
  services->config_service_rows = grow (services->config_service_rows, config->n_services + 1,
                                        sizeof *services->config_service_rows);
  for (uint32_t i = 0; i < config->n_services; i++)
    services->config_service_rows[i] = service_row (services, config->services[i].name);
  for (uint32_t i = 0; i < config->n_services; i++)
    {
      MfServiceRow *row = &services->rows[services->config_service_rows[i]];

      row->config = config->services[i];
      row->in_config = true;
      row->index_in_config = i;
      row->config.prefill_pool = pool_row_of_config (services, config->services[i].prefill_pool);
      row->config.decode_pool = pool_row_of_config (services, config->services[i].decode_pool);
      row->config.plain_pool = pool_row_of_config (services, config->services[i].plain_pool);
      for (uint32_t j = 0; j < row->config.n_depends; j++)
        row->config.depends[j] = services->config_service_rows[config->services[i].depends[j]];
    }
}

static void
service_config (MfCore *core)
{
  MfServices *services = &core->board.services;

  apply_pools (services, core->board.config);
  apply_services (services, core->board.config);
  apply_customers (services, core->board.config);
}

static void
service_finish (MfCore *core)
{
  MfServices *services = &core->board.services;

  for (uint32_t i = 0; i < services->n_pools; i++)
    {
      free (services->pools[i].members);
      free (services->pools[i].active);
    }
  free (services->rows);
  free (services->pools);
  free (services->customers);
  free (services->config_service_rows);
  free (services->config_pool_rows);
  free (services->config_customer_rows);
}

uint32_t
mf_service_find_model (const MfCore *core, const char *model)
{
  uint32_t found = mf_config_find_model (core->board.config, model);

  return found == MF_NONE ? MF_NONE : core->board.services.config_service_rows[found];
}

uint32_t
mf_service_find_path (const MfCore *core, const char *path)
{
  uint32_t found = mf_config_find_path (core->board.config, path);

  return found == MF_NONE ? MF_NONE : core->board.services.config_service_rows[found];
}

uint32_t
mf_service_find_customer (const MfCore *core, const uint8_t digest[MF_DIGEST_BYTES])
{
  uint32_t found = mf_config_find_customer (core->board.config, digest);

  return found == MF_NONE ? MF_NONE : core->board.services.config_customer_rows[found];
}

static bool
pool_is_up (const MfCore *core, uint32_t pool, uint64_t grace_us)
{
  const MfPoolRow *row;

  if (pool == MF_NONE)
    return true;
  row = &core->board.services.pools[pool];
  return row->n_usable > 0
         || (row->down_since_us > 0 && core->board.now_us < row->down_since_us + grace_us);
}

static bool
pools_are_up (const MfCore *core, const MfService *service, uint64_t grace_us)
{
  return pool_is_up (core, service->prefill_pool, grace_us)
         && pool_is_up (core, service->decode_pool, grace_us)
         && pool_is_up (core, service->plain_pool, grace_us);
}

/* Follows the dependencies without recursion. A checked configuration has no cycle; a service that
 * is visited twice costs only time. */
static bool
dependencies_are_up (const MfCore *core, uint32_t service, uint64_t grace_us)
{
  uint32_t stack[MF_SERVICE_DEPENDS_MAX * MF_SERVICE_DEPENDS_MAX];
  uint32_t n_stack = 1;

  stack[0] = service;
  while (n_stack > 0)
    {
      const MfService *config = &core->board.services.rows[stack[--n_stack]].config;

      for (uint32_t i = 0; i < config->n_depends; i++)
        {
          if (!pools_are_up (core, &core->board.services.rows[config->depends[i]].config, grace_us))
            return false;
          if (n_stack < MF_ARRAY_LEN (stack))
            stack[n_stack++] = config->depends[i];
        }
    }
  return true;
}

static MfCode
missing_within (const MfCore *core, uint32_t service, uint64_t grace_us)
{
  if (!pools_are_up (core, &core->board.services.rows[service].config, grace_us))
    return MF_CODE_NO_UPSTREAM;
  return dependencies_are_up (core, service, grace_us) ? MF_CODE_OK : MF_CODE_DEPENDENCY_DOWN;
}

/* Returns whether each pool that the service and its dependencies need has a usable upstream. Sets
 * *missing to the code to refuse requests with if not. */
bool
mf_service_is_up (const MfCore *core, uint32_t service, MfCode *missing)
{
  *missing = missing_within (core, service, 0);
  return *missing == MF_CODE_OK;
}

/* Returns the same as mf_service_is_up, but counts a pool as up until OUTAGE_GRACE_US after it lost
 * its last upstream. A request that is queued here is served sooner after a short outage than one
 * that its caller sends again. */
bool
mf_service_may_wait (const MfCore *core, uint32_t service, MfCode *missing)
{
  *missing = missing_within (core, service, OUTAGE_GRACE_US);
  return *missing == MF_CODE_OK;
}

/* Returns the output length to plan for: the mean of the answers, or the configured length before
 * the first one. */
uint32_t
mf_service_output_tokens (const MfServiceRow *service)
{
  if (service->output_tokens > 0)
    return service->output_tokens;
  return service->config.expected_tokens > 0 ? service->config.expected_tokens : 200;
}

/* Adds a complete answer to the mean output length. */
void
mf_service_note_output (MfServiceRow *service, uint32_t n_tokens)
{
  uint32_t mean = mf_service_output_tokens (service);

  service->output_tokens = mean + (n_tokens >> MEAN_SHIFT) - (mean >> MEAN_SHIFT);
  if (service->output_tokens == 0)
    service->output_tokens = 1;
}

const MfController mf_service_controller = {
  .name = "service",
  .finish = service_finish,
  .config = service_config,
};
