/* The versions in an environment's history.  */

#ifndef MULBERRYSHIFT_CLI_CLI_VERSIONS_H
#define MULBERRYSHIFT_CLI_CLI_VERSIONS_H

#include "cli/cli_session.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct cli_versions
  {
    struct plt_config *configs; /* the highest version first */
    size_t count;
  };

  /* Reads the LIMIT highest versions that are at most HIGHEST.  The history
     is listed ten versions at a time, from the highest on; the search ends
     after 100 lists, so gaps of more than 1,000 numbers hide older
     versions.  On PLT_OK the caller frees VERSIONS with
     cli_versions_close.  */
  enum plt_status cli_versions_load (struct cli_session *session,
                                     uint64_t highest, size_t limit,
                                     struct cli_versions *versions);

  /* Frees the versions.  */
  void cli_versions_close (struct cli_versions *versions);

#ifdef __cplusplus
}
#endif

#endif
