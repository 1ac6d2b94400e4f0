/* Tests the deltas between versions of a document.  */

#include "base/err.h"
#include "base/mem.h"
#include "base/rnd.h"
#include "base/str.h"
#include "dlt/dlt.h"
#include "support/support.h"

#include <cstdlib>
#include <ctime>
#include <gtest/gtest.h>
#include <string>
#include <vector>

/* Adds a tenant with random limits and up to two keys.  */
static void
add_tenant (struct doc_document *document, const std::string &name,
            struct rnd *random)
{
  struct doc_tenant *tenant = &document->tenants[document->tenant_count++];

  tenant->name = mem_copy_string (name.c_str ());
  tenant->priority = rnd_below (random, 2);
  tenant->rate = rnd_below (random, 2) * 2.5;
  tenant->burst = rnd_below (random, 2) * 7;
  tenant->key_count = rnd_below (random, 3);
  tenant->keys = static_cast<struct doc_key *> (
      mem_alloc (tenant->key_count, sizeof *tenant->keys));
  for (size_t i = 0; i < tenant->key_count; i++)
    {
      std::string key = name + std::to_string (rnd_below (random, 3) + 3 * i);

      doc_hash_key (key.data (), key.size (), &tenant->keys[i]);
    }
}

/* A random document of about COUNT routes.  */
static struct doc_document *
make_document (struct rnd *random, size_t count)
{
  struct doc_document *document
      = static_cast<struct doc_document *> (mem_alloc (1, sizeof *document));
  size_t services = 1 + rnd_below (random, 5);

  document->services = static_cast<struct doc_service *> (
      mem_alloc (services, sizeof *document->services));
  document->routes = static_cast<struct doc_route *> (
      mem_alloc (count, sizeof *document->routes));
  for (size_t i = 0; i < services; i++)
    {
      std::string name = "service-" + std::to_string (7 * i % 11);

      document->services[document->service_count++].name
          = mem_copy_string (name.c_str ());
    }
  for (size_t i = 0; i < count; i++)
    {
      struct doc_route *route = &document->routes[document->route_count];
      std::string path = "/r" + std::to_string (i) + "/";

      if (rnd_below (random, 4) == 0)
        continue;
      document->route_count++;
      route->host = str_create (i % 3 == 0 ? "a.example" : "b.example");
      route->path = str_create (path.c_str ());
      route->service = rnd_below (random, (uint32_t)services);
      route->call_class
          = rnd_below (random, 2) ? DOC_AT_MOST_ONCE : DOC_IDEMPOTENT;
      route->deadline_ms = 1 + rnd_below (random, 3);
      route->target_latency_ms = rnd_below (random, 2);
      route->max_attempts = rnd_below (random, 3);
      route->priority = rnd_below (random, 2);
      route->is_public = rnd_below (random, 2) > 0;
      if (rnd_below (random, 3) == 0)
        {
          route->weighted_service_count = 2;
          route->weighted_services
              = static_cast<struct doc_weighted_service *> (
                  mem_alloc (2, sizeof *route->weighted_services));
          for (size_t j = 0; j < 2; j++)
            route->weighted_services[j]
                = { rnd_below (random, (uint32_t)services),
                    1 + rnd_below (random, 2) };
        }
    }
  document->requires_keys = rnd_below (random, 2) > 0;
  document->tenants = static_cast<struct doc_tenant *> (
      mem_alloc (8, sizeof *document->tenants));
  for (size_t i = 0; i < 8; i++)
    if (rnd_below (random, 3) > 0)
      add_tenant (document, "tenant-" + std::to_string (i), random);
  document->caller_limits
      = { 100 + rnd_below (random, 2), 200, 300 + rnd_below (random, 2), 400 };
  return document;
}

/* Returns the document that the delta DATA yields, null when it is
   rejected.  */
static struct doc_document *
apply_data (const struct doc_document *base, const std::string &data)
{
  struct doc_document *result;

  if (dlt_apply (base, data.data (), data.size (), &result) != DLT_OK)
    return nullptr;
  return result;
}

static std::string
encode (const struct doc_document *base, const struct doc_document *result)
{
  struct buf output = {};
  dlt_encode (base, result, &output);
  std::string data (buf_text (&output), output.length);

  buf_close (&output);
  return data;
}

