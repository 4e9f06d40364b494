#ifndef MF_SETTINGS_H
#define MF_SETTINGS_H

#include "board.h"

/* The settings of the process, from the file given to `mangofork serve`. */
typedef struct
{
  MfOptions options;               /* self.incarnation is set when the process starts */
  char listen[MF_ADDRESS_BYTES];   /* for callers */
  char admin[MF_ADDRESS_BYTES];    /* for the pages of the operators */
  char peer[MF_ADDRESS_BYTES];     /* for other instances */
  char platform[MF_ADDRESS_BYTES]; /* of its configuration service */
  char platform_text_key[MF_ADDRESS_BYTES];
  char platform_service[MF_ADDRESS_BYTES]; /* name of the service that lists the instances */
  char peer_key_file[256];                 /* pre-shared key, in hexadecimal */
  char peer_key_old_file[256];             /* second key that is accepted; "" for none */
  char platform_token_file[256];
  char log_level[MF_NAME_BYTES];
  uint64_t header_bytes_max;
  uint64_t body_bytes_max;
  uint64_t answer_bytes_max;
  uint32_t connections_max;
  uint32_t connections_per_address_max;
  uint64_t slow_sender_us;
  uint64_t caller_buffer_bytes; /* unsent bytes at which reading from the upstream pauses */
} MfSettings;

bool mf_settings_parse (const char *text, size_t text_bytes, MfSettings *settings,
                        MfFaultFunc on_fault, void *data);

#endif
