#ifndef TEST_PLATFORM_STANDIN_GROUP_H_
#define TEST_PLATFORM_STANDIN_GROUP_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sassafraswick/core/time.h"

/// @file
/// Stand-in for a database group: instances with terms and replicated logs that
/// speak the line protocol. A write needs one replica that receives it.

namespace test_platform {

/// One committed write.
struct log_entry {
  std::uint64_t term = 0;
  std::string item;
  std::string data;
  /// Time of the commit; reads on replicas see the entry `replica_lag` later.
  sassafraswick::time_point at;
};

struct group_instance {
  std::string id;
  bool primary = false;
  bool running = true;
  /// Runs, but receives no log entries.
  bool not_receiving = false;
  /// Accepts connections, but sends no response.
  bool unresponsive = false;
  /// Time that each read takes.
  std::chrono::milliseconds read_time{0};
  std::uint64_t term = 1;
  /// Term of the last PAUSE; zero while replication is not paused.
  std::uint64_t paused_term = 0;
  /// Time at which a replaced primary learns of its successor.
  std::optional<sassafraswick::time_point> steps_down_at;
  std::vector<log_entry> log;
  /// Entries that were visible when it stepped down as primary; they stay
  /// visible.
  std::size_t visible_as_primary = 0;
  std::uint64_t statements = 0;
  std::uint64_t reads = 0;
  /// Items that statements have read or written here.
  std::set<std::string> accessed;
};

/// State of one caller's connection to an instance.
struct line_connection {
  std::string organisation;
  bool started = false;
  bool in_transaction = false;
  bool read_only = false;
  bool failed = false;
  std::map<std::string, std::string> variables;
  /// Definitions of prepared statements by name, such as `WRITE q2c`.
  std::map<std::string, std::string> prepared;
  /// Writes of the open transaction.
  std::vector<log_entry> pending;
};

/// Thread-safe.
class standin_group {
 public:
  /// @param replica_lag Time until a received entry is visible on replicas.
  standin_group(std::string name, std::size_t instances,
                std::chrono::milliseconds replica_lag);

  /// Handles one line of a caller.
  /// @return Lines to send; empty leaves the caller without a response.
  [[nodiscard]] std::string HandleLine(std::size_t index,
                                       line_connection& connection,
                                       const std::string& line);

  /// Makes an instance the primary of the next term with the log that it has
  /// received. The old primary goes on for a second unless it receives
  /// STEPDOWN.
  /// @return False if the instance is unknown or not running.
  bool Promote(const std::string& id);

  /// @return Whether an instance exists and is running.
  [[nodiscard]] bool IsRunning(const std::string& id);

  /// Starts a stopped instance, which keeps its log unless there is a newer
  /// primary.
  void Restart(std::size_t index);

  /// Modifies an instance while holding the lock, then wakes waiting commits.
  template <typename Change>
  void Modify(std::size_t index, Change change) {
    const std::lock_guard<std::mutex> lock(mutex_);
    change(instances_.at(index));
    changed_.notify_all();
  }

  [[nodiscard]] std::size_t PrimaryIndex();
  [[nodiscard]] std::size_t Size() const { return instances_.size(); }
  [[nodiscard]] const std::string& Name() const { return name_; }
  /// Last value of an item in an instance's log; empty if there is none.
  [[nodiscard]] std::string LastValue(std::size_t index,
                                      const std::string& item);
  [[nodiscard]] std::vector<log_entry> Log(std::size_t index);
  /// Returns whether any instance has run a read or write of an item.
  [[nodiscard]] bool WasAccessed(const std::string& item);
  /// Organisation of each session that was started, in order.
  [[nodiscard]] std::vector<std::string> Organisations();
  void Stop();

 private:
  std::string Start(std::size_t index, line_connection& connection,
                    const std::string& rest);
  std::string Run(std::unique_lock<std::mutex>& lock, std::size_t index,
                  line_connection& connection, const std::string& text);
  std::string MakeReady(const group_instance& instance,
                        const line_connection& connection) const;
  /// Number of log entries that reads on an instance see.
  [[nodiscard]] std::size_t VisibleEntries(
      const group_instance& instance) const;
  /// Makes an instance a replica of the primary of a newer term, if there is
  /// one.
  void JoinNewPrimary(group_instance& instance);
  void StepDownIfDue(group_instance& instance);
  std::string MakeFailure(const group_instance& instance,
                          line_connection& connection, const std::string& code);
  std::string MakeSuccess(group_instance& instance,
                          const line_connection& connection,
                          const std::string& rows);
  std::string MakeStatus(const group_instance& instance,
                         const line_connection& connection) const;
  std::string Read(std::unique_lock<std::mutex>& lock, group_instance& instance,
                   line_connection& connection, const std::string& item);
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