/* Guards against a received version that differs from the one sent: a delta
   from any document to any other, or without a base, yields the same
   document.  */
TEST (Deltas, YieldTheEncodedDocument)
{
  struct rnd random;

  rnd_init (&random, 3);
  for (int round = 0; round < 300; round++)
    {
      struct doc_document *base = make_document (&random, 40);
      struct doc_document *result = make_document (&random, 40);
      struct doc_document *copy = apply_data (base, encode (base, result));
      struct doc_document *whole
          = apply_data (nullptr, encode (nullptr, result));

      ASSERT_NE (copy, nullptr) << err_last () << test_seed_note (3);
      ASSERT_NE (whole, nullptr) << err_last ();
      EXPECT_EQ (dlt_digest (copy), dlt_digest (result));
      EXPECT_EQ (dlt_digest (whole), dlt_digest (result));
      EXPECT_EQ (copy->route_count, result->route_count);
      EXPECT_EQ (copy->requires_keys, result->requires_keys);
      ASSERT_EQ (copy->tenant_count, result->tenant_count);
      for (size_t i = 0; i < copy->tenant_count; i++)
        EXPECT_TRUE (
            doc_equal_tenants (&copy->tenants[i], &result->tenants[i]));
      EXPECT_EQ (copy->caller_limits.header_timeout_ms,
                 result->caller_limits.header_timeout_ms);
      doc_destroy (base);
      EXPECT_EQ (dlt_digest (copy), dlt_digest (result));
      doc_destroy (copy);
      doc_destroy (whole);
      doc_destroy (result);
    }
}

/* Guards against deltas whose size grows with the document instead of with the
   change.  */
TEST (Deltas, AreAsSmallAsTheChange)
{
  struct rnd random;

  rnd_init (&random, 4);
  struct doc_document *base = make_document (&random, 2000);
  struct doc_document *result = apply_data (nullptr, encode (nullptr, base));

  ASSERT_NE (result, nullptr);
  EXPECT_LT (encode (base, result).size (), 100u);
  result->routes[5].deadline_ms += 1000;
  EXPECT_LT (encode (base, result).size (), 150u);
  EXPECT_NE (dlt_digest (base), dlt_digest (result));
  doc_destroy (result);
  doc_destroy (base);
}

/* Guards against a digest that does not depend on some field.  */
TEST (Deltas, DigestCoversEveryField)
{
  struct rnd random;

  rnd_init (&random, 5);
  struct doc_document *document = make_document (&random, 20);
  struct doc_route *route = &document->routes[3];
  uint64_t digest = dlt_digest (document);
  uint32_t *const fields[] = { &route->methods,
                               &route->deadline_ms,
                               &route->target_latency_ms,
                               &route->max_attempts,
                               &route->priority,
                               &document->caller_limits.header_timeout_ms,
                               &document->caller_limits.idle_timeout_ms };

  for (uint32_t *field : fields)
    {
      ++*field;
      EXPECT_NE (dlt_digest (document), digest);
      --*field;
    }
  route->call_class = route->call_class == DOC_AT_MOST_ONCE ? DOC_IDEMPOTENT
                                                            : DOC_AT_MOST_ONCE;
  EXPECT_NE (dlt_digest (document), digest);
  digest = dlt_digest (document);
  route->is_public = !route->is_public;
  EXPECT_NE (dlt_digest (document), digest);
  ASSERT_GT (document->tenant_count, 0u);
  struct doc_tenant *tenant = &document->tenants[0];
  digest = dlt_digest (document);
  tenant->rate += 1;
  EXPECT_NE (dlt_digest (document), digest);
  tenant->rate -= 1;
  tenant->burst += 1;
  EXPECT_NE (dlt_digest (document), digest);
  tenant->burst -= 1;
  tenant->priority++;
  EXPECT_NE (dlt_digest (document), digest);
  tenant->priority--;
  document->requires_keys = !document->requires_keys;
  EXPECT_NE (dlt_digest (document), digest);
  doc_destroy (document);
}

/* Guards against a digest that nodes of the version before tenants compute
   otherwise, so that they take no version from nodes of this one, and the
   reverse, while the mesh is updated node by node.  */
