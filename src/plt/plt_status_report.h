/* The object in which a relay reports its data centre's versions.  */

#ifndef MULBERRYSHIFT_PLT_PLT_STATUS_REPORT_H
#define MULBERRYSHIFT_PLT_PLT_STATUS_REPORT_H

#include "plt/plt.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

#define PLT_REPORT_NAME_SIZE 64
#define PLT_REPORT_MAX_UNREACHABLE 16

  /* Versions are 0 when no member holds one.  Times are wall clock, ms since
     the epoch.  */
  struct plt_status_report
  {
    char data_centre[PLT_REPORT_NAME_SIZE];
    char region[PLT_REPORT_NAME_SIZE];
    char relay[PLT_REPORT_NAME_SIZE];
    uint64_t members; /* live nodes, at most 2^32 - 1 */
    uint64_t highest_version;
    uint64_t at_highest; /* members that hold highest_version */
    uint64_t lowest_version;
    uint64_t rejected_version; /* 0: none */
    char rejected_reason[256];
    bool forked; /* two documents with one version number were seen */
    char unreachable[PLT_REPORT_MAX_UNREACHABLE][PLT_REPORT_NAME_SIZE];
    size_t unreachable_count;
    uint64_t written_at;
    uint64_t since; /* when all first held highest_version; 0: not yet */
  };

  /* Appends the JSON text of REPORT.  */
  void plt_status_report_encode (const struct plt_status_report *report,
                                 struct buf *output);

  /* Parses JSON text.  Returns PLT_INVALID with err_set, and REPORT zeroed,
     when a field is missing, of another kind or out of range, when the lowest
     version is above the highest, or at_highest above members.  */
  enum plt_status plt_status_report_decode (const char *text, size_t length,
                                            struct plt_status_report *report);

  /* Writes the key "status/ENVIRONMENT/DATA_CENTRE".  */
  void plt_status_report_key (const char *environment, const char *data_centre,
                              char key[PLT_KEY_SIZE]);

#ifdef __cplusplus
}
#endif

#endif
