/* The object that holds an environment's document.  */

#ifndef MULBERRYSHIFT_PLT_PLT_CONFIG_H
#define MULBERRYSHIFT_PLT_PLT_CONFIG_H

#include "base/buf.h"
#include "plt/plt.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

#define PLT_CHANGE_ID_SIZE 33

/* Largest version: JSON integers are signed.  */
#define PLT_VERSION_MAX ((uint64_t)INT64_MAX)

  struct plt_config
  {
    uint64_t version;
    char change_id[PLT_CHANGE_ID_SIZE]; /* random 128 bits as hex */
    char author[64];
    char note[256];
    uint64_t written_at; /* wall clock, ms since the epoch */
    struct buf document;
  };

  /* Appends the JSON text of CONFIG.  */
  void plt_config_encode (const struct plt_config *config, struct buf *output);

  /* Parses JSON text.  Returns PLT_INVALID with err_set when a field is
     missing, of another kind or out of range, and CONFIG is zeroed; else
     PLT_OK, and the caller frees CONFIG with plt_config_close.  */
  enum plt_status plt_config_decode (const char *text, size_t length,
                                     struct plt_config *config);

  /* Frees the document.  */
  void plt_config_close (struct plt_config *config);

  /* Writes the key "config/ENVIRONMENT".  */
  void plt_config_key (const char *environment, char key[PLT_KEY_SIZE]);

  /* Writes the key "history/ENVIRONMENT/VERSION"; the version has 20 digits,
     so that keys sort by version.  */
  void plt_config_history_key (const char *environment, uint64_t version,
                               char key[PLT_KEY_SIZE]);

#ifdef __cplusplus
}
#endif

#endif
