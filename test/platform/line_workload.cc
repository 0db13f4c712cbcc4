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

constexpr milliseconds kThinkTime(8);
constexpr std::uint64_t kRowsPerCaller = 1'000'000;

struct tested_route {
  const char* database;
  read_kind kind;
};

/// Databases of the stand-in platform and the read consistency of each.
constexpr std::array<tested_route, 3> kRoutes{{
    {"counter", read_kind::kStrong},
    {"status", read_kind::kStale},
    {"workshop", read_kind::kToken},
}};

/// Errors after which the statement must have had no effect.
constexpr std::array<const char*, 10> kNotExecutedErrors{
    "ERROR BUSY",      "ERROR ABORTED",  "ERROR LAGGING", "ERROR READONLY",
    "ERROR MISROUTED", "ERROR TOOMANY",  "ERROR NOAUTH",  "ERROR NODB",
    "ERROR NOSTMT",    "ERROR MALFORMED"};

outcome ClassifyResponse(const std::string& response) {
  if (response.starts_with("COMPLETE")) {
    return outcome::kAcknowledged;
  }
  for (const char* const prefix : kNotExecutedErrors) {
    if (response.starts_with(prefix)) {
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
  tested_route route = kRoutes.front();
  std::size_t gateway = 0;
  std::uint64_t last_value = 0;
  /// Latest write of this caller that was acknowledged in this session.
  std::uint64_t acknowledged_value = 0;
};

std::string ItemName(std::uint64_t caller, bool second) {
  return std::string(second ? "second" : "item") + std::to_string(caller);
}

std::uint64_t RowId(std::uint64_t caller, std::uint64_t value) {
  return caller * kRowsPerCaller + value;
}

void AddFinalState(standin_platform& platform, std::size_t callers,
                   test_support::history& recorded) {
  recorded.rows_per_write = 2;
  for (const log_entry& entry :
       platform.Group().Log(platform.Group().PrimaryIndex())) {
    for (std::uint64_t caller = 0; caller < callers; ++caller) {
      const bool first = entry.item == ItemName(caller, false);
      if (!first && entry.item != ItemName(caller, true)) {
        continue;
      }
      const std::uint64_t value = std::stoull(entry.data);
      ++recorded.final_rows[RowId(caller, value)];
      if (first) {
        recorded.final_values[caller] = value;
      }
    }
  }
}

bool WaitUntilServing(const standin_platform& platform, std::size_t gateway,
                      milliseconds timeout) {
  int attempt = 0;
  return test_support::WaitFor(timeout, [&platform, gateway, &attempt] {
    line_client client(platform.CallerPort(gateway));
    client.Start("counter", "key-one");
    return client
        .Run("WRITE after" + std::to_string(gateway) + " " +
             std::to_string(++attempt))
        .starts_with("COMPLETE");
  });
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
  self.acknowledged_value = 0;
  self.client =
      std::make_unique<line_client>(platform_.CallerPort(self.gateway));
  const std::string response =
      self.client->Start(self.route.database, "key-one");
  if (!response.starts_with("READY")) {
    self.client.reset();
  }
  return self.client != nullptr;
}

void line_workload::Run(std::size_t index) {
  caller self;
  self.key = index;
  self.random.seed(seed_ * 1000 + index);
  while (!stopping_) {
    constexpr unsigned kMeanSessionOperations = 40;
    if (self.client == nullptr || self.random() % kMeanSessionOperations == 0) {
      Connect(self);
    }
    if (self.client != nullptr) {
      constexpr unsigned kOperationsPerWrite = 3;
      if (self.random() % kOperationsPerWrite == 0) {
        Write(self);
      } else {
        Read(self);
      }
    }
    test_support::Pause(kThinkTime);
  }
}

void line_workload::Write(caller& self) {
  write_record record;
  record.key = self.key;
  record.value = ++self.last_value;
  record.row_id = RowId(self.key, record.value);
  record.start = monotonic_clock::now();
  const std::string data = std::to_string(record.value);
  const std::string first = "WRITE " + ItemName(self.key, false) + " " + data;
  const std::string second = "WRITE " + ItemName(self.key, true) + " " + data;
  std::string response = self.client->Run("BEGIN");
  if (response.starts_with("COMPLETE")) {
    response = self.client->Run(first);
  }
  if (response.starts_with("COMPLETE")) {
    response = self.client->Run(second);
  }
  const bool complete = response.starts_with("COMPLETE");
  if (complete) {
    response = self.client->Run("COMMIT");
  }
  record.end = monotonic_clock::now();
  // A transaction whose COMMIT was not sent must have no effect, whatever the
  // response was.
  record.result = complete ? ClassifyResponse(response) : outcome::kNotRun;
  recorder_.Add(record);
  if (record.result == outcome::kAcknowledged) {
    self.acknowledged_value = record.value;
  } else {
    self.client.reset();
  }
}

void line_workload::Read(caller& self) {
  read_record record;
  record.key = self.key;
  record.kind = self.route.kind;
  record.token_value = self.acknowledged_value;
  record.max_staleness = milliseconds(1500);
  record.start = monotonic_clock::now();
  const std::string response =
      self.client->Run("READ " + ItemName(self.key, false));
  record.end = monotonic_clock::now();
  constexpr std::string_view kRow = "ROW ";
  if (!response.starts_with(kRow)) {
    ++failed_reads_;
    if (ClassifyResponse(response) == outcome::kUnknown) {
      self.client.reset();
    }
    return;
  }
  const std::string value =
      response.substr(kRow.size(), response.find('|') - kRow.size());
  record.value = value.starts_with("none") ? 0 : std::stoull(value);
  recorder_.Add(record);
}

}  // namespace test_platform
