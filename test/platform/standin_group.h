#ifndef TEST_PLATFORM_STANDIN_GROUP_H_
#define TEST_PLATFORM_STANDIN_GROUP_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/core/time.h"

/// @file
/// Stand-in for a database group of the users: instances with terms and logs
/// that speak the line protocol. Writes need one replica that receives.

namespace test_platform {

/// One committed write.
struct log_entry {
  std::uint64_t term = 0;
  std::string item;
  std::string data;
  /// When it was committed; replicas show it a lag later.
  sassafraswick::time_point at;
};

struct group_instance {
  std::string id;
  bool primary = false;
  bool running = true;
  /// Receives nothing, though it runs.
  bool not_receiving = false;
  /// Takes connections and answers nothing.
  bool unresponsive = false;
  std::uint64_t term = 1;
  std::uint64_t paused_term = 0;
  /// When a primary that was replaced hears of it.
  std::optional<sassafraswick::time_point> steps_down_at;
  std::vector<log_entry> log;
  /// Entries that it showed as primary: it goes on to show them.
  std::size_t visible_as_primary = 0;
  std::uint64_t statements = 0;
  /// Reads that it served.
  std::uint64_t reads = 0;
};

/// State of one caller's connection to an instance.
struct line_connection {
  std::string organisation;
  bool started = false;
  bool in_transaction = false;
  bool read_only = false;
  bool failed = false;
  std::map<std::string, std::string> variables;
  /// By name: whether it writes, and its shape.
  std::map<std::string, std::string> prepared;
  /// Writes of the open transaction.
  std::vector<log_entry> pending;
};

/// A group; thread-safe.
class standin_group {
 public:
  /// @param replica_lag Time after which replicas show what they received.
  standin_group(std::string name, std::size_t instances,
                std::chrono::milliseconds replica_lag);

  /// Answers one line.
  /// @return Lines to send; empty sends nothing and keeps the caller waiting.
  [[nodiscard]] std::string HandleLine(std::size_t index,
                                       line_connection& connection,
                                       const std::string& line);

  /// Lets an instance lead the next term with what it received. The old primary
  /// goes on for a second unless it is told to step down.
  /// @return False if it is not running or unknown.
  bool Promote(const std::string& id);

  /// Tells whether an instance is there and running.
  [[nodiscard]] bool IsRunning(const std::string& id);

  /// Starts a stopped instance with its log.
  void Restart(std::size_t index);

  /// Changes an instance under the lock and wakes waiting commits.
  template <typename Change>
  void Modify(std::size_t index, Change change) {
    const std::lock_guard<std::mutex> lock(mutex_);
    change(instances_.at(index));
    changed_.notify_all();
  }

  [[nodiscard]] std::size_t PrimaryIndex();
  [[nodiscard]] std::size_t Size() const { return instances_.size(); }
  [[nodiscard]] const std::string& Name() const { return name_; }
  /// Last write of an item in an instance's log; empty if there is none.
  [[nodiscard]] std::string LastValue(std::size_t index,
                                      const std::string& item);
  /// An instance's whole log.
  [[nodiscard]] std::vector<log_entry> Log(std::size_t index);
  /// Organisations that connections to the group were opened for.
  [[nodiscard]] std::vector<std::string> Organisations();
  void Stop();

 private:
  std::string Start(std::size_t index, line_connection& connection,
                    const std::string& rest);
  std::string Run(std::unique_lock<std::mutex>& lock, std::size_t index,
                  line_connection& connection, const std::string& text);
  std::string MakeReady(const group_instance& instance,
                        const line_connection& connection) const;
  /// Entries that readers of an instance see.
  [[nodiscard]] std::size_t VisibleEntries(
      const group_instance& instance) const;
  /// Makes an instance follow the newest primary.
  void JoinNewPrimary(group_instance& instance);
  void StepDownIfDue(group_instance& instance);
  std::string MakeFailure(const group_instance& instance,
                          line_connection& connection, const std::string& code);
  std::string MakeSuccess(group_instance& instance,
                          const line_connection& connection,
                          const std::string& rows);
  std::string MakeStatus(const group_instance& instance,
                         const line_connection& connection) const;
  std::string Read(group_instance& instance, line_connection& connection,
                   const std::string& item);
  std::string Write(std::unique_lock<std::mutex>& lock, std::size_t index,
                    line_connection& connection, const log_entry& entry);
  bool Commit(std::unique_lock<std::mutex>& lock, std::size_t index,
              const std::vector<log_entry>& entries);

  std::string name_;
  std::chrono::milliseconds replica_lag_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<group_instance> instances_;
  std::vector<std::string> organisations_;
  bool stopped_ = false;
};

}  // namespace test_platform

#endif  // TEST_PLATFORM_STANDIN_GROUP_H_
