#include "test/support/workload.h"

#include <algorithm>

namespace test_support {
namespace {

using sassafraswick::monotonic_clock;

constexpr std::uint64_t kRowsPerClient = 1'000'000;
constexpr std::uint64_t kRowsPerWrite = 2;
constexpr std::chrono::seconds kFinalReadTimeout(20);

outcome ClassifyResponse(const pg_response& response) {
  if (response.ok) {
    return outcome::kAcknowledged;
  }
  const bool not_run = response.message.starts_with("not run");
  return not_run ? outcome::kNotRun : outcome::kUnknown;
}

}  // namespace

std::uint64_t ParseTokenTerm(const std::string& token) {
  const std::size_t begin = token.find('.');
  return begin == std::string::npos
             ? 0
             : std::strtoull(token.c_str() + begin + 1, nullptr, 10);
}

struct workload::client_state {
  std::size_t index = 0;
  std::mt19937_64 random;
  std::unique_ptr<pg_client> client;
  std::uint64_t next_value = 1;
  /// Value and token of this client's last acknowledged write.
  std::uint64_t token_value = 0;
  std::string token;
};

bool PrepareTables(fleet& target, const std::string& organisation,
                   std::size_t keys) {
  pg_client client(target.Url(0, organisation));
  bool done =
      client.Query("CREATE TABLE counters (id bigint primary key, v bigint)")
          .ok &&
      client.Query("CREATE TABLE entries (n bigint)").ok;
  for (std::size_t i = 0; i < keys; ++i) {
    done = done && client
                       .Query("INSERT INTO counters VALUES (" +
                              std::to_string(i) + ", 0)")
                       .ok;
  }
  return done;
}

workload::workload(fleet& target, const workload_options& options,
                   std::uint64_t seed)
    : target_(target), options_(options), seed_(seed) {}

workload::~workload() { Stop(); }

void workload::Start() {
  for (std::size_t i = 0; i < options_.clients; ++i) {
    threads_.emplace_back([this, i] { RunClient(i); });
  }
}

void workload::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void workload::RunClient(std::size_t index) {
  client_state state;
  state.index = index;
  state.random.seed(seed_ * 1000 + index);
  while (!stopping_) {
    if (!Connect(state)) {
      Pause(std::chrono::milliseconds(20));
      continue;
    }
    if (state.random() % 2 == 0) {
      Write(state);
    } else {
      Read(state);
    }
    if (state.client != nullptr &&
        (!state.client->IsConnected() || state.random() % 10 == 0)) {
      state.client.reset();
    }
    Pause(options_.think_time);
  }
}

bool workload::Connect(client_state& state) {
  if (state.client != nullptr) {
    return true;
  }
  const std::size_t proxy = state.random() % target_.ProxyCount();
  state.client = std::make_unique<pg_client>(
      target_.Url(proxy, options_.organisation) + " connect_timeout=2");
  if (!state.client->IsConnected()) {
    state.client.reset();
    return false;
  }
  return true;
}

void workload::Write(client_state& state) {
  write_record record;
  record.key = state.index;
  record.value = state.next_value++;
  record.row_id = state.index * kRowsPerClient + record.value;
  const std::string row = std::to_string(record.row_id);
  const std::string update =
      "UPDATE counters SET v = " + std::to_string(record.value) +
      " WHERE id = " + std::to_string(record.key);
  const std::string insert = "INSERT INTO entries VALUES (" + row + ")";
  record.start = monotonic_clock::now();
  pg_response response;
  if (options_.transactions && state.random() % 2 == 0) {
    response = state.client->Query("BEGIN");
    const bool began = response.ok;
    for (const std::string& sql : {update, insert, insert}) {
      if (response.ok) {
        response = state.client->Query(sql);
      }
    }
    if (response.ok) {
      response = state.client->Query("COMMIT");
      response.ok = response.ok && response.tag == "COMMIT";
    } else if (began) {
      // COMMIT was not sent, so the transaction cannot have taken effect.
      response.message = "not run";
      state.client->Query("ROLLBACK");
    }
  } else {
    response = state.client->Query(update + ";" + insert + ";" + insert);
  }
  record.end = monotonic_clock::now();
  record.result = ClassifyResponse(response);
  const std::lock_guard<std::mutex> lock(counts_mutex_);
  if (record.result == outcome::kAcknowledged) {
    state.token = state.client->Token();
    state.token_value = record.value;
    record.term = ParseTokenTerm(state.token);
    ++counts_.writes_done;
  } else if (record.result == outcome::kNotRun) {
    ++counts_.writes_not_run;
  } else {
    ++counts_.writes_unknown;
  }
  recorder_.Add(record);
}

void workload::Read(client_state& state) {
  read_record record;
  const std::uint64_t choice =
      options_.strong_reads_only ? 0 : state.random() % 4;
  record.key = state.index;
  if (choice == 0) {
    record.kind = read_kind::kStrong;
    record.key = state.random() % options_.clients;
    state.client.reset();
  } else if (choice == 1) {
    record.kind = read_kind::kStale;
    record.key = state.random() % options_.clients;
    record.max_staleness = options_.max_staleness;
    state.client.reset();
  } else if (!state.token.empty()) {
    record.kind = read_kind::kToken;
    record.token_value = state.token_value;
    state.client.reset();
  } else {
    return;
  }
  if (!Connect(state)) {
    return;
  }
  if (record.kind == read_kind::kToken) {
    state.client->Query("SET sassafraswick.session = '" + state.token + "'");
  } else if (record.kind == read_kind::kStale) {
    state.client->Query("SET sassafraswick.max_staleness = '" +
                        std::to_string(record.max_staleness.count()) + "ms'");
  }
  record.start = monotonic_clock::now();
  const pg_response response = state.client->Query(
      "SELECT v FROM counters WHERE id = " + std::to_string(record.key));
  record.end = monotonic_clock::now();
  const bool read = response.ok && !response.rows.empty();
  if (read) {
    record.value = std::stoull(response.Value());
    recorder_.Add(record);
  }
  state.client.reset();
  const std::lock_guard<std::mutex> lock(counts_mutex_);
  ++(read ? counts_.reads_done : counts_.reads_failed);
}

workload_counts workload::Counts() {
  const std::lock_guard<std::mutex> lock(counts_mutex_);
  return counts_;
}

history workload::Finish() {
  Stop();
  history recorded = recorder_.Take();
  recorded.rows_per_write = kRowsPerWrite;
  pg_response rows;
  pg_response values;
  const bool read = WaitFor(kFinalReadTimeout, [&] {
    for (std::size_t i = 0; i < target_.ProxyCount(); ++i) {
      pg_client client(target_.Url(i, options_.organisation));
      // Writes first, so that the final state comes from a primary that can
      // still commit.
      const bool is_writable =
          client.IsConnected() &&
          client.Query("UPDATE counters SET v = 0 WHERE id = -1").ok &&
          client.Query("INSERT INTO entries VALUES (0)").ok;
      rows =
          is_writable ? client.Query("SELECT n FROM entries") : pg_response();
      values = is_writable ? client.Query("SELECT id, v FROM counters")
                           : pg_response();
      if (rows.ok && values.ok) {
        return true;
      }
    }
    return false;
  });
  if (!read) {
    throw std::runtime_error("final state could not be read");
  }
  for (const std::vector<std::optional<std::string>>& row : rows.rows) {
    ++recorded.final_rows[std::stoull(row[0].value_or("0"))];
  }
  for (const std::vector<std::optional<std::string>>& row : values.rows) {
    recorded.final_values[std::stoull(row[0].value_or("0"))] =
        std::stoull(row[1].value_or("0"));
  }
  return recorded;
}

}  // namespace test_support
