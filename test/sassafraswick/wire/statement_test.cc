#include "sassafraswick/wire/statement.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

statement_kind KindOf(std::string_view sql) {
  return ClassifyStatement(sql).kind;
}

TEST_CASE("only statements known to be read-only count as reads",
          "[statement]") {
  CHECK(KindOf("SELECT 1") == statement_kind::kRead);
  CHECK(KindOf(" /* x */ -- y\n select * from t;") == statement_kind::kRead);
  CHECK(KindOf("SELECT * FROM t FOR UPDATE") == statement_kind::kWrite);
  CHECK(KindOf("SELECT 1; DELETE FROM t") == statement_kind::kWrite);
  CHECK(KindOf("WITH x AS (DELETE FROM t) SELECT 1") == statement_kind::kWrite);
  CHECK(KindOf("EXPLAIN ANALYZE DELETE FROM t") == statement_kind::kWrite);
  CHECK(KindOf("INSERT INTO t VALUES (1)") == statement_kind::kWrite);
  CHECK(KindOf("BEGIN") == statement_kind::kBegin);
  CHECK(KindOf("begin read only") == statement_kind::kBeginReadOnly);
  CHECK(KindOf("COMMIT;") == statement_kind::kCommit);
  CHECK(KindOf("end") == statement_kind::kCommit);
  CHECK(KindOf("ROLLBACK") == statement_kind::kRollback);
  CHECK(KindOf("abort") == statement_kind::kRollback);
  CHECK(KindOf("  ") == statement_kind::kEmpty);
  CHECK(KindOf(";") == statement_kind::kEmpty);
}

TEST_CASE("SET and SHOW of proxy parameters are recognised", "[statement]") {
  const statement_class set =
      ClassifyStatement("SET sassafraswick.Max_Staleness TO '5s'");
  CHECK(set.kind == statement_kind::kSetProxyParameter);
  CHECK(set.name == "sassafraswick.max_staleness");
  CHECK(set.value == "5s");
  CHECK(ClassifyStatement("set session sassafraswick.idempotent=on;").value ==
        "on");
  CHECK(KindOf("SHOW sassafraswick.session") ==
        statement_kind::kShowProxyParameter);
  CHECK(KindOf("SET search_path = a") == statement_kind::kSet);
  CHECK(KindOf("SET LOCAL search_path = a") == statement_kind::kWrite);
}

TEST_CASE("statements that pooling cannot support are recognised",
          "[statement]") {
  for (const char* const sql :
       {"LISTEN x", "CREATE TEMP TABLE t (a int)",
        "create temporary table t (a int)", "SELECT pg_advisory_lock(1)",
        "COPY t FROM STDIN", "DECLARE c CURSOR WITH HOLD FOR SELECT 1"}) {
    INFO(sql);
    CHECK(KindOf(sql) == statement_kind::kUnsupported);
  }
  CHECK(KindOf("CREATE TABLE temperature (a int)") == statement_kind::kWrite);
}

}  // namespace
}  // namespace sassafraswick
