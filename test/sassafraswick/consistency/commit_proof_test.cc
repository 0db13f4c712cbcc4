#include "sassafraswick/consistency/commit_proof.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

time_point At(int milliseconds) {
  return time_point(std::chrono::hours(1)) +
         std::chrono::milliseconds(milliseconds);
}

/// A replica was not paused in term 2 at 0 ms.
std::optional<replication_proof> Replicating() {
  std::optional<replication_proof> newest;
  RecordReplication(newest, {2, At(0)});
  return newest;
}

// Writes that had waited behind a fence were acknowledged once an instance of a
// release joined the old primary, and lost by the promotion. Seen with:
// review/12.
TEST_CASE("a commit that waited behind a fence is not passed on without proof",
          "[commit_proof]") {
  std::optional<replication_proof> newest = Replicating();
  CHECK(IsCommitProved(newest, 2, At(250)));
  CHECK_FALSE(IsCommitProved(newest, 2, At(251)));
  RecordReplication(newest, {2, At(600)});
  CHECK(IsCommitProved(newest, 2, At(620)));
  CHECK_FALSE(IsCommitProved(std::nullopt, 2, At(0)));
}

TEST_CASE("a proof of a later term covers no commit of a replaced primary",
          "[commit_proof]") {
  std::optional<replication_proof> newest = Replicating();
  RecordReplication(newest, {3, At(100)});
  CHECK_FALSE(IsCommitProved(newest, 2, At(110)));
  RecordReplication(newest, {2, At(200)});
  CHECK(newest->term == 3);
  CHECK(newest->requested_at == At(100));
}

// Guards against: a commit of the replaced primary was passed on at the moment
// at which its successor was heard of, as a replica that the promotion had
// resumed, but that had not joined it yet, counted as a witness. Seen with:
// review/12, seed 2.
TEST_CASE("a replica that has not heard of a known term proves nothing",
          "[commit_proof]") {
  std::optional<replication_proof> newest = Replicating();
  RecordReplication(newest, {2, At(900)});
  REQUIRE(IsCommitProved(newest, 2, At(500)));
  RecordTerm(newest, 3);
  CHECK_FALSE(IsCommitProved(newest, 2, At(500)));
  RecordReplication(newest, {2, At(950)});
  CHECK_FALSE(IsCommitProved(newest, 2, At(500)));
  CHECK(IsCommitProved(newest, 3, At(1000)));
}

// The instance that had joined the old primary was asked whether the group was
// fenced, though no promoter had paused it yet.
TEST_CASE("a process that started after the last proof is no witness",
          "[commit_proof]") {
  const std::optional<replication_proof> newest = Replicating();
  CHECK(IsWitness(newest, At(-5000), At(3000)));
  CHECK(IsWitness(newest, At(250), At(3000)));
  CHECK_FALSE(IsWitness(newest, At(251), At(3000)));
  // Otherwise a group whose instances were all replaced would never be proved.
  CHECK_FALSE(IsWitness(newest, At(251), At(25'250)));
  CHECK(IsWitness(newest, At(251), At(25'251)));
  CHECK(IsWitness(newest, At(249), At(250)));
}

// Guards against: an instance that had restarted under its identifier, and so
// lost its pause, was taken for its predecessor. Seen with: seed 6158 of late
// orders.
TEST_CASE("only a current list tells that a process is older than a connection",
          "[commit_proof]") {
  CHECK(RunningSince(At(0), At(4000), At(4449)) == At(4000));
  CHECK(RunningSince(At(0), At(4000), At(4450)) == At(0));
  CHECK(RunningSince(At(4100), At(4000), At(9000)) == At(4000));
}

TEST_CASE(
    "answers without a gap in which another could start are one process's",
    "[commit_proof]") {
  process_contact contact;
  RecordAnswer(contact, At(0), At(10));
  CHECK(contact.since == At(0));
  SECTION("over a connection that was opened soon after") {
    RecordAnswer(contact, At(260), At(300));
    CHECK(contact.since == At(0));
    CHECK(contact.answered_at == At(300));
  }
  SECTION("not over one that was opened later") {
    RecordAnswer(contact, At(261), At(300));
    CHECK(contact.since == At(261));
    // An answer from before it is another process's.
    RecordAnswer(contact, At(0), At(20));
    CHECK(contact.since == At(261));
  }
  SECTION("over a connection that is older than the contact") {
    RecordAnswer(contact, At(-100), At(20));
    CHECK(contact.since == At(-100));
  }
}

TEST_CASE("a host without any proof relies on instances that it has known",
          "[commit_proof]") {
  CHECK_FALSE(IsWitness(std::nullopt, At(0), At(1999)));
  CHECK(IsWitness(std::nullopt, At(0), At(2000)));
}

}  // namespace
}  // namespace sassafraswick
