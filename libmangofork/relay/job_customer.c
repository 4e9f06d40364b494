#include "job_row.h"

#include "libmangofork/clock.h"

#include <string.h>

/* Computes the digest of the key that a request presents. */
static void
key_read (MfKeyDigest *key, const MfHead *head)
{
  size_t value_bytes = 0;
  const char *value = mf_head_value (head, MF_HEADER_API_KEY, &value_bytes);

  key->is_read = true;
  key->is_valid = value != NULL && mf_head_count (head, MF_HEADER_API_KEY) == 1
                  && mf_customer_key_digest (value, value_bytes, key->bytes);
}

/* Returns the customer of a key in the configuration in force, or NULL. */
static const MfCustomerInfo *
key_owner (const MfJobs *jobs, const MfKeyDigest *key)
{
  const MfCustomers *customers = jobs->routes->customers;
  uint32_t index = key->is_valid ? mf_customers_find_digest (customers, key->bytes) : MF_NONE;

  return index != MF_NONE ? mf_customers_get (customers, index) : NULL;
}

/* Whether a route or key that is not known here may have been added to the configuration meanwhile,
 * because a later one is being read, or this instance has had no contact with the store's data for
 * longer than the bound. Answers of the store that carry no data, such as errors, do not count as
 * contact. */
bool
mf_jobs_config_may_be_stale (const MfJobs *jobs)
{
  uint64_t as_of_us = jobs->upstreams_as_of_us;

  if (jobs->config_is_pending)
    return true;
  /* The first watch request has not been answered yet. */
  if (as_of_us == 0)
    as_of_us = jobs->configured_us;
  return jobs->config_apply_us > 0 && mf_clock_boottime_us () > as_of_us + jobs->config_apply_us;
}

/* Reads the key of a request that has just arrived. Returns MF_CODE_OK if the request may continue,
 * with a customer or without one; otherwise the code to answer with. */
MfCode
mf_jobs_check_key (const MfJobs *jobs, const MfCaller *caller, const MfRoute *route,
                   MfKeyDigest *key)
{
  *key = (MfKeyDigest){ 0 };
  if (jobs->routes->customers == NULL)
    return MF_CODE_OK;
  key_read (key, mf_caller_head (caller));
  if (route->is_exempt || key_owner (jobs, key) != NULL)
    return MF_CODE_OK;
  return key->is_valid && mf_jobs_config_may_be_stale (jobs) ? MF_CODE_CONFIG_STALE
                                                             : MF_CODE_NO_CUSTOMER;
}

static void
job_set_customer (MfJob *job, const MfCustomerInfo *customer)
{
  MfRoutes *before = job->customer_routes;

  if (job->customer != NULL && customer != NULL && job->customer->name_hash != customer->name_hash)
    {
      job->jobs->counters.counts[MF_RELAY_COUNT_KEYS_MOVED]++;
      mf_relay_log_event (job->jobs->log, "request.customer",
                          "id=%s customer=\"%s\" before=\"%s\" config=%llu", job->id,
                          customer->name, job->customer->name,
                          (unsigned long long)job->jobs->routes->version);
    }
  job->customer = customer;
  job->customer_routes = customer != NULL ? mf_routes_ref (job->jobs->routes) : NULL;
  mf_routes_unref (before);
}

/* Looks up a request's key in the configuration in force. Called at its arrival and for all
 * requests whenever a configuration is applied, so that the time of a key's removal is known
 * however many versions follow. */
void
mf_job_find_customer (MfJob *job)
{
  const MfCustomerInfo *customer;

  if (job->jobs->routes->customers == NULL)
    {
      job->key_removed_us = 0;
      return;
    }
  if (!job->key.is_read && job->caller != NULL)
    key_read (&job->key, mf_caller_head (job->caller));
  customer = key_owner (job->jobs, &job->key);
  if (customer != NULL || job->route->is_exempt)
    {
      job->key_removed_us = 0;
      job_set_customer (job, customer);
    }
  else if (job->key_removed_us == 0)
    job->key_removed_us = mf_clock_now_us ();
}

/* Refuses a request whose key has been removed for too long, unless an upstream has run it or may
 * be running it. Called before each send. Returns whether the request was refused. */
bool
mf_job_end_revoked (MfJob *job)
{
  uint64_t now_us = mf_clock_now_us ();

  if (job->key_removed_us == 0 || now_us < job->key_removed_us + job->jobs->revoke_us
      || job->n_runs > 0 || job->head_sent || mf_job_is_at_upstream (job))
    return false;
  job->jobs->counters.counts[MF_RELAY_COUNT_KEYS_REVOKED]++;
  mf_relay_log_event (job->jobs->log, "request.revoked",
                      "id=%s customer=\"%s\" removed_ms=%llu config=%llu", job->id,
                      job->customer != NULL ? job->customer->name : "",
                      (unsigned long long)(now_us - job->key_removed_us) / 1000,
                      (unsigned long long)job->jobs->routes->version);
  mf_job_refuse (job, MF_CODE_NO_CUSTOMER, "the key was removed before the request was sent");
  return true;
}

/* Whether the headers of keys and customers that the caller sent are kept from upstreams: the
 * configuration in force, or the one at the request's arrival, has customers. */
bool
mf_job_hides_key (const MfJob *job)
{
  return job->routes->customers != NULL || job->jobs->routes->customers != NULL;
}

/* Returns the priority of a request: its customer's, or its route's if that has none. 0 is the most
 * urgent. */
uint32_t
mf_job_priority (const MfJob *job)
{
  return job->customer != NULL && job->customer->has_priority ? job->customer->priority
                                                              : job->route->priority;
}

/* Counts an event of a customer; NULL counts nothing. */
void
mf_jobs_count_customer (MfJobs *jobs, const MfCustomerInfo *customer, MfCustomerCount count)
{
  if (customer != NULL)
    mf_relay_counters_note_customer (&jobs->counters, customer->name, customer->name_hash, count,
                                     1);
}
