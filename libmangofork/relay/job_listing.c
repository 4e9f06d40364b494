#include "job_row.h"

#include "libmangofork/clock.h"

/* Whether others are informed of what this instance has read. Followers have it from readers, who
 * inform all; an exit that an answer has announced is read nowhere else. */
static bool
is_reported (const MfJobs *jobs, const MfListing *listing)
{
  MfFeedRank rank = mf_peers_feed_rank (jobs->peers, mf_clock_now_us ());

  return listing->state == MF_LISTING_LEAVING || mf_feed_role (&rank) != MF_FEED_FOLLOWER;
}

/* Informs the others of an upstream that was removed, is listed again or is leaving. They may have
 * lost their path to discovery. */
void
mf_jobs_listing_changed (MfJobs *jobs, const MfListing *listing)
{
  if (jobs->peers == NULL || !is_reported (jobs, listing))
    return;
  jobs->message.kind = MF_RELAY_MESSAGE_LISTINGS;
  jobs->message.listings.n_rows = 1;
  jobs->message.listings.rows[0] = *listing;
  mf_peers_send_all (jobs->peers, &jobs->message);
}

/* Sends all recorded listings to an instance that may have missed them. */
void
mf_jobs_send_listings (MfJobs *jobs, uint64_t peer)
{
  const MfListings *listings = &jobs->targets.listings;
  MfListingUpdate *update = &jobs->message.listings;
  uint32_t n_kept = mf_listings_n_kept (listings);

  jobs->message.kind = MF_RELAY_MESSAGE_LISTINGS;
  update->n_rows = 0;
  for (uint32_t i = 0; i < n_kept; i++)
    {
      update->rows[update->n_rows++] = listings->rows[i];
      if (update->n_rows < MF_LISTING_ROWS_MAX && i + 1 < n_kept)
        continue;
      mf_peers_send (jobs->peers, peer, &jobs->message);
      update->n_rows = 0;
    }
}

/* Handles what another instance has read. */
void
mf_jobs_handle_listings (MfJobs *jobs, const MfListingUpdate *update)
{
  for (uint32_t i = 0; i < update->n_rows; i++)
    mf_targets_note_listing (&jobs->targets, &update->rows[i]);
}
