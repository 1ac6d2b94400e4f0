/* Registration of the upstream beside a node.  */

#include "reg/reg.h"

#include <cstdio>
#include <cstring>
#include <gtest/gtest.h>

static struct ptf_heartbeat
announce (const char *name, uint64_t sequence, uint64_t born, bool leaving)
{
  struct ptf_heartbeat result = {};

  snprintf (result.name, sizeof result.name, "%s", name);
  snprintf (result.service, sizeof result.service, "stock");
  result.slots = 6;
  result.sequence = sequence;
  result.start_ms = born;
  result.leaving = leaving;
  return result;
}

class Registration : public testing::Test
{
protected:
  enum reg_result
  take (const char *name, uint64_t sequence, uint64_t born = 1000,
        bool leaving = false)
  {
    struct ptf_heartbeat announcement
        = announce (name, sequence, born, leaving);

    return reg_handle_heartbeat (&registration, &announcement,
                                 now += CLK_SECOND);
  }
  struct reg registration = {};
  clk_time now = 0;
};

/* Guards against an upstream that is never used, and against notifications for
   each heartbeat.  */
TEST_F (Registration, FirstAnnouncementIsNews)
{
  EXPECT_EQ (take ("i-1", 1), REG_CHANGED);
  EXPECT_EQ (registration.state, REG_READY);
  EXPECT_EQ (take ("i-1", 2), REG_RENEWED);
}

/* Guards against a late heartbeat that brings back an upstream that has said
   that it leaves.  */
TEST_F (Registration, LeavingIsFinalForAStart)
{
  take ("i-1", 1);
  EXPECT_EQ (take ("i-1", 3, 1000, true), REG_CHANGED);
  EXPECT_EQ (registration.state, REG_LEAVING);
  EXPECT_EQ (take ("i-1", 2), REG_STALE);
  EXPECT_EQ (take ("i-1", 4), REG_STALE);
  EXPECT_EQ (registration.state, REG_LEAVING);
}

/* Guards against a departure that is acknowledged and ignored because another
   heartbeat of that start had a higher sequence.  */
TEST_F (Registration, ADepartureCountsWhateverItsSequence)
{
  take ("i-1", 1000000);
  EXPECT_EQ (take ("i-1", 5), REG_STALE);
  EXPECT_EQ (take ("i-1", 6, 1000, true), REG_CHANGED);
  EXPECT_EQ (registration.state, REG_LEAVING);
  EXPECT_EQ (take ("i-1", 7, 1000, true), REG_STALE);
  EXPECT_EQ (take ("i-1", 1000001), REG_STALE);
  take ("i-1", 1, 2000);
  EXPECT_EQ (take ("i-1", 8, 1000, true), REG_STALE);
  EXPECT_EQ (registration.state, REG_READY);
}

/* Guards against a late heartbeat after an upstream has left for good.  */
TEST_F (Registration, FarewellIsFinalForAStart)
{
  take ("i-1", 1);
  EXPECT_EQ (reg_deregister (&registration, "i-1", 1000, now), REG_CHANGED);
  EXPECT_EQ (take ("i-1", 9), REG_STALE);
  EXPECT_EQ (registration.state, REG_LEAVING);
}

/* Guards against an upstream that starts again under its name and is ignored:
   its sequence begins anew, its start is later.  */
TEST_F (Registration, ANewStartReplacesAnOldOne)
{
  take ("i-1", 40);
  reg_deregister (&registration, "i-1", 1000, now);
  EXPECT_EQ (take ("i-1", 1, 2000), REG_CHANGED);
  EXPECT_EQ (registration.state, REG_READY);
}

/* Guards against a heartbeat that a partition held back until a new upstream
   had registered.  */
TEST_F (Registration, AnOlderStartIsLate)
{
  take ("i-2", 1, 2000);
  EXPECT_EQ (take ("i-1", 90, 1000), REG_STALE);
  EXPECT_STREQ (registration.upstream.name, "i-2");
  EXPECT_EQ (reg_deregister (&registration, "i-1", 1000, now), REG_STALE);
  EXPECT_EQ (registration.state, REG_READY);
}

/* Guards against an upstream that stays silent for good after its connection
   was refused once.  */
