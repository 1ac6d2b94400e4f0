/* Answers of upstreams that must not be passed on, through real sidecars.  */

#include "support/sidecars.h"

#include "pfm_names.h"

class Answers : public Sidecars
{
protected:
  /* Lets both upstreams of a service answer with the first LENGTH bytes of
     TEXT; see sup_set_raw_answer.  */
  void
  answer_with (const std::string &text, size_t length,
               enum sup_end end = SUP_CLOSE)
  {
    raw = text;
    sup_set_raw_answer (vms[1].upstream, raw.c_str (), length, end);
    sup_set_raw_answer (vms[3].upstream, raw.c_str (), length, end);
  }

  std::string raw; /* outlives the upstreams' use of it */
};

/* Guards against a status that no response has and that reaches the caller
   with the upstream's signature.  */
TEST_F (Answers, WithAnInvalidStatusAreNotPassedOn)
{
  start_mesh ();
  for (const char *status : { "000", "099", "101", "600", "999", "0200" })
    {
      answer_with (std::string ("HTTP/1.1 ") + status
                       + " OK\r\n" PFM_REQUEST_ID ": @\r\n" PFM_SIGNATURE
                         ": standin\r\nContent-Length: 1\r\n\r\nx",
                   SIZE_MAX);
      Peer caller = send_call (0, "/stock/");

      EXPECT_TRUE (run_until_received (caller, "\r\n\r\n")) << status;
      EXPECT_EQ (response_status (caller), 502)
          << status << ": " << caller.received;
      EXPECT_EQ (caller.received.find (PFM_SIGNATURE), std::string::npos);
    }
  sup_set_raw_answer (vms[3].upstream, nullptr, 0, SUP_CLOSE);
  EXPECT_EQ (status_of (0, "/stock/"), 200);
}

/* Guards against an answer that ends early and is passed on as complete: in
   its head, a chunk, its trailer or its body, by an orderly end or a reset. */
TEST_F (Answers, ThatEndEarlyAreNotPassedOn)
{
  static const std::string head = "HTTP/1.1 200 OK\r\n" PFM_REQUEST_ID
                                  ": @\r\n" PFM_SIGNATURE ": standin\r\n";
  static const struct
  {
    std::string text;
    size_t complete; /* bytes of its end that an orderly end may lack */
  } answers[] = { { head + "Content-Length: 12\r\n\r\nhello, world", 0 },
                  { head
                        + "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello"
                          "\r\n7\r\n, world\r\n0\r\nX-T: v\r\n\r\n",
                    0 },
                  { "HTTP/1.1 100 Continue\r\n\r\n" + head
                        + "Content-Length: 2\r\n\r\nok",
                    0 },
                  { head + "\r\nhello, world", 12 } };

  start_mesh ();
  for (const auto &answer : answers)
    for (enum sup_end end : { SUP_CLOSE, SUP_RESET })
      {
        size_t id_length = next_request_id ().size ();
        size_t size = answer.text.size () - 1 + id_length;
        size_t open = end == SUP_CLOSE ? answer.complete : 0;

        for (size_t length = 0; length + open < size; length += 3)
          {
            answer_with (answer.text, length, end);
            EXPECT_EQ (status_of (0, "/stock/", next_request_id ()), 502)
                << answer.text << " cut at " << length << ", end " << end;
          }
        answer_with (answer.text, SIZE_MAX, end);
        EXPECT_TRUE (end == SUP_RESET || status_of (0, "/stock/") == 200)
            << answer.text;
      }
}

/* Guards against a 304 with the length of the body that it stands for, which
   waits for that body until the caller's deadline.  */
TEST_F (Answers, WithoutABodyAreCompleteWhateverLengthTheyState)
{
  start_mesh ();
  answer_with ("HTTP/1.1 304 Not Modified\r\n" PFM_REQUEST_ID
               ": @\r\n" PFM_SIGNATURE
               ": standin\r\nContent-Length: 5\r\n\r\n",
               SIZE_MAX);
  EXPECT_EQ (status_of (0, "/stock/"), 304);
}

/* Guards against a long answer of which parts are sent before its end has
   come.  */
TEST_F (Answers, LongOnesThatEndEarlyAreNotPassedOn)
{
  start_mesh ();
  for (enum sup_end end : { SUP_CLOSE, SUP_RESET })
    for (size_t length : { 20000, 200000 })
      {
        answer_with ("HTTP/1.1 200 OK\r\n" PFM_REQUEST_ID
                     ": @\r\n" PFM_SIGNATURE
                     ": standin\r\nContent-Length: 300000\r\n\r\n"
                         + std::string (300000, 'x'),
                     length, end);
        EXPECT_EQ (status_of (0, "/stock/"), 502) << length << " " << end;
      }
}

/* Guards against an answer with invalid framing that is passed on as a success
   whose body is not the upstream's: a head that a CR ends early, chunks
   without line ends, a transfer coding that is not undone.  */
TEST_F (Answers, WithInvalidFramingAreNotPassedOn)
{
  static const std::string head = "HTTP/1.1 200 OK\r\n" PFM_REQUEST_ID
                                  ": @\r\n" PFM_SIGNATURE ": standin\r\n";
  static const std::string coding = "Transfer-Encoding: ";

  start_mesh ();
  for (const std::string &rest :
       { std::string ("\rContent-Length: 12\r\n\r\nhello"),
         coding + "chunked\r\n\r\n2\r\nokxy0\r\n\r\n",
         coding + "chunke\r\n\r\n2\r\nok\r\n0\r\n\r\n",
         coding + "gzip\r\n\r\nok" })
    {
      answer_with (head + rest, SIZE_MAX);
      EXPECT_EQ (status_of (0, "/stock/"), 502) << rest;
    }
}

/* Guards against an answer that is taken for another one because the start of
   an earlier answer stands before it, wherever that breaks off: a refusal, so
   that the request runs again, or a success, so that a failure looks like
   one.  */
TEST_F (Answers, BehindTheStartOfAnEarlierOneAreNotPassedOn)
{
  static const std::string date = "Date: Mon, 07 Dec 2026 03:00:00 GMT\r\n";
  static const std::string end = PFM_REQUEST_ID
      ": @\r\n" PFM_SIGNATURE ": standin\r\nContent-Length: 2\r\n\r\nok";
  static const struct
  {
    std::string start;
    std::string answer;
  } cases[] = {
    { "HTTP/1.1 503 Full\r\n" + date + PFM_NOT_EXECUTED ": 1\r\nX-A: b\r\n",
      "HTTP/1.1 200 OK\r\n" + end },
    { "HTTP/1.1 200 OK\r\n" + date,
      "HTTP/1.1 500 Internal Server Error\r\n" + end },
  };

  start_mesh ();
  for (const auto &each : cases)
    for (size_t cut = 1; cut <= each.start.size (); cut++)
      {
        std::string start = each.start.substr (0, cut);

        answer_with (start + each.answer, SIZE_MAX);
        EXPECT_EQ (status_of (0, "/stock/"), 502) << start;
      }
}
