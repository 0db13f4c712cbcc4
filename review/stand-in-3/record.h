#ifndef REVIEW_STAND_IN_3_RECORD_H_
#define REVIEW_STAND_IN_3_RECORD_H_

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <initializer_list>
#include <iomanip>
#include <mutex>
#include <string>
#include <string_view>

/// @file
/// The record of a case, and its exit codes.

namespace review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

inline std::string Join(std::initializer_list<std::string_view> parts) {
  std::string joined;
  for (const std::string_view part : parts) {
    joined += part;
  }
  return joined;
}

/// Writes lines with the time since the start of the case. Thread-safe.
class record {
 public:
  explicit record(const std::string& path) : file_(path) {}

  void Write(const std::string& line) {
    const std::chrono::duration<double> elapsed =
        std::chrono::steady_clock::now() - started_at_;
    const std::lock_guard<std::mutex> lock(mutex_);
    file_ << std::fixed << std::setprecision(3) << elapsed.count() << " s  "
          << line << "\n";
    file_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  std::chrono::steady_clock::time_point started_at_ =
      std::chrono::steady_clock::now();
};

/// Returns whether the case runs with its disruption.
inline bool HasTrouble() {
  // The case has no other threads when it reads its environment.
  const char* const value = std::getenv("TROUBLE");  // NOLINT
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review

#endif  // REVIEW_STAND_IN_3_RECORD_H_
