#ifndef MF_RELAY_LISTING_H
#define MF_RELAY_LISTING_H

#include "libmangofork/types.h"

/* Position in the history of discovery. Revisions of a later era come after all of an earlier one.
 */
typedef struct
{
  uint64_t era;
  uint64_t revision;
} MfPosition;

typedef enum
{
  MF_LISTING_LISTED,  /* has an entry again, after a removal */
  MF_LISTING_REMOVED, /* has no entry any more */
  MF_LISTING_LEAVING, /* has announced that it is about to stop, which is final */
} MfListingState;
#define MF_LISTING_STATE_LAST MF_LISTING_LEAVING

/* Whether a process is listed by discovery, as of a position. */
typedef struct
{
  uint64_t process; /* mf_target_process_id */
  MfListingState state;
  MfPosition position;
} MfListing;

/* Processes kept. They matter for as long as an instance may have an older list: the pools that are
 * replaced within minutes are smaller than this. */
#define MF_LISTINGS_MAX 1024

/* Processes that have been removed or are leaving, as read by any instance. */
typedef struct
{
  MfListing rows[MF_LISTINGS_MAX]; /* the oldest one is overwritten */
  uint32_t n_rows;                 /* ever recorded */
} MfListings;

bool mf_position_is_later (const MfPosition *position, const MfPosition *other);
const MfListing *mf_listings_find (const MfListings *listings, uint64_t process);
bool mf_listings_note (MfListings *listings, const MfListing *listing);
uint32_t mf_listings_n_kept (const MfListings *listings);

#endif
