#include "test/platform/open_loop_load.h"

#include <utility>

namespace test_platform {

using sassafraswick::monotonic_clock;
using sassafraswick::time_point;

open_loop_load::open_loop_load(const standin_platform& platform,
                               std::size_t gateways,
                               std::vector<load_stream> streams)
    : platform_(platform), gateways_(gateways), streams_(std::move(streams)) {}

void open_loop_load::Start() {
  for (std::size_t i = 0; i < streams_.size(); ++i) {
    stream_threads_.emplace_back([this, i] { RunStream(i); });
  }
}

void open_loop_load::Stop() {
  stopping_ = true;
  for (std::thread& thread : stream_threads_) {
    thread.join();
  }
  stream_threads_.clear();
}

std::vector<load_record> open_loop_load::Records() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return records_;
}

void open_loop_load::RunStream(std::size_t stream) {
  std::vector<std::thread> operations;
  time_point next = monotonic_clock::now();
  for (std::size_t number = 0; !stopping_; ++number) {
    operations.emplace_back(
        [this, stream, number] { RunOperation(stream, number); });
    next += streams_[stream].interval;
    const time_point now = monotonic_clock::now();
    if (next > now) {
      std::this_thread::sleep_for(next - now);
    }
  }
  for (std::thread& operation : operations) {
    operation.join();
  }
}

void open_loop_load::RunOperation(std::size_t stream, std::size_t number) {
  const load_stream& config = streams_[stream];
  load_record record;
  record.stream = stream;
  record.start = monotonic_clock::now();
  const std::string item = "load" + std::to_string(stream);
  line_client client(platform_.CallerPort(
      config.gateway.value_or((number + stream) % gateways_)));
  if (client.Start(config.database, config.key).starts_with("READY")) {
    const std::string response =
        config.writes
            ? client.Run("WRITE " + item + " " + std::to_string(number))
            : client.Run("READ " + item);
    record.served =
        response.starts_with("COMPLETE") || response.starts_with("ROW");
  }
  record.end = monotonic_clock::now();
  const std::lock_guard<std::mutex> lock(mutex_);
  records_.push_back(record);
}

}  // namespace test_platform
