#include <array>
#include <atomic>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "review/standin/net.h"
#include "review/standin/platform.h"

/// @file
/// An instance fails a part of its requests while its health check is good.
/// Every statement that it runs must still see the values that its own client
/// has set, and every prepared name must still be known.

namespace review {
namespace {

constexpr int kSessions = 8;
constexpr milliseconds kCalm(4000);
/// Length and share of the failures, as in the site file.
constexpr milliseconds kGreyTime(6500);
constexpr double kFailedShare = 0.45;
/// The instance that fails: a replica.
constexpr std::size_t kGreyInstance = 2;

struct shared_state {
  recorder& record;
  std::mutex mutex;
  /// Value of `owner` that the client of a request has set and that was
  /// acknowledged, by request.
  std::map<std::string, std::string> expected;
  std::atomic<int> statements{0};
  std::atomic<int> wrong_values{0};
  std::atomic<int> unknown_names{0};
  std::atomic<int> issued_failures{0};
  std::atomic<bool> stopped{false};
};

/// Sends a statement, and records its answer.
std::string Run(shared_state& state, line_client& client,
                const std::string& owner, int& last_id,
                const std::string& text) {
  const std::string id = owner + "-" + std::to_string(++last_id);
  {
    const std::lock_guard<std::mutex> lock(state.mutex);
    state.expected[id] = owner;
  }
  std::string answer = client.Run(id, text);
  state.record.Write("client: " + id + " " + text + " -> " + answer);
  return answer;
}

/// Opens sessions, sets a value, prepares a read, and runs some reads.
void RunSessions(shared_state& state, std::uint16_t port, int number) {
  constexpr int kReads = 12;
  for (int session = 0; !state.stopped; ++session) {
    const std::string owner =
        "s" + std::to_string(number) + "-" + std::to_string(session);
    int last_id = 0;
    line_client client(port);
    if (!client.Start("hoja", "key-taller").starts_with("READY")) {
      Pause(milliseconds(20));
      continue;
    }
    // A client closes its session after an error in response to these.
    if (!Run(state, client, owner, last_id, "SET owner " + owner)
             .starts_with("COMPLETE") ||
        !Run(state, client, owner, last_id, "PREPARE s1 READ q" + owner)
             .starts_with("COMPLETE")) {
      continue;
    }
    for (int i = 0; i < kReads && !state.stopped; ++i) {
      const std::string answer =
          Run(state, client, owner, last_id,
              i % 3 == 2 ? "EXECUTE s1 1a4" : "READ 1a4");
      ++state.statements;
      if (answer.find("ERROR NOSTMT") != std::string::npos) {
        ++state.unknown_names;
        state.record.Write("PINNED: session " + owner +
                           " is told that s1 is unknown, though its preparing "
                           "was acknowledged");
      }
      if (answer.ends_with("(closed)")) {
        break;
      }
      Pause(milliseconds(30));
    }
  }
}

int Run(const std::string& directory, const std::string& temporary,
        bool trouble) {
  recorder record(directory + "/record.txt");
  store shared(record);
  group_options options;
  options.read_time = milliseconds(14);
  options.max_connections = 32;
  database_group group("avisos", options, shared, record);
  shared.Put("op/config", MakeConfiguration(7, group.Name()));
  promotion_service promotions(group, record);
  std::vector<std::unique_ptr<gateway_process>> gateways;
  for (const char* const zone : {"leon-a", "leon-b"}) {
    gateways.push_back(std::make_unique<gateway_process>(
        "front-" + std::string(zone), zone, temporary, shared, promotions));
    gateways.back()->Start(true);
  }
  for (const std::unique_ptr<gateway_process>& each : gateways) {
    if (!each->WaitReady(milliseconds(15'000))) {
      record.Write("case: " + each->Name() + " is not ready");
      return 2;
    }
  }
  shared_state state{.record = record};
  std::atomic<bool> grey{false};
  std::mt19937 random{std::random_device()()};
  group.SetFailures([&grey, &random](std::size_t index, const std::string&) {
    return grey && index == kGreyInstance &&
           std::uniform_real_distribution<>(0, 1)(random) < kFailedShare;
  });
  group.SetObserver([&state, &record, &group](const run_report& report) {
    if (report.request == "-") {
      state.issued_failures += report.succeeded ? 0 : 1;
      if (!report.succeeded) {
        record.Write("instance " + group.Id(report.instance) + ": " +
                     report.text + " -> ERROR " + report.code);
      }
      return;
    }
    if (!report.succeeded) {
      return;
    }
    const std::lock_guard<std::mutex> lock(state.mutex);
    const auto expected = state.expected.find(report.request);
    const auto held = report.values.find("owner");
    const std::string value =
        held == report.values.end() ? "(none)" : held->second;
    if (expected != state.expected.end() && expected->second != value) {
      ++state.wrong_values;
      record.Write("PINNED: instance " + group.Id(report.instance) + " runs " +
                   report.request + " " + report.text + " where owner is " +
                   value + ", acknowledged was " + expected->second);
    }
  });
  std::vector<std::thread> sessions;
  sessions.reserve(kSessions);
  for (int i = 0; i < kSessions; ++i) {
    sessions.emplace_back([&state, &gateways, i] {
      RunSessions(state, gateways[i % gateways.size()]->Port(), i);
    });
  }
  Pause(kCalm);
  const int calm_breaks = state.wrong_values + state.unknown_names;
  if (trouble) {
    record.Write("platform: " + group.Id(kGreyInstance) +
                 " fails a part of its requests");
    grey = true;
  }
  Pause(kGreyTime);
  grey = false;
  record.Write("platform: no instance fails any more");
  Pause(milliseconds(3000));
  state.stopped = true;
  for (std::thread& each : sessions) {
    each.join();
  }
  record.Write("case: " + std::to_string(state.statements) + " reads, " +
               std::to_string(state.issued_failures) +
               " statements of the system failed, " +
               std::to_string(state.wrong_values) + " ran with other values, " +
               std::to_string(state.unknown_names) +
               " unknown names; before the disruption " +
               std::to_string(calm_breaks));
  if (state.statements < 200) {
    return 2;
  }
  return state.wrong_values + state.unknown_names > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  const char* const trouble = std::getenv("TROUBLE");
  return review::Run(argv[1], argv[2],
                     trouble == nullptr || std::string(trouble) != "0");
}
