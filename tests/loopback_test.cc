/* Tests of the ports that test programs listen on.  */

#include "support/loopback.h"

#include <gtest/gtest.h>
#include <set>
#include <sys/wait.h>
#include <unistd.h>

/* Guards against test programs that run side by side and take each other's
   ports: their process numbers are successive, and ports that were derived
   from them overlapped.  */
TEST (Loopback, GivesEachProcessRangesOfItsOwn)
{
  const size_t process_count = 8;
  const size_t ranges_each = 3;
  int ports[2];
  int hold[2];
  std::set<uint16_t> taken;
  uint16_t port;

  ASSERT_EQ (pipe (ports), 0);
  ASSERT_EQ (pipe (hold), 0);
  for (size_t i = 0; i < process_count; i++)
    if (fork () == 0)
      {
        char end;

        close (hold[1]);
        for (size_t j = 0; j < ranges_each; j++)
          {
            port = loopback_reserve_range ();
            if (write (ports[1], &port, sizeof port) != sizeof port)
              _exit (1);
          }
        /* The ranges stay reserved until the parent has read all.  */
        _exit (read (hold[0], &end, 1) == 0 ? 0 : 1);
      }
  close (ports[1]);
  for (size_t i = 0; i < process_count * ranges_each; i++)
    {
      ASSERT_EQ (read (ports[0], &port, sizeof port), (ssize_t)sizeof port);
      EXPECT_TRUE (taken.insert (port).second) << port;
    }
  close (hold[1]);
  for (size_t i = 0; i < process_count; i++)
    {
      int status = -1;

      wait (&status);
      EXPECT_EQ (status, 0);
    }
  close (ports[0]);
  close (hold[0]);
}
