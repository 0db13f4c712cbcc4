#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "review/stand-in-3/record.h"
#include "review/stand-in-3/sockets.h"
#include "test/platform/standin_platform.h"
#include "test/support/process.h"

/// @file
/// An instance that fails part of its requests while its health is good. A
/// caller changes session values and prepares statements; the rows that it
/// reads contain the values that the instance's connection has.

namespace {

using test_platform::line_client;
using test_platform::standin_options;
using test_platform::standin_platform;

/// Part of the requests that the instance fails.
constexpr double kFailingPart = 0.4;
constexpr std::size_t kRounds = 60;
constexpr std::size_t kSessions = 3;

/// Stands before an instance and fails requests for it.
class grey_instance {
 public:
  grey_instance(std::uint16_t target, bool fails, review::record& record)
      : fails_(fails),
        record_(record),
        listener_(target, [this](int caller, int instance) {
          Serve(caller, instance);
        }) {}

  [[nodiscard]] std::uint16_t Port() const { return listener_.Port(); }
  [[nodiscard]] bool IsBound() const { return listener_.IsBound(); }
  [[nodiscard]] std::size_t Failed() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return failed_;
  }

 private:
  /// Returns whether to fail a request. Status requests are answered, so that
  /// the instance looks healthy.
  bool Fails(const std::string& line) {
    const bool is_status = line.ends_with(" STATUS");
    if (!fails_ || is_status || !line.starts_with("QUERY ")) {
      return false;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool fails = std::bernoulli_distribution(kFailingPart)(random_);
    failed_ += fails ? 1 : 0;
    return fails;
  }

  /// Forwards one line after the other, each with its whole response.
  void Serve(int caller, int instance) {
    std::string from_caller;
    std::string from_instance;
    std::string line;
    std::string position = "-";
    while (review::ReadLine(caller, from_caller, line)) {
      std::string response;
      if (Fails(line)) {
        response = "ERROR FAILED grey\r\nREADY I " + position + "\r\n";
        record_.Write("instance fails '" + line + "'");
      } else {
        review::SendAll(instance, line + "\r\n");
        std::string answer;
        do {
          if (!review::ReadLine(instance, from_instance, answer)) {
            return;
          }
          response += answer + "\r\n";
        } while (!answer.starts_with("READY ") &&
                 !answer.starts_with("ERROR MISROUTED"));
        position = answer.substr(answer.rfind(' ') + 1);
        if (line.starts_with("QUERY ") && !line.ends_with(" STATUS")) {
          record_.Write("instance runs '" + line + "'");
        }
      }
      if (!review::SendAll(caller, response)) {
        return;
      }
    }
  }

  bool fails_;
  review::record& record_;
  std::mutex mutex_;
  std::mt19937_64 random_{1};
  std::size_t failed_ = 0;
  review::listener listener_;
};

std::string Entry(const std::string& service, std::size_t index,
                  std::uint16_t port) {
  return R"({"service":")" + service + R"(","address":"127.0.0.1:)" +
         std::to_string(port) + R"(","zone":"zone-)" + std::to_string(index) +
         R"(","slots":3,"state":"ready","db_role":")" +
         (index == 0 ? "primary" : "replica") + R"("})";
}

/// Reads for a caller that has set no value.
/// @return 1 if the read ran with a value of another session.
std::size_t ReadPlain(line_client& plain, review::record& record) {
  const std::string read = plain.Run("READ a");
  record.Write("plain caller: READ '" + read + "'");
  if (read.find(" mode=") == std::string::npos) {
    return 0;
  }
  record.Write("BROKEN: ran with a value of another session");
  return 1;
}

/// Runs one caller, and in between a plain one. Each round sets a value,
/// prepares a statement under a new name, reads and executes.
/// @return Number of statements that ran with other session values than those
/// acknowledged, or whose acknowledged name was unknown.
std::size_t RunCaller(line_client& caller, line_client& plain,
                      std::size_t session, review::record& record) {
  std::size_t broken = 0;
  for (std::size_t round = 0; round < kRounds; ++round) {
    broken += ReadPlain(plain, record);
    const std::string value =
        "v" + std::to_string(session) + "." + std::to_string(round);
    const std::string name = "p" + std::to_string(round);
    const std::string set = caller.Run("SET mode " + value);
    const std::string prepared = caller.Run("PREPARE " + name + " READ q2c");
    const std::string read = caller.Run("READ a");
    const std::string executed = caller.Run("EXECUTE " + name + " a");
    record.Write(review::Join({"caller: SET mode ", value, " '", set,
                               "', PREPARE '", prepared, "', READ '", read,
                               "', EXECUTE '", executed, "'"}));
    const bool acknowledged =
        set.starts_with("COMPLETE") && prepared.starts_with("COMPLETE");
    if (!acknowledged) {
      continue;
    }
    for (const std::string& answer : {read, executed}) {
      const bool served = answer.starts_with("ROW ");
      if (served && answer.find(" mode=" + value + "|") == std::string::npos) {
        ++broken;
        record.Write("BROKEN: ran without the acknowledged value " + value);
      }
    }
    if (executed.starts_with("ERROR NOSTMT")) {
      ++broken;
      record.Write("BROKEN: the acknowledged name " + name + " is unknown");
    }
  }
  return broken;
}

int Run(const std::string& program, review::record& record) {
  standin_options options;
  options.programs = {program};
  options.settings_lines = "[limits]\nmemory = 260\ndescriptors = 4300\n";
  standin_platform platform(options);
  if (!platform.WaitReady()) {
    record.Write("the gateway did not become ready");
    return review::kCouldNotRun;
  }
  const std::string service = platform.Group().Name();
  const std::string key = "servers/" + service + "-0";
  const std::string entry = platform.Store().Value(key);
  const std::size_t at = entry.find("127.0.0.1:");
  const std::uint16_t port = static_cast<std::uint16_t>(
      std::stoul(entry.substr(at + std::string("127.0.0.1:").size())));
  grey_instance grey(port, review::HasTrouble(), record);
  if (!grey.IsBound()) {
    return review::kCouldNotRun;
  }
  platform.Store().Put(key, Entry(service, 0, grey.Port()));
  test_support::Pause(std::chrono::milliseconds(500));
  // Connections that were opened to the old address.
  for (std::size_t i = 0; i < kSessions; ++i) {
    line_client warm(platform.CallerPort(0));
    static_cast<void>(warm.Start("counter", "key-one"));
  }
  std::size_t broken = 0;
  std::vector<std::unique_ptr<line_client>> callers;
  for (std::size_t i = 0; i < kSessions; ++i) {
    callers.push_back(std::make_unique<line_client>(platform.CallerPort(0)));
    record.Write("START answered '" +
                 callers.back()->Start("counter", "key-one") + "'");
    line_client plain(platform.CallerPort(0));
    static_cast<void>(plain.Start("counter", "key-one"));
    broken += RunCaller(*callers.back(), plain, i, record);
  }
  record.Write(std::to_string(grey.Failed()) +
               " requests failed by the instance, " + std::to_string(broken) +
               " statements broke the rule");
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
