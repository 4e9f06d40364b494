#ifndef MF_PEER_LINK_H
#define MF_PEER_LINK_H

#include "event.h"

struct ev_loop;

#define MF_PEER_KEY_BYTES 32

/* Authenticated, encrypted links to other instances over TCP. */
typedef struct MfPeerLinks MfPeerLinks;

/* The secret that instances share, and the one it replaces; both are accepted. */
typedef struct
{
  uint8_t key[MF_PEER_KEY_BYTES];
  bool has_old_key;
  uint8_t old_key[MF_PEER_KEY_BYTES];
} MfPeerKeys;

typedef struct
{
  const char *listen;
  const char *address; /* as other instances reach it */
  MfInstanceId self;
  MfPeerKeys keys;
} MfPeerLinkOptions;

/* What went over the links; only ever rises. */
typedef struct
{
  uint64_t frames_in;
  uint64_t frames_out;
  uint64_t frames_bad;
  uint64_t bytes_out;
  uint64_t refused; /* handshakes that failed */
} MfPeerLinkStats;

/* on_event gets MF_EVENT_PEER_UP, MF_EVENT_PEER_DOWN and MF_EVENT_PEER_MESSAGE without clocks,
 * never from within a function of this module, and may call any of them but mf_peer_links_free. An
 * open that fails is reported as MF_EVENT_PEER_DOWN with link_id 0 and the expected name. */
MfPeerLinks *mf_peer_links_new (struct ev_loop *loop, const MfPeerLinkOptions *options,
                                void (*on_event) (const MfEvent *event, void *data), void *data,
                                MfError *error);
void mf_peer_links_free (MfPeerLinks *links);
uint16_t mf_peer_links_port (const MfPeerLinks *links);
/* Links made from now on prove the new keys; those that stand stay. */
void mf_peer_links_set_keys (MfPeerLinks *links, const MfPeerKeys *keys);
const MfPeerLinkStats *mf_peer_links_stats (const MfPeerLinks *links);

void mf_peer_links_open (MfPeerLinks *links, const char *name, const char *address);
void mf_peer_links_close (MfPeerLinks *links, uint32_t link_id);
void mf_peer_links_send (MfPeerLinks *links, uint32_t link_id, const MfPeerMessage *message);

/* Reads the key files of the settings; old_path may be "". */
bool mf_peer_keys_read (const char *path, const char *old_path, MfPeerKeys *keys, MfError *error);

#endif
