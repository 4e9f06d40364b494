#include "message.h"

#include "libmangofork/rate.h"
#include "libmangofork/header.h"

#include <float.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static int
message_fail (MfMessage *message, MfCode code)
{
  if (message->error_code == MF_CODE_OK)
    message->error_code = code;
  return -1;
}

static int
head_append (MfMessage *message, const char *bytes, size_t n_bytes)
{
  MfBuffer *text = &message->head.text;

  if (message->head_bytes_max > 0 && mf_buffer_bytes (text) + n_bytes > message->head_bytes_max)
    return message_fail (message, MF_CODE_HEADERS_TOO_LARGE);
  mf_buffer_add (text, bytes, n_bytes);
  return text->failed ? message_fail (message, MF_CODE_NO_MEMORY) : 0;
}

static int
on_target (http_parser *parser, const char *bytes, size_t n_bytes)
{
  MfMessage *message = parser->data;

  message->head.target_bytes += (uint32_t)n_bytes;
  return head_append (message, bytes, n_bytes);
}

/* Ends the current header: trims its value and looks up its id. */
static void
field_finish (MfMessage *message)
{
  MfHead *head = &message->head;
  MfHeadField *field;

  if (!message->in_value || head->n_fields == 0)
    return;
  field = &head->fields[head->n_fields - 1];
  while (field->value_bytes > 0
         && strchr (" \t", mf_head_text (head, field->value_at)[field->value_bytes - 1]) != NULL)
    field->value_bytes--;
  field->header = mf_dialect_header_id (message->dialect, mf_head_text (head, field->name_at),
                                        field->name_bytes);
  message->in_value = false;
}

static int
on_field (http_parser *parser, const char *bytes, size_t n_bytes)
{
  MfMessage *message = parser->data;
  MfHead *head = &message->head;

  if (!mf_header_name_is_valid (bytes, n_bytes))
    return message_fail (message, MF_CODE_BAD_HEADER);
  if (message->head_done)
    return 0;
  if (message->in_value || head->n_fields == 0)
    {
      field_finish (message);
      if (head->n_fields == MF_HEAD_FIELDS_MAX)
        return message_fail (message, MF_CODE_HEADERS_TOO_LARGE);
      head->fields[head->n_fields++]
          = (MfHeadField){ .name_at = (uint32_t)mf_buffer_bytes (&head->text),
                           .header = MF_HEADER_OTHER };
    }
  head->fields[head->n_fields - 1].name_bytes += (uint32_t)n_bytes;
  return head_append (message, bytes, n_bytes);
}

static int
on_value (http_parser *parser, const char *bytes, size_t n_bytes)
{
  MfMessage *message = parser->data;
  MfHead *head = &message->head;
  MfHeadField *field;

  if (message->head_done)
    return 0;
  if (head->n_fields == 0)
    return message_fail (message, MF_CODE_BAD_HEADER);
  field = &head->fields[head->n_fields - 1];
  if (!message->in_value)
    field->value_at = (uint32_t)mf_buffer_bytes (&head->text);
  message->in_value = true;
  field->value_bytes += (uint32_t)n_bytes;
  return head_append (message, bytes, n_bytes);
}

static int
on_head_done (http_parser *parser)
{
  MfMessage *message = parser->data;

  if (message->head_done) /* trailers */
    return 0;
  if (parser->type == HTTP_RESPONSE && !mf_status_is_valid (parser->status_code))
    return message_fail (message, MF_CODE_BAD_STATUS);
  field_finish (message);
  message->head_done = true;
  if (parser->type == HTTP_RESPONSE && parser->status_code < 200)
    return 0;
  if (message->callbacks->head != NULL && !message->callbacks->head (message, message->data))
    return 1;
  return 0;
}

static int
on_body (http_parser *parser, const char *bytes, size_t n_bytes)
{
  MfMessage *message = parser->data;

  if (message->callbacks->body != NULL)
    message->callbacks->body (message, bytes, n_bytes, message->data);
  return 0;
}

static void
head_reset (MfHead *head)
{
  head->text.start = 0;
  head->text.end = 0;
  head->text.failed = false;
  head->target_bytes = 0;
  head->n_fields = 0;
}

static int
on_done (http_parser *parser)
{
  MfMessage *message = parser->data;

  if (parser->type == HTTP_RESPONSE && parser->status_code < 200)
    {
      head_reset (&message->head);
      message->head_done = false;
      return 0;
    }
  message->done = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_url = on_target,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_head_done,
  .on_body = on_body,
  .on_message_complete = on_done,
};

