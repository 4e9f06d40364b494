#ifndef MF_PLATFORM_H
#define MF_PLATFORM_H

#include "settings.h"

struct ev_loop;

/* Reads the operators' text and the list of instances from the platform. */
typedef struct MfPlatform MfPlatform;

/* How one kind of configuration service is spoken to. */
typedef struct
{
  const char *name;
  /* Write the path and query of a read that waits until the index passes the given one; 0 reads at
   * once. Return false when it does not fit. */
  bool (*text_path) (const MfSettings *settings, uint64_t index, char *path, size_t path_bytes);
  bool (*list_path) (const MfSettings *settings, uint64_t index, char *path, size_t path_bytes);
  /* Parse an answer. The event borrows from *memory, which the caller frees with free(). */
  bool (*parse_text) (const char *body, size_t body_bytes, uint64_t index,
                      MfPlatformTextEvent *text, void **memory, MfError *error);
  bool (*parse_list) (const char *body, size_t body_bytes, uint64_t index,
                      MfPlatformListEvent *list, void **memory, MfError *error);
} MfPlatformBackend;

extern const MfPlatformBackend mf_platform_consul;

/* on_event gets MF_EVENT_PLATFORM_TEXT, MF_EVENT_PLATFORM_LIST and MF_EVENT_PLATFORM_FAILED, never
 * from within a read function. */
MfPlatform *mf_platform_new (struct ev_loop *loop, const MfSettings *settings,
                             void (*on_event) (const MfEvent *event, void *data), void *data,
                             MfError *error);
void mf_platform_free (MfPlatform *platform);
/* Start a read; a read of the same kind that still waits is given up. */
void mf_platform_read_text (MfPlatform *platform, uint64_t index);
void mf_platform_read_list (MfPlatform *platform, uint64_t index);
/* Reads begun so far; a waiting one counts once. */
uint64_t mf_platform_n_reads (const MfPlatform *platform);

#endif
