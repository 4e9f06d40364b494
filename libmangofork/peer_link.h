#ifndef MF_PEER_LINK_H
#define MF_PEER_LINK_H

#include "event.h"

struct ev_loop;

#define MF_PEER_KEY_BYTES 32

/* Authenticated, encrypted links to other instances over TCP. */
typedef struct MfPeerLinks MfPeerLinks;

/* The pre-shared key of all instances and, while keys are changed, the one that it replaces. Both
 * are accepted. */
typedef struct
{
  uint8_t key[MF_PEER_KEY_BYTES];
  bool has_old_key;
  uint8_t old_key[MF_PEER_KEY_BYTES];
} MfPeerKeys;

typedef struct
{
  const char *listen;
  const char *address; /* at which other instances reach this one */
  MfInstanceId self;
  MfPeerKeys keys;
} MfPeerLinkOptions;

/* Counters over all links since the start. */
typedef struct
{
  uint64_t frames_in;
  uint64_t frames_out;
  uint64_t frames_bad; /* too long, not authentic or malformed */
  uint64_t bytes_out;
  uint64_t refused; /* links refused, or lost before they were authenticated */
} MfPeerLinkStats;

MfPeerLinks *mf_peer_links_new (struct ev_loop *loop, const MfPeerLinkOptions *options,
                                void (*on_event) (const MfEvent *event, void *data), void *data,
                                MfError *error);
void mf_peer_links_free (MfPeerLinks *links);
uint16_t mf_peer_links_port (const MfPeerLinks *links);
void mf_peer_links_set_keys (MfPeerLinks *links, const MfPeerKeys *keys);
const MfPeerLinkStats *mf_peer_links_stats (const MfPeerLinks *links);

void mf_peer_links_open (MfPeerLinks *links, const char *name, const char *address);
void mf_peer_links_close (MfPeerLinks *links, uint32_t link_id);
void mf_peer_links_send (MfPeerLinks *links, uint32_t link_id, const MfPeerMessage *message);

bool mf_peer_keys_read (const char *path, const char *old_path, MfPeerKeys *keys, MfError *error);

#endif
