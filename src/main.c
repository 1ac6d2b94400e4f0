/* Entry point of the mulberryshift binary.  */

#include "cli/cli.h"
#include "pfm.h"

int
main (int count, char **arguments)
{
  cli_set_platform (&pfm_platform);
  return cli_run (count, arguments);
}