TEST_F (Registration, AHeartbeatEndsSilence)
{
  take ("i-1", 1);
  EXPECT_TRUE (reg_mark_unreachable (&registration));
  EXPECT_FALSE (reg_mark_unreachable (&registration));
  EXPECT_EQ (take ("i-1", 2), REG_CHANGED);
  EXPECT_EQ (registration.state, REG_READY);
}

/* Guards against a restarted node that forgets that its upstream is leaving:
   the acknowledgement of the process before it binds.  */
TEST_F (Registration, AdoptsADeparture)
{
  struct mbr_member record = {};
  struct net_address address = { 1, 2 };

  snprintf (record.upstream, sizeof record.upstream, "i-1");
  snprintf (record.service, sizeof record.service, "stock");
  record.slots = 6;
  record.upstream_born = 1000;
  record.upstream_leaving = true;
  EXPECT_TRUE (reg_restore (&registration, &record, address, now));
  EXPECT_EQ (take ("i-1", 7), REG_STALE);
  EXPECT_EQ (registration.state, REG_LEAVING);
}

/* Guards against a change of the service that nobody learns of: the gate would
   go on to send calls of the service before.  */
TEST_F (Registration, AnotherServiceIsNews)
{
  struct ptf_heartbeat announcement = announce ("i-1", 2, 1000, false);

  take ("i-1", 1);
  snprintf (announcement.service, sizeof announcement.service, "orders");
  EXPECT_EQ (reg_handle_heartbeat (&registration, &announcement, ++now),
             REG_CHANGED);
}

/* Guards against a deregistration that is lost because it comes before the
   upstream is known, and is then undone by a heartbeat that comes late or by
   the record of an earlier process.  */
TEST_F (Registration, RemembersADepartureOfAnUnknownUpstream)
{
  struct mbr_member record = {};
  struct net_address address = { 1, 2 };

  EXPECT_EQ (reg_deregister (&registration, "i-1", 1000, now), REG_CHANGED);
  EXPECT_EQ (registration.state, REG_LEAVING);
  EXPECT_EQ (take ("i-1", 7), REG_STALE);
  snprintf (record.upstream, sizeof record.upstream, "i-1");
  snprintf (record.service, sizeof record.service, "stock");
  record.upstream_born = 1000;
  EXPECT_TRUE (reg_restore (&registration, &record, address, now));
  EXPECT_EQ (registration.state, REG_LEAVING);
  EXPECT_STREQ (registration.upstream.service, "stock");
  EXPECT_EQ (take ("i-1", 8), REG_STALE);
}

/* Guards against a late deregistration that takes a later upstream out of use
   for as long as its next heartbeat takes.  */
TEST_F (Registration, ADepartureOfAnEarlierStartDoesNotBindALaterOne)
{
  struct mbr_member record = {};
  struct net_address address = { 1, 2 };

  reg_deregister (&registration, "i-1", 1000, now);
  snprintf (record.upstream, sizeof record.upstream, "i-2");
  record.upstream_born = 2000;
  EXPECT_TRUE (reg_restore (&registration, &record, address, now));
  EXPECT_STREQ (registration.upstream.name, "i-2");
  EXPECT_EQ (registration.state, REG_UNCONFIRMED);
  EXPECT_EQ (take ("i-1", 9), REG_STALE);
}

/* Guards against calls to an upstream that has left since its record was
   written, and against one that is never used again.  */
TEST_F (Registration, ARestoredUpstreamNeedsConfirmation)
{
  struct mbr_member record = {};
  struct net_address address = { 1, 2 };

  snprintf (record.upstream, sizeof record.upstream, "i-1");
  snprintf (record.service, sizeof record.service, "stock");
  record.upstream_born = 1000;
  EXPECT_TRUE (reg_restore (&registration, &record, address, now));
  EXPECT_EQ (registration.state, REG_UNCONFIRMED);
  EXPECT_TRUE (reg_needs_confirmation (&registration));
  EXPECT_TRUE (reg_mark_unreachable (&registration));
  EXPECT_TRUE (reg_needs_confirmation (&registration));
  reg_confirm (&registration, now);
  EXPECT_EQ (registration.state, REG_READY);
  EXPECT_FALSE (reg_needs_confirmation (&registration));
}