/* type is HTTP_REQUEST or HTTP_RESPONSE. The dialect and the callbacks are borrowed. */
void
mf_message_init (MfMessage *message, enum http_parser_type type, const MfDialect *dialect,
                 const MfMessageCallbacks *callbacks, void *data)
{
  *message = (MfMessage){ .dialect = dialect, .callbacks = callbacks, .data = data };
  http_parser_init (&message->parser, type);
  message->parser.data = message;
}

/* Prepares for the next message on the same connection. */
void
mf_message_reset (MfMessage *message)
{
  enum http_parser_type type = message->parser.type;

  head_reset (&message->head);
  message->started = false;
  message->head_done = false;
  message->done = false;
  message->in_value = false;
  message->error_code = MF_CODE_OK;
  http_parser_init (&message->parser, type);
  message->parser.data = message;
}

/* Frees the buffers of a message. */
void
mf_message_clear (MfMessage *message)
{
  mf_buffer_clear (&message->head.text);
}

/* Maps an error of the parser to a result code. */
static MfCode
parser_error_code (enum http_errno parser_error)
{
  switch (parser_error)
    {
    case HPE_HEADER_OVERFLOW:
      return MF_CODE_HEADERS_TOO_LARGE;
    case HPE_INVALID_CONTENT_LENGTH:
    case HPE_UNEXPECTED_CONTENT_LENGTH:
    case HPE_INVALID_CHUNK_SIZE:
    case HPE_INVALID_TRANSFER_ENCODING:
      return MF_CODE_BAD_LENGTH;
    default:
      return MF_CODE_BAD_HEADER;
    }
}

/* Parses bytes up to the end of the message. Returns the number consumed, which is n_bytes unless
 * the message is done or was rejected. */
size_t
mf_message_feed (MfMessage *message, const char *bytes, size_t n_bytes)
{
  size_t n_consumed;
  enum http_errno parser_error;

  if (message->done || message->error_code != MF_CODE_OK || n_bytes == 0)
    return 0;
  message->started = true;
  n_consumed = http_parser_execute (&message->parser, &parser_settings, bytes, n_bytes);
  parser_error = HTTP_PARSER_ERRNO (&message->parser);
  if (message->done)
    return n_consumed;
  if (parser_error != HPE_OK && message->error_code == MF_CODE_OK)
    message->error_code = parser_error_code (parser_error);
  /* After CONNECT and the like the parser stops before the end of the input. */
  if (message->parser.upgrade != 0 && message->error_code == MF_CODE_OK && n_consumed < n_bytes)
    message->error_code = MF_CODE_BAD_HEADER;
  return n_consumed;
}

/* To be called when the peer has closed the connection. Returns whether the message is complete. */
bool
mf_message_finish (MfMessage *message)
{
  if (message->done)
    return true;
  if (message->error_code != MF_CODE_OK || !message->head_done)
    return false;
  http_parser_execute (&message->parser, &parser_settings, "", 0);
  return message->done;
}

/* Returns a pointer to the text at an offset such as MfHeadField.name_at. */
const char *
mf_head_text (const MfHead *head, uint32_t at)
{
  return mf_buffer_data (&head->text) + at;
}

/* Returns the value of the first header with this id, or NULL when there is none. The value is not
 * NUL-terminated. */
const char *
mf_head_value (const MfHead *head, MfHeaderId header, size_t *value_bytes)
{
  for (uint32_t i = 0; i < head->n_fields; i++)
    {
      if (head->fields[i].header != header)
        continue;
      *value_bytes = head->fields[i].value_bytes;
      return mf_head_text (head, head->fields[i].value_at);
    }
  return NULL;
}

/* Copies the value of the first header with this id as a string. Returns false when there is none
 * or it does not fit. */
bool
mf_head_copy (const MfHead *head, MfHeaderId header, char *dst, size_t dst_bytes)
{
  size_t value_bytes = 0;
  const char *value = mf_head_value (head, header, &value_bytes);

  if (value == NULL || value_bytes >= dst_bytes)
    return false;
  memcpy (dst, value, value_bytes);
  dst[value_bytes] = '\0';
  return true;
}

/* Parses the value of the first header with this id as an unsigned number; a fraction is cut off.
 * Returns false when it is missing or not a number. */
