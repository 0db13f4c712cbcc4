#ifndef SASSAFRASWICK_NET_SPAWN_H_
#define SASSAFRASWICK_NET_SPAWN_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <string>
#include <string_view>
#include <utility>

#include "sassafraswick/core/log.h"
#include "sassafraswick/net/async_event.h"

/// @file
/// Starts coroutines whose exceptions are logged and end only the coroutine.
/// Expected errors are returned as values; an exception means an unexpected
/// one, such as exhausted memory.

namespace sassafraswick {

/// Delay before a task is restarted after an exception.
inline constexpr duration kRestartDelay = std::chrono::milliseconds(100);

/// Logs an exception that ended a task.
inline void LogTaskError(std::string_view task, std::exception_ptr failure) {
  try {
    std::rethrow_exception(std::move(failure));
  } catch (const std::exception& error) {
    Log(log_level::kError, "task_failed",
        {{"task", std::string(task)}, {"reason", error.what()}});
  } catch (...) {
    Log(log_level::kError, "task_failed",
        {{"task", std::string(task)}, {"reason", "unknown"}});
  }
}

/// Starts a task that is not restarted.
/// @param task Name of the task in the log.
/// @param work Callable that returns an `awaitable<void>`; stored until that
/// completes.
template <typename Context, typename Work>
void Spawn(Context&& context, std::string_view task, Work work) {
  boost::asio::co_spawn(std::forward<Context>(context), std::move(work),
                        [task = std::string(task)](std::exception_ptr failure) {
                          if (failure != nullptr) {
                            LogTaskError(task, std::move(failure));
                          }
                        });
}

/// Runs a task repeatedly until it completes without an exception.
template <typename Work>
boost::asio::awaitable<void> RestartAfterErrors(std::string task, Work work) {
  bool completed = false;
  while (!completed) {
    try {
      co_await work();
      completed = true;
    } catch (...) {
      LogTaskError(task, std::current_exception());
    }
    if (!completed) {
      co_await Sleep(kRestartDelay);
    }
  }
}

/// Starts a task that is essential for the host and is therefore restarted
/// after an exception.
template <typename Context, typename Work>
void SpawnWithRestart(Context&& context, std::string_view task, Work work) {
  Spawn(std::forward<Context>(context), task,
        [task = std::string(task), work = std::move(work)] {
          return RestartAfterErrors(task, work);
        });
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_NET_SPAWN_H_
