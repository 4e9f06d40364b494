#include "version.h"

/* Initialises a log that knows nothing. */
void
mf_version_log_init (MfVersionLog *log)
{
  *log = (MfVersionLog){ .complete_since_us = UINT64_MAX };
}

/* Records that a version of a service was in use until now. service and version are hashes. */
void
mf_version_log_note (MfVersionLog *log, uint64_t service, uint64_t version, uint64_t now_us)
{
  MfVersionUse *oldest = &log->uses[0];

  for (uint32_t i = 0; i < log->n_uses; i++)
    {
      MfVersionUse *use = &log->uses[i];

      if (use->service == service && use->version == version)
        {
          if (now_us > use->last_us)
            use->last_us = now_us;
          return;
        }
      if (use->last_us < oldest->last_us)
        oldest = use;
    }
  if (log->n_uses < MF_VERSION_USES_MAX)
    oldest = &log->uses[log->n_uses++];
  else if (oldest->last_us >= log->complete_since_us)
    log->complete_since_us = oldest->last_us + 1;
  *oldest = (MfVersionUse){ .service = service, .version = version, .last_us = now_us };
}

/* Whether all versions are known that any instance may have used since a time. */
bool
mf_version_log_is_complete (const MfVersionLog *log, uint64_t since_us)
{
  return log->complete_since_us == 0
         || (log->complete_since_us != UINT64_MAX
             && since_us >= log->complete_since_us + MF_VERSION_LAG_US);
}

/* Whether an instance may have used another version of a service since a time. */
bool
mf_version_log_has_other (const MfVersionLog *log, uint64_t service, uint64_t version,
                          uint64_t since_us)
{
  for (uint32_t i = 0; i < log->n_uses; i++)
    {
      const MfVersionUse *use = &log->uses[i];

      if (use->service == service && use->version != version
          && use->last_us + MF_VERSION_LAG_US >= since_us)
        return true;
    }
  return false;
}
