#ifndef TEST_PLATFORM_STANDIN_GROUP_H_
#define TEST_PLATFORM_STANDIN_GROUP_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
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

/// What the process of an instance has of the one before it.
enum class instance_start : std::uint8_t {
  /// Its identifier and its log.
  kSameId,
  /// Its log. It has an identifier of its own.
  kNewId,
  /// Its identifier.
  kEmpty,
};

/// An instance's process, as it sees itself.
struct instance_process {
  std::string id;
  std::int64_t born = 0;
  bool primary = false;
  bool running = false;
};

struct group_instance {
  std::string id;
  /// Unix milliseconds of its start, different for each start.
  std::int64_t born = 0;
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
  /// Numbers of the commits that wait for a replica, in order of arrival.
  std::deque<std::uint64_t> waiting_commits;
  std::uint64_t statements = 0;
  std::uint64_t reads = 0;
  /// Items that statements have read or written here.
  std::set<std::string> accessed;
};

/// State of one caller's connection to an instance.
struct line_connection {
  std::string organisation;
  /// Start of the process that was connected to; zero before the first line.
  std::int64_t born = 0;
  /// That process has ended.
  bool ended = false;
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
  /// @param born Start of the process that is to lead.
  /// @return False if that process is not running.
  bool Promote(const std::string& id, std::int64_t born);
  /// Makes the process that runs as an instance now the primary.
  bool Promote(const std::string& id);

  /// @return Whether an instance exists and is running.
  [[nodiscard]] bool IsRunning(const std::string& id);
  /// Returns the start of the process that runs as an instance.
  [[nodiscard]] std::optional<std::int64_t> RunningSince(const std::string& id);

  /// Starts a stopped instance, unless it runs. If another instance has been
  /// promoted since, it is a replica, and loses its log once it can reach the
  /// newer primary.
  /// @return False if it was running.
  bool Restart(std::size_t index, instance_start start);

  /// Returns what an instance's process says of itself.
  [[nodiscard]] instance_process Process(std::size_t index);

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
  /// Returns the time of a new process' start, later than all before.
  std::int64_t NextBorn();
  /// Makes an instance a replica of the primary of a newer term, if one runs.
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
  /// Appends entries to the log once a replica receives them and all earlier
  /// commits have ended.
  /// @return False, without effect, if the term or the process ended before.
  bool Commit(std::unique_lock<std::mutex>& lock, std::size_t index,
              const std::vector<log_entry>& entries);

  std::string name_;
  std::chrono::milliseconds replica_lag_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<group_instance> instances_;
  std::vector<std::string> organisations_;
  std::uint64_t commits_ = 0;
  /// Number of starts and time of the last one.
  std::uint64_t starts_ = 0;
  std::int64_t last_born_ = 0;
  bool stopped_ = false;
};

}  // namespace test_platform

#endif  // TEST_PLATFORM_STANDIN_GROUP_H_
