#include "job_row.h"

#include "libmangofork/clock.h"

#include <string.h>

/* Copies the digest of the key that a request presents. Returns false unless it presents exactly
 * one key of an allowed length. */
static bool
head_key_digest (const MfHead *head, uint8_t digest[MF_DIGEST_BYTES])
{
  size_t key_bytes = 0;
  const char *key = mf_head_value (head, MF_HEADER_API_KEY, &key_bytes);

  if (key == NULL || mf_head_count (head, MF_HEADER_API_KEY) != 1)
    return false;
  return mf_customer_key_digest (key, key_bytes, digest);
}

/* Whether a key that is not known here may have been added to the configuration meanwhile, because
 * this instance has had no contact with the store's data for longer than the bound. */
static bool
config_may_be_stale (const MfJobs *jobs)
{
  uint64_t now_us = mf_clock_boottime_us ();
  uint64_t as_of_us = jobs->upstreams_as_of_us;

  /* The first watch request has not been answered yet. */
  if (as_of_us == 0)
    as_of_us = jobs->configured_us;
  return jobs->config_apply_us > 0 && now_us > as_of_us + jobs->config_apply_us;
}

/* Finds the customer of a request that has just arrived. Returns MF_CODE_OK if the request may
 * continue, with the customer or without one; otherwise the code to answer with. */
MfCode
mf_jobs_find_customer (const MfJobs *jobs, const MfCaller *caller, const MfRoute *route,
                       MfKeyOwner *owner)
{
  const MfHead *head = mf_caller_head (caller);
  const MfCustomers *customers = jobs->routes->customers;
  uint32_t index = MF_NONE;

  *owner = (MfKeyOwner){ 0 };
  if (customers == NULL)
    return MF_CODE_OK;
  owner->has_key = head_key_digest (head, owner->digest);
  if (owner->has_key)
    index = mf_customers_find_digest (customers, owner->digest);
  if (index != MF_NONE)
    owner->customer = mf_customers_get (customers, index);
  if (index != MF_NONE || route->is_exempt)
    return MF_CODE_OK;
  return owner->has_key && config_may_be_stale (jobs) ? MF_CODE_CONFIG_STALE : MF_CODE_NO_CUSTOMER;
}

/* Returns the priority of a request: its customer's, or its route's if that has none. 0 is the most
 * urgent. */
uint32_t
mf_job_priority (const MfJob *job)
{
  return job->customer != NULL && job->customer->has_priority ? job->customer->priority
                                                              : job->route->priority;
}
