#ifndef MF_RELAY_MESSAGE_H
#define MF_RELAY_MESSAGE_H

#include "dialect.h"

#include "libmangofork/error.h"

#include <http_parser.h>

/* Headers of one message at most; a message with more is rejected. */
#define MF_HEAD_FIELDS_MAX 96

/* One header of a message. name_at and value_at are offsets into MfHead.text. */
typedef struct
{
  uint32_t name_at;
  uint32_t name_bytes;
  uint32_t value_at;
  uint32_t value_bytes;
  MfHeaderId header;
} MfHeadField;

/* The head of a message. The target of a request is its path with the query. */
typedef struct
{
  MfBuffer text;
  uint32_t target_bytes; /* of the target, which is at the start of text */
  MfHeadField fields[MF_HEAD_FIELDS_MAX];
  uint32_t n_fields;
} MfHead;

typedef struct MfMessage MfMessage;

/* Callbacks while a message is read. Any may be NULL. */
typedef struct
{
  /* The head is complete. Returns false when the message has no body whatever its head says, as the
   * response to a HEAD request. */
  bool (*head) (MfMessage *message, void *data);
  void (*body) (MfMessage *message, const char *bytes, size_t n_bytes, void *data);
} MfMessageCallbacks;

/* Reads an HTTP/1.1 message. */
struct MfMessage
{
  http_parser parser;
  const MfDialect *dialect;
  const MfMessageCallbacks *callbacks;
  void *data;
  MfHead head;
  uint64_t head_bytes_max; /* 0: no limit */
  bool started;            /* its first byte has been read */
  bool head_done;
  bool done;
  bool in_value;
  MfCode error_code; /* MF_CODE_OK unless the message was rejected */
};

void mf_message_init (MfMessage *message, enum http_parser_type type, const MfDialect *dialect,
                      const MfMessageCallbacks *callbacks, void *data);
void mf_message_reset (MfMessage *message);
void mf_message_clear (MfMessage *message);
size_t mf_message_feed (MfMessage *message, const char *bytes, size_t n_bytes);
bool mf_message_finish (MfMessage *message);

const char *mf_head_value (const MfHead *head, MfHeaderId header, size_t *value_bytes);
bool mf_head_copy (const MfHead *head, MfHeaderId header, char *dst, size_t dst_bytes);
bool mf_head_number (const MfHead *head, MfHeaderId header, uint64_t *number);
bool mf_head_seconds (const MfHead *head, MfHeaderId header, double *seconds);
bool mf_head_rate (const MfHead *head, MfHeaderId header, uint64_t *micro_per_s);
uint32_t mf_head_count (const MfHead *head, MfHeaderId header);
const char *mf_head_text (const MfHead *head, uint32_t at);
bool mf_head_is_hop_by_hop (const MfHead *head, const MfHeadField *field);
void mf_head_write (MfBuffer *out, const char *name, const char *value, size_t value_bytes);

#endif
