#ifndef MF_CUSTOMER_READ_H
#define MF_CUSTOMER_READ_H

#include "customer.h"
#include "error.h"

#include <json-c/json.h>

/* Names of the members of a customer in a deployment's configuration. */
typedef struct
{
  const char *name;
  const char *keys;
  const char *priority;
  const char *unit;
  const char *unit_tokens; /* value of unit with which the quota counts tokens */
  const char *plain_tokens;
  const char *per_s;
  const char *burst;
} MfCustomerWords;

MfCustomers *mf_customers_read (json_object *list, const MfCustomerWords *words, MfError *error);

#endif
