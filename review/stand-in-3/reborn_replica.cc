#include <chrono>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "review/stand-in-3/record.h"
#include "review/stand-in-3/sockets.h"
#include "test/platform/standin_platform.h"
#include "test/support/process.h"

/// @file
/// The primary crashes. A replica that has paused its replication for the
/// replacement crashes as well, and starts again under its id with an empty log
/// before the replacement chooses an instance.

namespace {

using test_platform::group_instance;
using test_platform::line_client;
using test_platform::log_entry;
using test_platform::standin_options;
using test_platform::standin_platform;

constexpr std::size_t kGateways = 3;
constexpr std::size_t kWrites = 50;
constexpr std::size_t kReplica = 1;
constexpr std::chrono::milliseconds kPromotionTime(600);
/// Time for which the replica is down.
constexpr std::chrono::milliseconds kDown(450);
constexpr std::chrono::milliseconds kPollInterval(2);
constexpr std::chrono::seconds kTimeout(15);
/// Unix milliseconds of the replica's second start.
constexpr std::int64_t kBorn = 1'780'000'000'000;

/// Promotes instances on request: 409 without any effect if the instance is not
/// running, otherwise 200 and the promotion some time later.
class promotion_server {
 public:
  promotion_server(standin_platform& platform, std::uint16_t store,
                   review::record& record)
      : platform_(platform),
        record_(record),
        listener_(store, [this](int caller, int /*store*/) { Serve(caller); }) {
  }
  promotion_server(const promotion_server&) = delete;
  promotion_server& operator=(const promotion_server&) = delete;
  ~promotion_server() {
    for (std::thread& each : promoting_) {
      each.join();
    }
  }

  [[nodiscard]] std::uint16_t Port() const { return listener_.Port(); }

 private:
  void Serve(int caller) {
    std::string input;
    std::string line;
    while (review::ReadLine(caller, input, line)) {
      std::size_t length = 0;
      while (!line.empty()) {
        constexpr std::string_view kLength = "Content-Length: ";
        if (line.starts_with(kLength)) {
          length = std::stoul(line.substr(kLength.size()));
        }
        if (!review::ReadLine(caller, input, line)) {
          return;
        }
      }
      while (input.size() < length) {
        std::string more(length - input.size(), '\0');
        const ssize_t got = recv(caller, more.data(), more.size(), 0);
        if (got <= 0) {
          return;
        }
        input.append(more, 0, static_cast<std::size_t>(got));
      }
      const std::string body = input.substr(0, length);
      input.erase(0, length);
      const std::string status = Order(body) ? "200 OK" : "409 Conflict";
      record_.Write(review::Join({"order ", body, " is answered ", status}));
      review::SendAll(caller,
                      "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}");
    }
  }

  /// @return False if the instance is not running.
  bool Order(const std::string& body) {
    const std::string mark = R"("id":")";
    const std::size_t begin = body.find(mark) + mark.size();
    const std::string id = body.substr(begin, body.find('"', begin) - begin);
    if (!platform_.Group().IsRunning(id)) {
      return false;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    promoting_.emplace_back([this, id] {
      test_support::Pause(kPromotionTime);
      static_cast<void>(platform_.Group().Promote(id));
    });
    return true;
  }

