#include "test/platform/line_workload.h"

#include <array>
#include <memory>
#include <optional>
#include <random>

namespace test_platform {
namespace {

using sassafraswick::monotonic_clock;
using std::chrono::milliseconds;
using test_support::outcome;
using test_support::read_kind;
using test_support::read_record;
using test_support::write_record;

constexpr milliseconds kRest(8);
constexpr std::uint64_t kRowsPerCaller = 1'000'000;

struct route_under_test {
  const char* database;
  read_kind kind;
};

/// Databases of the stand-in and what their reads promise.
constexpr std::array<route_under_test, 3> kRoutes{{
    {"counter", read_kind::kStrong},
    {"status", read_kind::kStale},
    {"workshop", read_kind::kToken},
}};

/// Codes after which nothing of the statement may be kept.
constexpr std::array<const char*, 10> kPromises{
    "ERROR BUSY",      "ERROR ABORTED",  "ERROR LAGGING", "ERROR READONLY",
    "ERROR MISROUTED", "ERROR TOOMANY",  "ERROR NOAUTH",  "ERROR NODB",
    "ERROR NOSTMT",    "ERROR MALFORMED"};

outcome OutcomeOf(const std::string& answer) {
  if (answer.starts_with("COMPLETE")) {
    return outcome::kAcknowledged;
  }
  for (const char* const promise : kPromises) {
    if (answer.starts_with(promise)) {
      return outcome::kNotRun;
    }
  }
  return outcome::kUnknown;
}

}  // namespace

struct line_workload::caller {
  std::uint64_t key = 0;
  std::mt19937_64 random;
  std::unique_ptr<line_client> client;
  route_under_test route = kRoutes.front();
  std::size_t gateway = 0;
  std::uint64_t last_value = 0;
  /// Newest own write that this session saw acknowledged.
  std::uint64_t session_value = 0;
};

std::string ItemOf(std::uint64_t caller, bool second) {
  return std::string(second ? "second" : "item") + std::to_string(caller);
}

std::uint64_t RowOf(std::uint64_t caller, std::uint64_t value) {
  return caller * kRowsPerCaller + value;
}

line_workload::line_workload(const standin_platform& platform,
                             std::size_t gateways, std::size_t callers,
                             std::uint64_t seed)
    : platform_(platform),
      gateways_(gateways),
      callers_(callers),
      seed_(seed) {}

void line_workload::Start() {
  for (std::size_t i = 0; i < callers_; ++i) {
    threads_.emplace_back([this, i] { Run(i); });
  }
}

void line_workload::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

bool line_workload::Connect(caller& self) {
  self.gateway = self.random() % gateways_;
  self.route = kRoutes.at(self.random() % kRoutes.size());
  self.session_value = 0;
  self.client =
      std::make_unique<line_client>(platform_.CallerPort(self.gateway));
  const std::string answer = self.client->Start(self.route.database, "key-one");
  if (!answer.starts_with("READY")) {
    self.client.reset();
  }
  return self.client != nullptr;
}

void line_workload::Run(std::size_t index) {
  caller self;
  self.key = index;
  self.random.seed(seed_ * 1000 + index);
  while (!stopping_) {
    constexpr unsigned kSessionLength = 40;
    if (self.client == nullptr || self.random() % kSessionLength == 0) {
      Connect(self);
    }
    if (self.client != nullptr) {
      constexpr unsigned kWritesIn = 3;
      if (self.random() % kWritesIn == 0) {
        Write(self);
      } else {
        Read(self);
      }
    }
    test_support::Pause(kRest);
  }
}

void line_workload::Write(caller& self) {
  write_record record;
  record.key = self.key;
  record.value = ++self.last_value;
  record.row_id = RowOf(self.key, record.value);
  record.start = monotonic_clock::now();
  const std::string data = std::to_string(record.value);
  const std::string first = "WRITE " + ItemOf(self.key, false) + " " + data;
  const std::string second = "WRITE " + ItemOf(self.key, true) + " " + data;
  std::string answer = self.client->Run("BEGIN");
  if (answer.starts_with("COMPLETE")) {
    answer = self.client->Run(first);
  }
  if (answer.starts_with("COMPLETE")) {
    answer = self.client->Run(second);
  }
  const bool complete = answer.starts_with("COMPLETE");
  if (complete) {
    answer = self.client->Run("COMMIT");
  }
  record.end = monotonic_clock::now();
  // Without its commit nothing of it may be kept, whatever was answered.
  record.result = complete ? OutcomeOf(answer) : outcome::kNotRun;
  recorder_.Add(record);
  if (record.result == outcome::kAcknowledged) {
    self.session_value = record.value;
  } else {
    self.client.reset();
  }
}

void line_workload::Read(caller& self) {
  read_record record;
  record.key = self.key;
  record.kind = self.route.kind;
  record.token_value = self.session_value;
  record.max_staleness = milliseconds(1500);
  record.start = monotonic_clock::now();
  const std::string answer =
      self.client->Run("READ " + ItemOf(self.key, false));
  record.end = monotonic_clock::now();
  constexpr std::string_view kRow = "ROW ";
  if (!answer.starts_with(kRow)) {
    ++failed_reads_;
    if (OutcomeOf(answer) == outcome::kUnknown) {
      self.client.reset();
    }
    return;
  }
  const std::string value =
      answer.substr(kRow.size(), answer.find('|') - kRow.size());
  record.value = value.starts_with("none") ? 0 : std::stoull(value);
  recorder_.Add(record);
}

}  // namespace test_platform
