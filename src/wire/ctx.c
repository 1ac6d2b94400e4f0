/* Encoding of the context of a call.  */

#include "wire/ctx.h"

#include "base/err.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

/* Hexadecimal digits of the origin.  */
#define ORIGIN_DIGITS 16

void
ctx_encode (const struct ctx *context, char text[CTX_TEXT_SIZE])
{
  snprintf (text, CTX_TEXT_SIZE,
            "id=%016" PRIx64 "-%" PRIu64 ";remaining_ms=%" PRIu32
            ";depth=%" PRIu32 ";retries=%" PRIu32,
            context->origin, context->number, context->remaining_ms,
            context->depth, context->retries);
}

/* Moves *TEXT past EXPECTED.  Returns false when *TEXT does not start with
   it.  */
static bool
skip_text (const char **text, const char *expected)
{
  size_t length = strlen (expected);

  if (strncmp (*text, expected, length) != 0)
    return false;
  *text += length;
  return true;
}

static bool
read_hex (const char **text, uint64_t *value)
{
  *value = 0;
  for (int i = 0; i < ORIGIN_DIGITS; i++, (*text)++)
    {
      char digit = **text;

      if (digit >= '0' && digit <= '9')
        *value = *value << 4 | (uint64_t)(digit - '0');
      else if (digit >= 'a' && digit <= 'f')
        *value = *value << 4 | (uint64_t)(digit - 'a' + 10);
      else
        return false;
    }
  return true;
}

static bool
read_decimal (const char **text, uint64_t limit, uint64_t *value)
{
  const char *start = *text;

  *value = 0;
  while (**text >= '0' && **text <= '9')
    {
      uint64_t digit = (uint64_t)(**text - '0');

      if (*value > (limit - digit) / 10)
        return false;
      *value = *value * 10 + digit;
      (*text)++;
    }
  return *text > start && (*start != '0' || *text == start + 1);
}

enum ctx_status
ctx_decode (const char *text, struct ctx *context)
{
  struct ctx result;
  uint64_t remaining;
  uint64_t depth;
  uint64_t retries;

  if (skip_text (&text, "id=") && read_hex (&text, &result.origin)
      && skip_text (&text, "-")
      && read_decimal (&text, UINT64_MAX, &result.number)
      && skip_text (&text, ";remaining_ms=")
      && read_decimal (&text, UINT32_MAX, &remaining)
      && skip_text (&text, ";depth=")
      && read_decimal (&text, UINT32_MAX, &depth)
      && skip_text (&text, ";retries=")
      && read_decimal (&text, UINT32_MAX, &retries) && *text == '\0')
    {
      result.remaining_ms = (uint32_t)remaining;
      result.depth = (uint32_t)depth;
      result.retries = (uint32_t)retries;
      *context = result;
      return CTX_OK;
    }
  err_set ("the header " CTX_HEADER " is not in the expected form");
  return CTX_INVALID;
}