bool
mf_head_number (const MfHead *head, MfHeaderId header, uint64_t *number)
{
  char text[24];
  char *end;

  if (!mf_head_copy (head, header, text, sizeof text) || text[0] < '0' || text[0] > '9')
    return false;
  *number = strtoull (text, &end, 10);
  return *end == '\0' || *end == '.';
}

/* Parses the value of the first header with this id as seconds, which may have a fraction. Returns
 * false when it is missing, negative or not a number. */
bool
mf_head_seconds (const MfHead *head, MfHeaderId header, double *seconds)
{
  char text[32];
  char *end;

  if (!mf_head_copy (head, header, text, sizeof text) || text[0] < '0' || text[0] > '9')
    return false;
  *seconds = strtod (text, &end);
  return *end == '\0' && *seconds <= DBL_MAX;
}

/* Reads digits with an optional fraction as millionths; the rest of the fraction is cut off. */
static bool
decimal_read (const char *text, uint64_t *micro)
{
  size_t n_digits = strspn (text, "0123456789");
  const char *fraction = text + n_digits + (text[n_digits] == '.');
  size_t n_fraction = strspn (fraction, "0123456789");
  uint64_t unit = MF_RATE_MICRO;

  if (n_digits == 0 || fraction[n_fraction] != '\0')
    return false;
  *micro = 0;
  for (size_t i = 0; i < n_digits && *micro < MF_RATE_MAX; i++)
    *micro = *micro * 10 + (uint64_t)(text[i] - '0');
  *micro = (*micro < MF_RATE_MAX ? *micro : MF_RATE_MAX) * unit;
  for (size_t i = 0; i < n_fraction && unit > 1; i++)
    {
      unit /= 10;
      *micro += (uint64_t)(fraction[i] - '0') * unit;
    }
  if (*micro > MF_RATE_MAX * MF_RATE_MICRO)
    *micro = MF_RATE_MAX * MF_RATE_MICRO;
  return true;
}

/* Parses all headers with this id as decimal numbers of units a second. Returns the lowest in
 * millionths, at most MF_RATE_MAX units. Returns false when none of them is a number. */
bool
mf_head_rate (const MfHead *head, MfHeaderId header, uint64_t *micro_per_s)
{
  bool found = false;

  for (uint32_t i = 0; i < head->n_fields; i++)
    {
      const MfHeadField *field = &head->fields[i];
      char text[32];
      uint64_t value_micro;

      if (field->header != header || field->value_bytes >= sizeof text)
        continue;
      memcpy (text, mf_head_text (head, field->value_at), field->value_bytes);
      text[field->value_bytes] = '\0';
      if (!decimal_read (text, &value_micro))
        continue;
      *micro_per_s = found && *micro_per_s < value_micro ? *micro_per_s : value_micro;
      found = true;
    }
  return found;
}

/* Returns the number of headers with this id. */
uint32_t
mf_head_count (const MfHead *head, MfHeaderId header)
{
  uint32_t n_found = 0;

  for (uint32_t i = 0; i < head->n_fields; i++)
    n_found += head->fields[i].header == header;
  return n_found;
}

/* Whether a comma-separated list contains a name; case is ignored. */
static bool
list_contains (const char *list, size_t list_bytes, const char *name, size_t name_bytes)
{
  size_t at = 0;

  while (at < list_bytes)
    {
      size_t end = at;
      size_t from = at;

      while (end < list_bytes && list[end] != ',')
        end++;
      at = end + 1;
      while (from < end && (list[from] == ' ' || list[from] == '\t'))
        from++;
      while (end > from && (list[end - 1] == ' ' || list[end - 1] == '\t'))
        end--;
      if (end - from == name_bytes && strncasecmp (list + from, name, name_bytes) == 0)
        return true;
    }
  return false;
}

/* Whether the Connection header lists this header, which is then hop-by-hop. */
bool
mf_head_is_hop_by_hop (const MfHead *head, const MfHeadField *field)
{
  for (uint32_t i = 0; i < head->n_fields; i++)
    {
      const MfHeadField *list = &head->fields[i];

      if (list->header == MF_HEADER_CONNECTION
          && list_contains (mf_head_text (head, list->value_at), list->value_bytes,
                            mf_head_text (head, field->name_at), field->name_bytes))
        return true;
    }
  return false;
}

/* Appends a header line. */
void
mf_head_write (MfBuffer *out, const char *name, const char *value, size_t value_bytes)
{
  mf_buffer_add_text (out, name);
  mf_buffer_add_text (out, ": ");
  mf_buffer_add (out, value, value_bytes);
  mf_buffer_add_text (out, "\r\n");
}
