#include "customer_read.h"

#include "json_member.h"

#include <math.h>
#include <string.h>

/* Maximum bytes of a customer's name; it is in each request to an upstream and in log lines. */
#define NAME_BYTES_MAX 127

/* Whether a name can be sent as a header and written into a log line. */
static bool
customer_name_is_usable (const char *name)
{
  size_t n_bytes = strlen (name);

  if (n_bytes == 0 || n_bytes > NAME_BYTES_MAX || name[0] == ' ' || name[n_bytes - 1] == ' ')
    return false;
  for (size_t i = 0; i < n_bytes; i++)
    {
      if (name[i] < ' ' || name[i] > '~' || name[i] == '"' || name[i] == '\\')
        return false;
    }
  return true;
}

/* Reads a number of a customer, rounded up, as 0 has a meaning of its own. It is unchanged when it
 * is missing. Returns false with error set when it is not a number, negative or too large. */
static bool
customer_number (json_object *object, const char *customer, const char *key, uint64_t *number,
                 MfError *error)
{
  json_object *value = NULL;
  double real;

  if (!json_object_object_get_ex (object, key, &value))
    return true;
  real = json_object_get_double (value);
  if ((json_object_is_type (value, json_type_int) || json_object_is_type (value, json_type_double))
      && real >= 0. && real <= 1e15)
    {
      *number = (uint64_t)ceil (real);
      return true;
    }
  mf_error_set (error, MF_CODE_TEXT_TYPE, "customer \"%s\": \"%s\" is not a valid number", customer,
                key);
  return false;
}

/* Reads the keys of a customer. An error names the position of a key, never the key. */
static bool
customer_read_keys (json_object *object, const MfCustomerWords *words, MfCustomers *customers,
                    uint32_t index, MfError *error)
{
  const char *name = mf_customers_get (customers, index)->name;
  json_object *keys = NULL;

  if (!json_object_object_get_ex (object, words->keys, &keys))
    return true;
  if (!json_object_is_type (keys, json_type_array))
    {
      mf_error_set (error, MF_CODE_TEXT_TYPE, "customer \"%s\": \"%s\" is not a list", name,
                    words->keys);
      return false;
    }
  for (size_t i = 0; i < json_object_array_length (keys); i++)
    {
      json_object *value = json_object_array_get_idx (keys, i);
      bool is_text = json_object_is_type (value, json_type_string);
      const char *key = is_text ? json_object_get_string (value) : "";
      size_t key_bytes = is_text ? (size_t)json_object_get_string_len (value) : 0;
      uint32_t owner = mf_customers_find (customers, key, key_bytes);

      if (owner != MF_NONE && owner != index)
        {
          mf_error_set (error, MF_CODE_TEXT_DUPLICATE,
                        "customer \"%s\": key %zu is also a key of customer \"%s\"", name, i + 1,
                        mf_customers_get (customers, owner)->name);
          return false;
        }
      if (owner == MF_NONE && !mf_customers_add_key (customers, index, key, key_bytes))
        {
          mf_error_set (error, MF_CODE_TEXT_RANGE,
                        "customer \"%s\": key %zu is not a text of 1 to %d bytes", name, i + 1,
                        MF_CUSTOMER_KEY_BYTES_MAX);
          return false;
        }
    }
  return true;
}

static bool
customer_read (json_object *object, const MfCustomerWords *words, MfCustomers *customers,
               uint32_t index, MfError *error)
{
  MfCustomerInfo *info = mf_customers_get (customers, index);
  const char *name
      = json_object_is_type (object, json_type_object) ? mf_json_text (object, words->name) : NULL;
  const char *unit;
  uint64_t priority = 0;

  if (name == NULL || !customer_name_is_usable (name))
    {
      mf_error_set (error, MF_CODE_TEXT_RANGE,
                    "customer %u has no name, or one that is too long or not plain text",
                    index + 1);
      return false;
    }
  if (!mf_customers_set_name (customers, index, name))
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "out of memory while reading a customer");
      return false;
    }
  for (uint32_t i = 0; i < index; i++)
    {
      if (strcmp (mf_customers_get (customers, i)->name, name) != 0)
        continue;
      mf_error_set (error, MF_CODE_TEXT_DUPLICATE, "two customers have the name \"%s\"", name);
      return false;
    }
  unit = mf_json_text (object, words->unit);
  info->counts_tokens = unit != NULL && strcmp (unit, words->unit_tokens) == 0;
  info->has_priority = json_object_object_get_ex (object, words->priority, NULL);
  if (!customer_number (object, name, words->priority, &priority, error)
      || !customer_number (object, name, words->plain_tokens, &info->plain_tokens, error)
      || !customer_number (object, name, words->per_s, &info->per_s, error)
      || !customer_number (object, name, words->burst, &info->burst, error))
    return false;
  info->priority = priority < UINT32_MAX ? (uint32_t)priority : UINT32_MAX;
  return customer_read_keys (object, words, customers, index, error);
}

/* Reads a list of customers, whose members have the names that words says. Returns NULL with error
 * set when it is malformed, or names or keys are given twice; the error contains no key. */
MfCustomers *
mf_customers_read (json_object *list, const MfCustomerWords *words, MfError *error)
{
  bool is_list = json_object_is_type (list, json_type_array);
  uint32_t n_customers = is_list ? (uint32_t)json_object_array_length (list) : 0;
  MfCustomers *customers;

  if (!is_list)
    {
      mf_error_set (error, MF_CODE_TEXT_TYPE, "the customers are not a list");
      return NULL;
    }
  customers = mf_customers_new (n_customers);
  if (customers == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "out of memory while reading the customers");
      return NULL;
    }
  for (uint32_t i = 0; i < n_customers; i++)
    {
      if (customer_read (json_object_array_get_idx (list, i), words, customers, i, error))
        continue;
      mf_customers_free (customers);
      return NULL;
    }
  return customers;
}
