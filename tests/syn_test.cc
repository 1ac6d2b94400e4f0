/* Tests the collection of the parts of a version.  */

#include "syn/syn_part.h"
#include "wire/frm.h"

#include <gtest/gtest.h>
#include <string>

static const clk_time start = CLK_SECOND;

class Collector : public testing::Test
{
protected:
  ~Collector () override { syn_collector_clear (&collector); }

  /* Adds part INDEX of three of a version, of the text "INDEX,".  */
  enum syn_part_status
  add (uint32_t index, dir_handle sender = 1, uint64_t version = 5,
       clk_time now = start, uint64_t base = 0)
  {
    std::string text = std::to_string (index) + ",";
    struct syn_part part = { sender,
                             { base, base },
                             { version, version * 7 },
                             index,
                             3,
                             (const uint8_t *)text.data (),
                             text.size () };

    return syn_collector_add (&collector, &part, now);
  }

  struct syn_collector collector = {};
};

/* Guards against parts that are lost or joined in another order.  */
TEST_F (Collector, JoinsPartsInOrder)
{
  EXPECT_EQ (add (0), SYN_PART_ADDED);
  EXPECT_EQ (add (1), SYN_PART_ADDED);
  EXPECT_EQ (add (2), SYN_PART_COMPLETE);
  EXPECT_STREQ (buf_text (&collector.payload), "0,1,2,");
}

/* Guards against a version that is put together with a gap, from two versions
   or from two bases.  */
TEST_F (Collector, DiscardsWhatDoesNotContinueTheParts)
{
  EXPECT_EQ (add (1), SYN_PART_UNEXPECTED);
  for (int fault = 0; fault < 5; fault++)
    {
      SCOPED_TRACE (fault);
      EXPECT_EQ (add (0), SYN_PART_ADDED);
      EXPECT_EQ (fault == 0   ? add (2)
                 : fault == 1 ? add (1, 1, 6)
                 : fault == 2 ? add (1, 1, 5, start, 4)
                 : fault == 3 ? add (3)
                              : add (1, 2, 5, start + SYN_FETCH_TIMEOUT),
                 SYN_PART_DISCARDED);
      EXPECT_EQ (collector.payload.capacity, 0u);
      EXPECT_EQ (add (1), SYN_PART_UNEXPECTED);
    }
}

/* Guards against a sender that begins again, or with a newer version, and
   whose parts are then never whole.  */
TEST_F (Collector, BeginsAnewWithAFirstPart)
{
  for (uint64_t version : { 5, 5, 6 })
    {
      EXPECT_EQ (add (0, 1, version), SYN_PART_ADDED);
      EXPECT_EQ (add (1, 1, version), SYN_PART_ADDED);
    }
  EXPECT_EQ (add (2, 1, 6), SYN_PART_COMPLETE);
  EXPECT_STREQ (buf_text (&collector.payload), "0,1,2,");
}

/* Guards against two parents that send a version at the same time and discard
   each other's parts, and against waiting for one that was killed.  */
TEST_F (Collector, FollowsOneSenderUntilItsPartsAreOverdue)
{
  clk_time overdue = start + SYN_FETCH_TIMEOUT;

  EXPECT_EQ (add (0), SYN_PART_ADDED);
  EXPECT_EQ (add (0, 2, 6), SYN_PART_IGNORED);
  EXPECT_EQ (add (1, 1, 5, overdue - 1), SYN_PART_ADDED);
  EXPECT_EQ (add (1, 2, 5, overdue), SYN_PART_IGNORED);
  overdue += SYN_FETCH_TIMEOUT - 1;
  EXPECT_EQ (add (0, 2, 5, overdue), SYN_PART_ADDED);
  EXPECT_EQ (add (2, 1, 5, overdue), SYN_PART_IGNORED);
}

/* Guards against a peer that fills the memory with parts.  */
TEST_F (Collector, BoundsItsMemory)
{
  std::string text (SYN_PART_LENGTH, 'x');
  struct syn_part part = {
    1, {}, { 5, 5 }, 0, UINT32_MAX, (const uint8_t *)text.data (), text.size ()
  };

  while (syn_collector_add (&collector, &part, start) == SYN_PART_ADDED)
    part.index++;
  EXPECT_EQ (part.index, SYN_PART_MAX_TOTAL / SYN_PART_LENGTH);
  EXPECT_EQ (collector.payload.capacity, 0u);
  part.index = 0;
  part.length++;
  EXPECT_EQ (syn_collector_add (&collector, &part, start),
             SYN_PART_UNEXPECTED);
}

/* Guards against other bytes for versions that fit one frame, which nodes of
   earlier programs receive too.  */
TEST (SmallVersion, KeepsItsBytes)
{
  const uint8_t expected[]
      = { 0,    0,   0,   33,  0x92, 0x01, 30,  0x0a, 0,   0x12, 11, 0x08, 7,
          0x11, 1,   2,   3,   4,    5,    6,   7,    8,   0x1a, 13, 't',  'h',
          'e',  ' ', 'p', 'a', 'y',  'l',  'o', 'a',  'd', ' ',  '7' };
  Mesh__FetchReply reply = MESH__FETCH_REPLY__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Stamp base = MESH__STAMP__INIT, result = MESH__STAMP__INIT;
  std::string payload = "the payload 7";
  struct buf bytes = {};

  result.version = 7;
  result.hash = 0x0807060504030201;
  reply.base_stamp = &base;
  reply.result = &result;
  reply.payload = { payload.size (), (uint8_t *)payload.data () };
  frame.body_case = MESH__FRAME__BODY_PUSH;
  frame.push = &reply;
  ASSERT_EQ (frm_encode (&frame, &bytes), FRM_OK);
  EXPECT_EQ (std::string (buf_text (&bytes), bytes.length),
             std::string ((const char *)expected, sizeof expected));
  buf_close (&bytes);
}
