#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "review/stand-in-3/record.h"
#include "test/platform/standin_platform.h"
#include "test/support/process.h"

/// @file
/// Callers of one organisation that send whole transactions ahead, without
/// reading the answers. Each transaction writes one item and rolls back. With
/// the disruption, the organisation sends more than its rate.

namespace {

using test_platform::line_client;
using test_platform::log_entry;
using test_platform::standin_options;
using test_platform::standin_platform;

/// `rate_per_s` and `burst` of an organisation of the small deployment.
constexpr std::int64_t kRate = 113;
constexpr std::size_t kSessions = 24;
constexpr std::size_t kTransactionsAhead = 20;

/// Reads the answer to one statement.
/// @return All lines, joined by `|`; empty if the connection ended.
std::string ReadAnswer(line_client& caller) {
  std::string answer;
  while (true) {
    const std::string line = caller.ReadLine();
    if (line.empty()) {
      return {};
    }
    answer += answer.empty() ? line : "|" + line;
    if (line.starts_with("READY ")) {
      return answer;
    }
  }
}

std::string ItemOf(std::size_t session, std::size_t number) {
  return "item-" + std::to_string(session) + "-" + std::to_string(number);
}

/// Items of the transactions whose BEGIN was answered with a promise that
/// nothing is kept.
using item_set = std::set<std::string>;

/// Sends transactions without reading the answers.
void SendAhead(line_client& caller, std::size_t session) {
  for (std::size_t i = 0; i < kTransactionsAhead; ++i) {
    const std::string item = ItemOf(session, i);
    caller.Send("QUERY b" + item + " BEGIN");
    caller.Send(review::Join({"QUERY w", item, " WRITE ", item, " data"}));
    caller.Send("QUERY r" + item + " ROLLBACK");
  }
}

item_set ReadAnswers(line_client& caller, std::size_t session,
                     review::record& record) {
  item_set refused;
  for (std::size_t i = 0; i < kTransactionsAhead; ++i) {
    const std::string item = ItemOf(session, i);
    const std::string begun = ReadAnswer(caller);
    const std::string written = ReadAnswer(caller);
    const std::string ended = ReadAnswer(caller);
    record.Write(review::Join({item, ": BEGIN '", begun, "', WRITE '", written,
                               "', ROLLBACK '", ended, "'"}));
    if (begun.starts_with("ERROR BUSY")) {
      refused.insert(item);
    }
  }
  return refused;
}

int Run(const std::string& program, review::record& record) {
  const bool trouble = review::HasTrouble();
  standin_options options;
  options.programs = {program};
  options.limited_rate = kRate;
  options.settings_lines = "[limits]\nmemory = 260\ndescriptors = 4300\n";
  standin_platform platform(options);
  if (!platform.WaitReady()) {
    record.Write("the gateway did not become ready");
    return review::kCouldNotRun;
  }
  std::vector<std::unique_ptr<line_client>> callers;
  for (std::size_t i = 0; i < kSessions; ++i) {
    callers.push_back(std::make_unique<line_client>(platform.CallerPort(0)));
    const std::string greeting = callers.back()->Start("counter", "key-three");
    if (!greeting.starts_with("READY I")) {
      record.Write("START answered '" + greeting + "'");
      return review::kCouldNotRun;
    }
  }
  // With the disruption all callers send at once, otherwise one after the
  // other, which keeps the organisation inside its rate.
  for (std::size_t i = 0; trouble && i < kSessions; ++i) {
    SendAhead(*callers[i], i);
  }
  item_set refused;
  for (std::size_t i = 0; i < kSessions; ++i) {
    if (!trouble) {
      SendAhead(*callers[i], i);
    }
    refused.merge(ReadAnswers(*callers[i], i, record));
  }
  std::size_t broken = 0;
  for (const log_entry& entry :
       platform.Group().Log(platform.Group().PrimaryIndex())) {
    ++broken;
    record.Write("BROKEN: the instance has committed " + entry.item +
                 ", which its caller rolled back" +
                 (refused.contains(entry.item)
                      ? "; its BEGIN was answered with BUSY"
                      : ""));
  }
  record.Write(std::to_string(refused.size()) +
               " transactions refused at BEGIN, " + std::to_string(broken) +
               " writes committed");
  return broken > 0 ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return review::kCouldNotRun;
  }
  review::record record(argv[2]);
  return Run(argv[1], record);
}
