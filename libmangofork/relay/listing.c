#include "listing.h"

/* Whether a position comes after another one. */
bool
mf_position_is_later (const MfPosition *position, const MfPosition *other)
{
  return position->era != other->era ? position->era > other->era
                                     : position->revision > other->revision;
}

/* Returns the number of rows in use. */
uint32_t
mf_listings_n_kept (const MfListings *listings)
{
  return listings->n_rows < MF_LISTINGS_MAX ? listings->n_rows : MF_LISTINGS_MAX;
}

/* Returns what is recorded of a process, or NULL when it was never removed. */
const MfListing *
mf_listings_find (const MfListings *listings, uint64_t process)
{
  uint32_t n_kept = mf_listings_n_kept (listings);

  for (uint32_t i = 0; i < n_kept; i++)
    {
      if (listings->rows[i].process == process)
        return &listings->rows[i];
    }
  return NULL;
}

/* Whether a listing says more than the recorded one. */
static bool
is_newer (const MfListing *listing, const MfListing *row)
{
  if (row->state == MF_LISTING_LEAVING)
    return false;
  return listing->state == MF_LISTING_LEAVING
         || mf_position_is_later (&listing->position, &row->position);
}

/* Records a listing unless a later one of the process is known. Returns whether it was recorded. */
bool
mf_listings_note (MfListings *listings, const MfListing *listing)
{
  const MfListing *row = mf_listings_find (listings, listing->process);

  if (row != NULL && !is_newer (listing, row))
    return false;
  if (row != NULL)
    listings->rows[row - listings->rows] = *listing;
  else
    listings->rows[listings->n_rows++ % MF_LISTINGS_MAX] = *listing;
  return true;
}
