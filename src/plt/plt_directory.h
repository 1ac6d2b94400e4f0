/* The object that lists a few nodes of a data centre for joining nodes.  */

#ifndef MULBERRYSHIFT_PLT_PLT_DIRECTORY_H
#define MULBERRYSHIFT_PLT_PLT_DIRECTORY_H

#include "base/net.h"
#include "plt/plt.h"

#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

#define PLT_DIRECTORY_MAX_ADDRESSES 8

  struct plt_directory
  {
    struct net_address addresses[PLT_DIRECTORY_MAX_ADDRESSES]; /* mesh */
    size_t address_count;
    uint64_t written_at; /* wall clock, ms since the epoch */
  };

  /* Appends the JSON text of DIRECTORY.  */
  void plt_directory_encode (const struct plt_directory *directory,
                             struct buf *output);

  /* Parses JSON text.  Returns PLT_INVALID with err_set, and DIRECTORY
     zeroed, when a field is missing, of another kind or out of range, or an
     address is not "ip:port".  */
  enum plt_status plt_directory_decode (const char *text, size_t length,
                                        struct plt_directory *directory);

  /* Writes the key "directory/ENVIRONMENT/DATA_CENTRE".  */
  void plt_directory_key (const char *environment, const char *data_centre,
                          char key[PLT_KEY_SIZE]);

#ifdef __cplusplus
}
#endif

#endif
