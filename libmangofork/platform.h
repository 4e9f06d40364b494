#ifndef MF_PLATFORM_H
#define MF_PLATFORM_H

#include "settings.h"

struct ev_loop;

/* Client of the platform: reads the operators' text and the list of instances. */
typedef struct MfPlatform MfPlatform;

/* Requests and responses of one kind of configuration service. */
typedef struct
{
  const char *name;
  /* Write the path and query of a read. It blocks until the platform's index is above the given
   * one; index 0 reads without blocking. Return false when the path does not fit. */
  bool (*text_path) (const MfSettings *settings, uint64_t index, char *path, size_t path_bytes);
  bool (*list_path) (const MfSettings *settings, uint64_t index, char *path, size_t path_bytes);
  /* Parse a response with this index. The event borrows from *memory, which the caller frees with
   * free(). */
  bool (*parse_text) (const char *body, size_t body_bytes, uint64_t index,
                      MfPlatformTextEvent *text, void **memory, MfError *error);
  bool (*parse_list) (const char *body, size_t body_bytes, uint64_t index,
                      MfPlatformListEvent *list, void **memory, MfError *error);
} MfPlatformBackend;

extern const MfPlatformBackend mf_platform_consul;

MfPlatform *mf_platform_new (struct ev_loop *loop, const MfSettings *settings,
                             void (*on_event) (const MfEvent *event, void *data), void *data,
                             MfError *error);
void mf_platform_free (MfPlatform *platform);
void mf_platform_read_text (MfPlatform *platform, uint64_t index);
void mf_platform_read_list (MfPlatform *platform, uint64_t index);
uint64_t mf_platform_n_reads (const MfPlatform *platform);

#endif
