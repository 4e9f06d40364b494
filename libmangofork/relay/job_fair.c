#include "job.h"

#include <stdio.h>

/* Returns the name of a customer in the configuration in force; its hash, written to text, if that
 * has none. */
const char *
mf_jobs_customer_name (const MfJobs *jobs, uint64_t customer, char *text, size_t text_bytes)
{
  const MfCustomers *customers = jobs->routes != NULL ? jobs->routes->customers : NULL;

  if (customer == 0)
    return "none";
  if (customer == MF_DISPATCH_OTHER_CUSTOMERS)
    return "others";
  for (uint32_t i = 0; customers != NULL && i < mf_customers_n (customers); i++)
    {
      const MfCustomerInfo *info = mf_customers_get (customers, i);

      if (info->name_hash == customer)
        return info->name;
    }
  snprintf (text, text_bytes, "%016llx", (unsigned long long)customer);
  return text;
}

/* Appends text as the value of a label. */
static void
add_label_value (MfBuffer *out, const char *text)
{
  for (; *text != '\0'; text++)
    {
      if (*text == '"' || *text == '\\')
        mf_buffer_add (out, "\\", 1);
      mf_buffer_add (out, *text == '\n' ? " " : text, 1);
    }
}

static void
add_counter (const MfJobs *jobs, MfBuffer *out, const char *name, uint64_t customer, double value)
{
  char hash[MF_NAME_BYTES];
  char number[48];

  mf_buffer_add_text (out, "mangofork_relay_customer_");
  mf_buffer_add_text (out, name);
  mf_buffer_add_text (out, "{customer=\"");
  add_label_value (out, mf_jobs_customer_name (jobs, customer, hash, sizeof hash));
  snprintf (number, sizeof number, "\"} %.15g\n", value);
  mf_buffer_add_text (out, number);
}

/* Appends the counters of slot requests by customer in the Prometheus text format; nothing as long
 * as no request has had a customer. */
void
mf_jobs_render_customers (const MfJobs *jobs, MfBuffer *out)
{
  uint32_t n_rows;
  const MfDispatchCustomer *rows = mf_dispatch_customers (jobs->dispatch, &n_rows);

  for (uint32_t i = 0; i < n_rows; i++)
    {
      const MfDispatchCustomer *row = &rows[i];

      add_counter (jobs, out, "grants_total", row->customer, (double)row->n_granted);
      add_counter (jobs, out, "waits_total", row->customer, (double)row->n_waited);
      add_counter (jobs, out, "refusals_total", row->customer, (double)row->n_refused);
      add_counter (jobs, out, "waited_seconds_total", row->customer, (double)row->waited_us / 1e6);
    }
}