/* The same by a heartbeat, and not after a deregistration.  */
TEST_F (Registration, AHeartbeatConfirmsARestoredUpstream)
{
  struct mbr_member record = {};
  struct net_address address = { 1, 2 };

  snprintf (record.upstream, sizeof record.upstream, "i-1");
  snprintf (record.service, sizeof record.service, "stock");
  record.upstream_born = 1000;
  reg_restore (&registration, &record, address, now);
  EXPECT_EQ (take ("i-1", 3), REG_CHANGED);
  EXPECT_EQ (registration.state, REG_READY);
  EXPECT_FALSE (reg_needs_confirmation (&registration));
  registration = {};
  reg_restore (&registration, &record, address, now);
  reg_deregister (&registration, "i-1", 1000, now);
  EXPECT_EQ (registration.state, REG_LEAVING);
  EXPECT_FALSE (reg_needs_confirmation (&registration));
}

/* Guards against calls to an upstream on the word of an announcement that may
   be older than its departure, and against one that is never used again.  */
TEST_F (Registration, AnAnnouncementMayNeedConfirmation)
{
  take ("i-1", 1);
  reg_require_confirmation (&registration);
  EXPECT_EQ (registration.state, REG_UNCONFIRMED);
  EXPECT_TRUE (reg_needs_confirmation (&registration));
  EXPECT_EQ (take ("i-1", 2), REG_CHANGED);
  EXPECT_EQ (registration.state, REG_READY);
  EXPECT_FALSE (reg_needs_confirmation (&registration));
  take ("i-1", 3, 1000, true);
  reg_require_confirmation (&registration);
  EXPECT_EQ (registration.state, REG_LEAVING);
}

/* Guards against a departure that is lost because an earlier upstream was
   restored from the store: a late heartbeat would bring the later one back. */
TEST_F (Registration, RemembersADepartureOfALaterStart)
{
  take ("i-1", 5);
  EXPECT_EQ (reg_deregister (&registration, "i-2", 2000, now), REG_CHANGED);
  EXPECT_EQ (registration.state, REG_LEAVING);
  EXPECT_EQ (take ("i-2", 3, 2000), REG_STALE);
  EXPECT_EQ (take ("i-1", 6), REG_STALE);
}

/* Guards against an upstream that stays out of use for as long as its next
   heartbeat takes: of the records of earlier processes the one with the
   departure of the upstream before it arrives first.  */
TEST_F (Registration, AdoptsTheUpstreamThatFollowedADeparture)
{
  struct mbr_member record = {};
  struct net_address address = { 1, 2 };

  snprintf (record.upstream, sizeof record.upstream, "i-1");
  snprintf (record.service, sizeof record.service, "stock");
  record.upstream_born = 1000;
  record.upstream_leaving = true;
  EXPECT_TRUE (reg_restore (&registration, &record, address, now));
  EXPECT_EQ (registration.state, REG_LEAVING);
  record.upstream_born = 2000;
  record.upstream_leaving = false;
  EXPECT_TRUE (reg_restore (&registration, &record, address, now));
  EXPECT_EQ (registration.state, REG_UNCONFIRMED);
  EXPECT_EQ (take ("i-1", 9, 1000), REG_STALE);
  EXPECT_EQ (take ("i-1", 1, 2000), REG_CHANGED);
}

/* Guards against a record that overrides what the upstream itself said.  */
TEST_F (Registration, AdoptsNothingOverAnAnnouncement)
{
  struct mbr_member record = {};
  struct net_address address = { 1, 2 };

  snprintf (record.upstream, sizeof record.upstream, "i-0");
  take ("i-1", 1);
  EXPECT_FALSE (reg_restore (&registration, &record, address, now));
  EXPECT_STREQ (registration.upstream.name, "i-1");
}

/* Guards against a record that is written although nothing changed.  */
TEST_F (Registration, FillsTheRecordOnce)
{
  struct mbr_member record = {};

  EXPECT_FALSE (reg_fill_record (&registration, &record));
  take ("i-1", 1);
  EXPECT_TRUE (reg_fill_record (&registration, &record));
  EXPECT_FALSE (reg_fill_record (&registration, &record));
  EXPECT_STREQ (record.upstream, "i-1");
  EXPECT_FALSE (record.upstream_leaving);
}
