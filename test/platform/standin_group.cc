#include "test/platform/standin_group.h"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <utility>

#include "test/platform/standin_group_processes.h"

namespace test_platform {
namespace {

using sassafraswick::monotonic_clock;

std::string ConsumeWord(std::string& text) {
  const std::size_t end = std::min(text.find(' '), text.size());
  std::string word = text.substr(0, end);
  text.erase(0, std::min(end + 1, text.size()));
  return word;
}

std::string Line(const std::string& text) { return text + "\r\n"; }

}  // namespace

standin_group::standin_group(std::string name, std::size_t instances,
                             std::chrono::milliseconds replica_lag)
    : name_(std::move(name)), replica_lag_(replica_lag), instances_(instances) {
  for (std::size_t i = 0; i < instances; ++i) {
    instances_[i].id = name_ + "-" + std::to_string(i);
    instances_[i].born = NextBorn();
  }
  instances_.at(0).primary = true;
}

std::string standin_group::HandleLine(std::size_t index,
                                      line_connection& connection,
                                      const std::string& line) {
  std::unique_lock<std::mutex> lock(mutex_);
  group_instance& instance = instances_.at(index);
  StepDownIfDue(instance);
  connection.born = connection.born == 0 ? instance.born : connection.born;
  connection.ended = !instance.running || connection.born != instance.born;
  if (instance.unresponsive || connection.ended) {
    return {};
  }
  std::string rest = line;
  const std::string word = ConsumeWord(rest);
  if (word == "START") {
    return Start(index, connection, rest);
  }
  if (word != "QUERY" || !connection.started) {
    return Line("ERROR MALFORMED");
  }
  ConsumeWord(rest);
  ++instance.statements;
  return Run(lock, index, connection, rest);
}

std::string standin_group::Start(std::size_t index, line_connection& connection,
                                 const std::string& rest) {
  std::string fields = rest;
  const std::string name = ConsumeWord(fields);
  connection.organisation = ConsumeWord(fields);
  const group_instance& instance = instances_.at(index);
  if (name != name_ || fields != instance.id) {
    return Line("ERROR MISROUTED " + instance.id);
  }
  connection.started = true;
  organisations_.push_back(connection.organisation);
  return MakeReady(instance, connection);
}

std::string standin_group::MakeReady(const group_instance& instance,
                                     const line_connection& connection) const {
  const std::string state = connection.failed           ? "E"
                            : connection.in_transaction ? "T"
                                                        : "I";
  return Line("READY " + state + " " + std::to_string(instance.term) + "." +
              std::to_string(VisibleEntries(instance)));
}

std::size_t standin_group::VisibleEntries(
    const group_instance& instance) const {
  const sassafraswick::time_point now = monotonic_clock::now();
  std::size_t visible = instance.log.size();
  while (!instance.primary && visible > instance.visible_as_primary &&
         now < instance.log[visible - 1].at + replica_lag_) {
    --visible;
  }
  return visible;
}

std::string standin_group::MakeFailure(const group_instance& instance,
                                       line_connection& connection,
                                       const std::string& code) {
  connection.failed = connection.in_transaction;
  return Line("ERROR " + code + " " + instance.id) +
         MakeReady(instance, connection);
}

std::string standin_group::MakeSuccess(group_instance& instance,
                                       const line_connection& connection,
                                       const std::string& rows) {
  return rows + Line("COMPLETE " + instance.id + ".signed") +
         MakeReady(instance, connection);
}

std::string standin_group::MakeStatus(const group_instance& instance,
                                      const line_connection& connection) const {
  std::ostringstream row;
  row << "ROW " << (instance.primary ? "primary" : "replica") << ' '
      << instance.term << ' ' << instance.term << '.' << instance.log.size()
      << ' ' << instance.paused_term << " 0 0 1";
  return Line(row.str()) + Line("COMPLETE -") + MakeReady(instance, connection);
}

std::string standin_group::Read(std::unique_lock<std::mutex>& lock,
                                group_instance& instance,
                                line_connection& connection,
                                const std::string& item) {
  ++instance.reads;
  instance.accessed.insert(item);
  const sassafraswick::time_point ends_at =
      monotonic_clock::now() + instance.read_time;
  while (!stopped_ && monotonic_clock::now() < ends_at) {
    constexpr std::chrono::milliseconds kPollInterval(10);
    changed_.wait_for(lock, kPollInterval);
  }
  std::string value = "none";
  const std::size_t visible = VisibleEntries(instance);
  for (std::size_t i = 0; i < visible; ++i) {
    value = instance.log[i].item == item ? instance.log[i].data : value;
  }
  for (const log_entry& entry : connection.pending) {
    value = entry.item == item ? entry.data : value;
  }
  // The response includes the variables set on this connection, so that tests
  // detect those of another session.
  std::string variables;
  for (const std::pair<const std::string, std::string>& each :
       connection.variables) {
    variables += " " + each.first + "=" + each.second;
  }
  return MakeSuccess(instance, connection, Line("ROW " + value + variables));
}

bool standin_group::Commit(std::unique_lock<std::mutex>& lock,
                           std::size_t index,
                           const std::vector<log_entry>& entries) {
  const std::uint64_t term = instances_.at(index).term;
  const std::int64_t born = instances_.at(index).born;
  const auto receives = [this, index, term](const group_instance& other) {
    return &other != &instances_.at(index) && other.running &&
           !other.not_receiving && other.paused_term == 0 && other.term == term;
  };
  group_instance& primary = instances_.at(index);
  const auto leads = [this, &primary, born, term] {
    return !stopped_ && primary.primary && primary.born == born &&
           primary.term == term;
  };
  // A real instance numbers a commit when it arrives, so that one that waits
  // for a replica keeps its place in the log.
  const std::uint64_t number = ++commits_;
  primary.waiting_commits.push_back(number);
  while (leads() &&
         (primary.waiting_commits.front() != number ||
          std::none_of(instances_.begin(), instances_.end(), receives))) {
    changed_.wait_for(lock, std::chrono::milliseconds(20));
    StepDownIfDue(primary);
  }
  std::erase(primary.waiting_commits, number);
  changed_.notify_all();
  if (!leads() || !primary.running) {
    return false;
  }
  for (const log_entry& entry : entries) {
    primary.log.push_back(
        {primary.term, entry.item, entry.data, monotonic_clock::now()});
  }
  for (group_instance& other : instances_) {
    if (receives(other)) {
      other.log = primary.log;
    }
  }
  return true;
}

std::string standin_group::Write(std::unique_lock<std::mutex>& lock,
                                 std::size_t index, line_connection& connection,
                                 const log_entry& entry) {
  group_instance& instance = instances_.at(index);
  if (!instance.primary || connection.read_only) {
    return MakeFailure(instance, connection, "READONLY");
  }
  instance.accessed.insert(entry.item);
  if (connection.in_transaction) {
    connection.pending.push_back(entry);
    return MakeSuccess(instance, connection, "");
  }
  if (!Commit(lock, index, {entry})) {
    return MakeFailure(instance, connection, "ABORTED");
  }
  return MakeSuccess(instances_.at(index), connection, "");
}

std::string standin_group::Run(std::unique_lock<std::mutex>& lock,
                               std::size_t index, line_connection& connection,
                               const std::string& text) {
  group_instance& instance = instances_.at(index);
  std::string rest = text;
  std::string word = ConsumeWord(rest);
  if (word == "AFTER") {
    const std::string position = ConsumeWord(rest);
    const std::uint64_t term = std::stoull(position);
    const std::uint64_t number =
        std::stoull(position.substr(position.find('.') + 1));
    if (term > instance.term || number > VisibleEntries(instance)) {
      return MakeFailure(instance, connection, "LAGGING");
    }
    word = ConsumeWord(rest);
  }
  if (word == "STATUS") {
    return MakeStatus(instance, connection);
  }
  if (word == "PAUSE") {
    instance.paused_term = std::stoull(rest);
    return MakeStatus(instance, connection);
  }
  if (word == "RESUME") {
    instance.paused_term = 0;
    if (!instance.primary) {
      JoinNewPrimary(instance);
    }
    return MakeStatus(instance, connection);
  }
  if (word == "STEPDOWN") {
    const bool steps_down =
        instance.primary && instance.term < std::stoull(rest);
    if (steps_down) {
      instance.primary = false;
      instance.visible_as_primary = instance.log.size();
      JoinNewPrimary(instance);
    }
    changed_.notify_all();
    return MakeStatus(instance, connection);
  }
  if (word == "RESET") {
    connection.variables.clear();
    connection.prepared.clear();
    return MakeSuccess(instance, connection, "");
  }
  if (word == "ROLLBACK" || (connection.failed && word == "COMMIT")) {
    const bool failed = connection.failed && word == "COMMIT";
    connection.in_transaction = false;
    connection.failed = false;
    connection.pending.clear();
    return failed ? MakeFailure(instance, connection, "ABORTED")
                  : MakeSuccess(instance, connection, "");
  }
  if (connection.failed) {
    return MakeFailure(instance, connection, "MALFORMED");
  }
  if (word == "SET") {
    const std::string name = ConsumeWord(rest);
    connection.variables[name] = rest;
    return MakeSuccess(instance, connection, "");
  }
  if (word == "PREPARE") {
    const std::string name = ConsumeWord(rest);
    connection.prepared[name] = rest;
    return MakeSuccess(instance, connection, "");
  }
  if (word == "DEALLOCATE") {
    connection.prepared.erase(rest);
    return MakeSuccess(instance, connection, "");
  }
  if (word == "BEGIN") {
    connection.read_only = rest == "READ";
    if (!connection.read_only && !instance.primary) {
      return MakeFailure(instance, connection, "READONLY");
    }
    connection.in_transaction = true;
    return MakeSuccess(instance, connection, "");
  }
  if (word == "COMMIT") {
    connection.in_transaction = false;
    const std::vector<log_entry> entries =
        std::exchange(connection.pending, {});
    connection.read_only = false;
    const bool committed = entries.empty() || Commit(lock, index, entries);
    return committed ? MakeSuccess(instances_.at(index), connection, "")
                     : MakeFailure(instance, connection, "ABORTED");
  }
  if (word == "READ") {
    return Read(lock, instance, connection, rest);
  }
  if (word == "WRITE") {
    const std::string item = ConsumeWord(rest);
    return Write(lock, index, connection, {0, item, rest});
  }
  if (word == "EXECUTE") {
    const std::string name = ConsumeWord(rest);
    const auto prepared = connection.prepared.find(name);
    if (prepared == connection.prepared.end()) {
      return MakeFailure(instance, connection, "NOSTMT");
    }
    const std::string item = ConsumeWord(rest);
    return prepared->second.starts_with("WRITE")
               ? Write(lock, index, connection, {0, item, rest})
               : Read(lock, instance, connection, item);
  }
  return MakeFailure(instance, connection, "MALFORMED");
}

std::string standin_group::LastValue(std::size_t index,
                                     const std::string& item) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string value;
  for (const log_entry& entry : instances_.at(index).log) {
    value = entry.item == item ? entry.data : value;
  }
  return value;
}

std::vector<log_entry> standin_group::Log(std::size_t index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return instances_.at(index).log;
}

bool standin_group::WasAccessed(const std::string& item) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::any_of(instances_.begin(), instances_.end(),
                     [&item](const group_instance& each) {
                       return each.accessed.contains(item);
                     });
}

std::vector<std::string> standin_group::Organisations() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return organisations_;
}

void standin_group::Stop() {
  const std::lock_guard<std::mutex> lock(mutex_);
  stopped_ = true;
  changed_.notify_all();
}

}  // namespace test_platform
