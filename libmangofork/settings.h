#ifndef MF_SETTINGS_H
#define MF_SETTINGS_H

#include "board.h"

/* The process's own settings, from the file given to `mangofork serve`. */
typedef struct
{
  MfOptions options;               /* self.incarnation is filled when the process starts */
  char listen[MF_ADDRESS_BYTES];   /* callers */
  char admin[MF_ADDRESS_BYTES];    /* counters, status, report */
  char peer[MF_ADDRESS_BYTES];     /* other instances */
  char platform[MF_ADDRESS_BYTES]; /* the platform's configuration service */
  char platform_text_key[MF_ADDRESS_BYTES];
  char platform_service[MF_ADDRESS_BYTES]; /* name the instances are published under */
  char peer_key_file[256];                 /* secret shared by instances; hex */
  char peer_key_old_file[256];             /* accepted as well; "" for none */
  char platform_token_file[256];
  char log_level[MF_NAME_BYTES];
  uint64_t header_bytes_max;
  uint64_t body_bytes_max;
  uint64_t answer_bytes_max;
  uint32_t connections_max;
  uint32_t connections_per_address_max;
  uint64_t slow_sender_us;
  uint64_t caller_buffer_bytes; /* tokens buffered for a slow caller before its upstream is held */
} MfSettings;

/* Reads and checks the settings; every fault is reported. Returns false when there is any. */
bool mf_settings_parse (const char *text, size_t text_bytes, MfSettings *settings,
                        MfFaultFunc on_fault, void *data);

#endif