  standin_platform& platform_;
  review::record& record_;
  std::mutex mutex_;
  std::vector<std::thread> promoting_;
  review::listener listener_;
};

/// Lets a gateway order promotions from the server.
void UsePromotions(standin_platform& platform, std::size_t index,
                   std::uint16_t port) {
  const std::string path =
      platform.Directory() + "/gateway" + std::to_string(index) + ".ini";
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  std::istringstream lines(text.str());
  std::ofstream changed(path);
  std::string line;
  while (std::getline(lines, line)) {
    changed << (line.starts_with("promotions = ")
                    ? "promotions = 127.0.0.1:" + std::to_string(port)
                    : line)
            << "\n";
  }
}

/// Returns the port at which gateways reach the store.
std::uint16_t StorePort(const standin_platform& platform) {
  std::ostringstream text;
  text << std::ifstream(platform.Directory() + "/gateway0.ini").rdbuf();
  const std::string mark = "store = 127.0.0.1:";
  const std::string settings = text.str();
  return static_cast<std::uint16_t>(
      std::stoul(settings.substr(settings.find(mark) + mark.size())));
}

/// Waits for an event in the log of any gateway.
bool AwaitLog(const standin_platform& platform, const std::string& text) {
  const std::chrono::steady_clock::time_point until =
      std::chrono::steady_clock::now() + kTimeout;
  while (std::chrono::steady_clock::now() < until) {
    for (std::size_t i = 0; i < kGateways; ++i) {
      if (platform.GatewayLog(i).find(text) != std::string::npos) {
        return true;
      }
    }
    test_support::Pause(kPollInterval);
  }
  return false;
}

/// Writes items until the given number is acknowledged.
std::set<std::string> WriteItems(standin_platform& platform,
                                 review::record& record) {
  std::set<std::string> acknowledged;
  line_client caller(platform.CallerPort(0));
  static_cast<void>(caller.Start("counter", "key-one"));
  for (std::size_t i = 0; i < kWrites; ++i) {
    const std::string item = "item-" + std::to_string(i);
    const std::string answer = caller.Run("WRITE " + item + " data");
    record.Write(review::Join({"WRITE ", item, " '", answer, "'"}));
    if (answer.starts_with("COMPLETE ")) {
      acknowledged.insert(item);
    }
  }
  return acknowledged;
}

/// Stops the replica and starts it again, with nothing of before.
void StartAgainEmpty(standin_platform& platform, review::record& record) {
  platform.Crash(kReplica);
  record.Write("replica " + std::to_string(kReplica) + " crashes");
  test_support::Pause(kDown);
  platform.Group().Modify(kReplica, [](group_instance& each) {
    each.log.clear();
    each.visible_as_primary = 0;
  });
  platform.Restart(kReplica);
  const std::string key =
      "servers/" + platform.Group().Name() + "-" + std::to_string(kReplica);
  std::string entry = platform.Store().Value(key);
  entry.insert(entry.rfind('}'), ",\"born\":" + std::to_string(kBorn));
  platform.Store().Put(key, entry);
  record.Write("replica " + std::to_string(kReplica) +
               " starts again under its id, with an empty log");
}

int Run(const std::string& program, review::record& record) {
  standin_options options;
  options.gateways = kGateways;
  options.programs.assign(kGateways, program);
  options.settings_lines = "[limits]\nmemory = 260\ndescriptors = 4300\n";
  standin_platform platform(options);
  promotion_server promotions(platform, StorePort(platform), record);
  for (std::size_t i = 0; i < kGateways; ++i) {
    UsePromotions(platform, i, promotions.Port());
    platform.Gateway(i).Kill();
    platform.RestartGateway(i);
  }
  if (!platform.WaitReady() || !AwaitLog(platform, "failover_lease_taken")) {
    record.Write("no gateway took the failover lease");
    return review::kCouldNotRun;
  }
  test_support::Pause(std::chrono::milliseconds(2000));
  const std::set<std::string> acknowledged = WriteItems(platform, record);
  const std::size_t primary = platform.Group().PrimaryIndex();
  record.Write("primary " + std::to_string(primary) + " crashes");
  platform.Crash(primary);
  if (!AwaitLog(platform, R"("phase":"waiting")")) {
    record.Write("the group was not fenced");
    return review::kCouldNotRun;
  }
  record.Write("the group is fenced");
  if (review::HasTrouble()) {
    StartAgainEmpty(platform, record);
  }
  const bool promoted = test_support::WaitFor(kTimeout, [&platform, primary] {
    return platform.Group().PrimaryIndex() != primary;
  });
  if (!promoted) {
    record.Write("no instance was promoted");
    return review::kCouldNotRun;
  }
  const std::size_t successor = platform.Group().PrimaryIndex();
  std::set<std::string> kept;
  for (const log_entry& entry : platform.Group().Log(successor)) {
    kept.insert(entry.item);
  }
  std::size_t lost = 0;
  for (const std::string& item : acknowledged) {
    lost += kept.contains(item) ? 0 : 1;
  }
  record.Write("instance " + std::to_string(successor) + " is promoted; " +
               std::to_string(acknowledged.size()) + " commits acknowledged, " +
               std::to_string(lost) + " of them are not in its log");
  if (acknowledged.empty()) {
    return review::kCouldNotRun;
  }
  return lost > 0 ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return review::kCouldNotRun;
  }
  review::record record(argv[2]);
  return Run(argv[1], record);
}