TEST (Deltas, DigestWithoutTenantsStaysTheSame)
{
  struct rnd random;

  rnd_init (&random, 9);
  struct doc_document *document = make_document (&random, 20);

  for (size_t i = 0; i < document->route_count; i++)
    document->routes[i].is_public = false;
  document->requires_keys = false;
  for (size_t i = 0; i < document->tenant_count; i++)
    {
      free (document->tenants[i].name);
      free (document->tenants[i].keys);
    }
  document->tenant_count = 0;
  EXPECT_EQ (dlt_digest (document), 2075370700882526021u);
  doc_destroy (document);
}

/* Guards against a time that grows with the square of the number of tenants:
   it kept a node from serving calls while it read the new version.  */
TEST (Deltas, AreAppliedInTimeWithManyTenants)
{
  const size_t count = 19000;
  struct rnd random;
  clock_t start;

  rnd_init (&random, 10);
  struct doc_document *base = make_document (&random, 1);
  base->tenants = static_cast<struct doc_tenant *> (
      mem_resize (base->tenants, count + 8, sizeof *base->tenants));
  for (size_t i = 0; i < count; i++)
    {
      base->tenants[base->tenant_count] = {};
      add_tenant (base, "many-" + std::to_string (i), &random);
    }
  doc_sort_tenants (base);
  std::string whole = encode (nullptr, base);
  start = clock ();
  struct doc_document *copy = apply_data (base, whole);
  EXPECT_LT (clock () - start, CLOCKS_PER_SEC / 2);
  ASSERT_NE (copy, nullptr) << err_last ();
  EXPECT_EQ (dlt_digest (copy), dlt_digest (base));
  doc_destroy (copy);
  doc_destroy (base);
}

/* Guards against received data that crashes a node or makes it allocate memory
   without bound: truncated, changed and random data.  */
TEST (Deltas, RejectInvalidData)
{
  struct rnd random;

  rnd_init (&random, 6);
  struct doc_document *base = make_document (&random, 30);
  struct doc_document *other = make_document (&random, 30);
  std::string data = encode (base, other);

  for (int round = 0; round < 3000; round++)
    {
      std::string broken = data;

      if (round % 3 == 0)
        broken.resize (rnd_below (&random, (uint32_t)data.size ()));
      else
        for (int i = 0; i < 1 + round % 5; i++)
          broken[rnd_below (&random, (uint32_t)broken.size ())]
              = (char)rnd_bits (&random);
      struct doc_document *result
          = apply_data (round % 2 ? base : nullptr, broken);
      if (result != nullptr)
        dlt_digest (result);
      doc_destroy (result);
    }
  doc_destroy (base);
  doc_destroy (other);
}

/* Guards against an unchanged route whose service the result lacks.  */
TEST (Deltas, RejectRoutesWithoutTheirService)
{
  struct rnd random;

  rnd_init (&random, 7);
  struct doc_document *base = make_document (&random, 30);
  struct doc_document *empty = static_cast<struct doc_document *> (
      mem_alloc (1, sizeof (struct doc_document)));

  EXPECT_EQ (apply_data (base, encode (nullptr, empty)), nullptr);
  doc_destroy (empty);
  doc_destroy (base);
}

/* Guards against health checks that are lost, kept from the base or invalid in
   a received version.  */
TEST (Deltas, CarryTheHealthChecks)
{
  struct rnd random;

  rnd_init (&random, 8);
  struct doc_document *base = make_document (&random, 10);
  struct doc_document *next = make_document (&random, 10);

  base->services[0].health_path = mem_copy_string ("/before");
  next->services[0].health_path = mem_copy_string ("/health");
  struct doc_document *copy = apply_data (base, encode (base, next));

  ASSERT_NE (copy, nullptr) << err_last ();
  EXPECT_STREQ (copy->services[0].health_path, "/health");
  EXPECT_EQ (copy->services[copy->service_count - 1].health_path == nullptr,
             copy->service_count > 1);
  doc_destroy (copy);
  for (const char *invalid : { "health", "/a b", "/a\r\nHost: b" })
    {
      free (next->services[0].health_path);
      next->services[0].health_path = mem_copy_string (invalid);
      EXPECT_EQ (apply_data (base, encode (base, next)), nullptr);
    }
  doc_destroy (base);
  doc_destroy (next);
}
