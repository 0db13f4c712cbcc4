#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <memory>

#include "sassafraswick/proxy/stream.h"
#include "sassafraswick/wire/message.h"
#include "standin/instance.h"
#include "standin/statement_runner.h"

/// @file
/// Client sessions of a simulated instance: the server side of PostgreSQL
/// protocol version 3, limited to what the proxy and its tests use.

namespace standin {
namespace {

namespace asio = boost::asio;
namespace backend = sassafraswick::backend;
namespace frontend = sassafraswick::frontend;
using sassafraswick::frame_header;
using sassafraswick::frame_view;
using sassafraswick::frame_writer;
using sassafraswick::result;
using sassafraswick::startup_request;

constexpr std::size_t kFlushThresholdBytes = 65'536;
constexpr std::size_t kMaxFrameBytes = 16'777'216;
constexpr std::uint32_t kBigintTypeId = 20;
constexpr std::uint32_t kTextTypeId = 25;
constexpr std::uint16_t kBigintSizeBytes = 8;
constexpr std::uint16_t kVariableSize = 0xFFFF;
/// -1 on the wire: the length of NULL, or no type modifier.
constexpr std::uint32_t kMinusOne = 0xFFFFFFFF;

struct portal {
  statement parsed;
  std::vector<cell> parameters;
};

void AppendRowDescription(std::string& out,
                          const std::vector<column>& columns) {
  frame_writer writer(out, backend::kRowDescription);
  writer.Int16(static_cast<std::uint16_t>(columns.size()));
  for (const column& each : columns) {
    const bool is_bigint = each.type == column_type::kBigint;
    writer.String(each.name).Int32(0).Int16(0);
    writer.Int32(is_bigint ? kBigintTypeId : kTextTypeId);
    writer.Int16(is_bigint ? kBigintSizeBytes : kVariableSize);
    writer.Int32(kMinusOne).Int16(0);
  }
}

void AppendRow(std::string& out, const row& values) {
  frame_writer writer(out, backend::kDataRow);
  writer.Int16(static_cast<std::uint16_t>(values.size()));
  for (const cell& value : values) {
    if (value.has_value()) {
      writer.Int32(static_cast<std::uint32_t>(value->size())).Bytes(*value);
    } else {
      writer.Int32(kMinusOne);
    }
  }
}

class instance_session : public std::enable_shared_from_this<instance_session> {
 public:
  instance_session(instance& database, std::shared_ptr<instance_load> load,
                   asio::ip::tcp::socket socket)
      : instance_(database),
        load_(std::move(load)),
        runner_(database, load_),
        socket_(std::move(socket)) {}

  ~instance_session() {
    if (counts_as_session_) {
      --load_->sessions;
    }
  }

  instance_session(const instance_session&) = delete;
  instance_session& operator=(const instance_session&) = delete;

  asio::awaitable<void> Run() {
    const std::shared_ptr<instance_session> self = shared_from_this();
    if (!co_await Start()) {
      co_return;
    }
    while (true) {
      const result<frame_header> header =
          co_await sassafraswick::ReadFrame(socket_, input_, kMaxFrameBytes);
      if (!header || header.value().type == frontend::kTerminate) {
        co_return;
      }
      const frame_view frame = *input_.Frame(header.value());
      co_await HandleFrame(frame);
      input_.Consume(header.value().size);
      const char type = header.value().type;
      const bool flush_now = type == frontend::kQuery ||
                             type == frontend::kSync ||
                             type == frontend::kFlush;
      if ((flush_now || out_.size() > kFlushThresholdBytes) &&
          !co_await Flush()) {
        co_return;
      }
    }
  }

 private:
  asio::awaitable<bool> Start() {
    co_await sassafraswick::Sleep(instance_.Settings().connect_time);
    std::map<std::string, std::string, std::less<>> parameters;
    while (true) {
      while (input_.Data().size() < sassafraswick::kStartupLengthBytes) {
        if (!co_await sassafraswick::ReadMore(socket_, input_)) {
          co_return false;
        }
      }
      const result<std::size_t> size =
          sassafraswick::ParseStartupSize(input_.Data().substr(0, 4));
      while (size && input_.Data().size() < size.value()) {
        if (!co_await sassafraswick::ReadMore(socket_, input_)) {
          co_return false;
        }
      }
      if (!size) {
        co_return false;
      }
      const result<startup_request> request = sassafraswick::ParseStartup(
          input_.Data().substr(4, size.value() - 4));
      input_.Consume(size.value());
      if (!request ||
          request.value().kind == startup_request::request_kind::kCancel) {
        co_return false;
      }
      if (request.value().kind == startup_request::request_kind::kStartup) {
        parameters = request.value().parameters;
        break;
      }
      out_ = "N";
      if (!co_await Flush()) {
        co_return false;
      }
    }
    co_return co_await Authenticate(parameters);
  }

  asio::awaitable<bool> Authenticate(
      const std::map<std::string, std::string, std::less<>>& parameters) {
    sassafraswick::AppendCleartextPasswordRequest(out_);
    if (!co_await Flush()) {
      co_return false;
    }
    const result<frame_header> header =
        co_await sassafraswick::ReadFrame(socket_, input_, kMaxFrameBytes);
    if (!header) {
      co_return false;
    }
    sassafraswick::body_reader reader(input_.Frame(header.value())->body);
    const std::string password(reader.String());
    input_.Consume(header.value().size);
    const auto user = parameters.find("user");
    if (user == parameters.end() || user->second != instance_.Settings().user ||
        password != instance_.Settings().password) {
      co_await RejectLogin("28P01", "password authentication failed");
      co_return false;
    }
    if (load_->sessions >= instance_.Settings().connections) {
      co_await RejectLogin("53300", "sorry, too many clients already");
      co_return false;
    }
    ++load_->sessions;
    counts_as_session_ = true;
    sassafraswick::AppendAuthenticationOk(out_);
    sassafraswick::AppendParameterStatus(out_, "server_version", "15.0");
    sassafraswick::AppendParameterStatus(out_, "client_encoding", "UTF8");
    sassafraswick::AppendParameterStatus(out_, "standard_conforming_strings",
                                         "on");
    AppendReady();
    co_return co_await Flush();
  }

  asio::awaitable<void> RejectLogin(std::string code, std::string message) {
    sassafraswick::AppendError(out_, {sassafraswick::error_severity::kFatal,
                                      std::move(code), std::move(message), ""});
    co_await Flush();
  }

  asio::awaitable<bool> Flush() {
    const result<void> written =
        co_await sassafraswick::WriteAll(socket_, out_);
    out_.clear();
    co_return written.has_value();
  }

  void AppendReady() {
    const std::string applied = instance_.AppliedText();
    if (applied != reported_position_) {
      reported_position_ = applied;
      sassafraswick::AppendParameterStatus(out_, "group_position", applied);
    }
    sassafraswick::AppendReadyForQuery(out_, runner_.Status());
  }

  void Fail(const sql_error& failure) {
    runner_.MarkFailed();
    sassafraswick::AppendError(out_, {sassafraswick::error_severity::kError,
                                      failure.code, failure.message, ""});
  }

  /// Ends the implicit transaction of a query or Sync. If it cannot commit, its
  /// error replaces the responses buffered so far.
  void EndImplicitTransaction() {
    if (!runner_.EndImplicitTransaction()) {
      out_.clear();
      Fail({"25006", "instance is no longer primary"});
      static_cast<void>(runner_.EndImplicitTransaction());
    }
  }

  asio::awaitable<void> HandleFrame(const frame_view& frame) {
    if (frame.type == frontend::kQuery) {
      co_await HandleQuery(frame);
    } else if (frame.type == frontend::kSync) {
      skip_to_sync_ = false;
      EndImplicitTransaction();
      AppendReady();
    } else if (!skip_to_sync_) {
      co_await HandleExtended(frame);
    }
  }

  asio::awaitable<void> HandleQuery(const frame_view& frame) {
    sassafraswick::body_reader reader(frame.body);
    const std::string sql(reader.String());
    const result<std::vector<statement>> parsed = ParseSql(sql);
    if (!parsed) {
      Fail({"42601", parsed.error().message});
    } else if (parsed.value().empty()) {
      sassafraswick::AppendEmptyFrame(out_, 'I');
    } else {
      for (const statement& each : parsed.value()) {
        if (!co_await RunStatement(each, {}, true)) {
          break;
        }
      }
    }
    EndImplicitTransaction();
    AppendReady();
  }

  asio::awaitable<void> HandleExtended(const frame_view& frame) {
    sassafraswick::body_reader reader(frame.body);
    switch (frame.type) {
      case frontend::kParse:
        HandleParse(reader);
        break;
      case frontend::kBind:
        HandleBind(reader);
        break;
      case frontend::kDescribe:
        HandleDescribe(reader);
        break;
      case frontend::kExecute: {
        const std::string name(reader.String());
        const auto found = portals_.find(name);
        if (found == portals_.end()) {
          FailUntilSync({"34000", "portal does not exist"});
        } else if (!co_await RunStatement(found->second.parsed,
                                          found->second.parameters, false)) {
          skip_to_sync_ = true;
        }
        break;
      }
      case frontend::kClose: {
        const std::string_view kind = reader.Bytes(1);
        const std::string name(reader.String());
        if (kind == "S") {
          prepared_.erase(name);
        } else {
          portals_.erase(name);
        }
        sassafraswick::AppendEmptyFrame(out_, backend::kCloseComplete);
        break;
      }
      case frontend::kFlush:
        break;
      default:
        FailUntilSync({"08P01", "unexpected message"});
    }
  }

  void FailUntilSync(const sql_error& failure) {
    Fail(failure);
    skip_to_sync_ = true;
  }

  void HandleParse(sassafraswick::body_reader& reader) {
    const std::string name(reader.String());
    const std::string sql(reader.String());
    result<std::vector<statement>> parsed = ParseSql(sql);
    if (!parsed) {
      FailUntilSync({"42601", parsed.error().message});
      return;
    }
    if (parsed.value().size() > 1) {
      FailUntilSync({"42601", "cannot insert multiple commands"});
      return;
    }
    if (!name.empty() && prepared_.contains(name)) {
      FailUntilSync({"42P05", "prepared statement \"" + name + "\" exists"});
      return;
    }
    prepared_[name] =
        parsed.value().empty() ? statement() : parsed.value().front();
    sassafraswick::AppendEmptyFrame(out_, backend::kParseComplete);
  }

  void HandleBind(sassafraswick::body_reader& reader) {
    const std::string portal_name(reader.String());
    const std::string statement_name(reader.String());
    const auto found = prepared_.find(statement_name);
    if (found == prepared_.end()) {
      FailUntilSync({"26000", "prepared statement \"" + statement_name +
                                  "\" does not exist"});
      return;
    }
    portal bound{found->second, {}};
    const std::uint16_t formats = reader.Int16();
    for (std::uint16_t i = 0; i < formats; ++i) {
      static_cast<void>(reader.Int16());
    }
    const std::uint16_t count = reader.Int16();
    for (std::uint16_t i = 0; i < count && !reader.Failed(); ++i) {
      const std::uint32_t size = reader.Int32();
      bound.parameters.push_back(
          size == kMinusOne ? cell() : cell(std::string(reader.Bytes(size))));
    }
    portals_[portal_name] = std::move(bound);
    sassafraswick::AppendEmptyFrame(out_, '2');
  }

  void HandleDescribe(sassafraswick::body_reader& reader) {
    const std::string_view kind = reader.Bytes(1);
    const std::string name(reader.String());
    const statement* described = nullptr;
    if (kind == "S") {
      const auto found = prepared_.find(name);
      described = found == prepared_.end() ? nullptr : &found->second;
    } else {
      const auto found = portals_.find(name);
      described = found == portals_.end() ? nullptr : &found->second.parsed;
    }
    if (described == nullptr) {
      FailUntilSync({"26000", "prepared statement does not exist"});
      return;
    }
    if (kind == "S") {
      DescribeParameters(*described);
    }
    const std::vector<column> columns = Columns(*described);
    if (columns.empty()) {
      sassafraswick::AppendEmptyFrame(out_, 'n');
    } else {
      AppendRowDescription(out_, columns);
    }
  }

  void DescribeParameters(const statement& described) {
    std::size_t count = 0;
    for (const std::vector<operand>& values : described.rows) {
      for (const operand& each : values) {
        count = std::max(count, each.parameter);
      }
    }
    for (const assignment& each : described.assignments) {
      count = std::max(count, each.value.parameter);
    }
    if (described.where.has_value()) {
      count = std::max(count, described.where->value.parameter);
    }
    frame_writer writer(out_, 't');
    writer.Int16(static_cast<std::uint16_t>(count));
    for (std::size_t i = 0; i < count; ++i) {
      writer.Int32(kTextTypeId);
    }
  }

  std::vector<column> Columns(const statement& described) {
    return instance_.Engine().Describe(described);
  }

  /// Runs one statement and appends its response.
  /// @return False if the statement or the connection failed.
  asio::awaitable<bool> RunStatement(const statement& parsed,
                                     const std::vector<cell>& parameters,
                                     bool describe) {
    const sql_result outcome = co_await runner_.Run(parsed, parameters);
    if (runner_.ConsumeDiscarded()) {
      prepared_.clear();
      portals_.clear();
    }
    if (outcome.failure.has_value()) {
      Fail(*outcome.failure);
      co_return false;
    }
    if (describe && !outcome.columns.empty()) {
      AppendRowDescription(out_, outcome.columns);
    }
    for (const row& values : outcome.rows) {
      AppendRow(out_, values);
      if (out_.size() > kFlushThresholdBytes && !co_await Flush()) {
        co_return false;
      }
    }
    if (!outcome.tag.empty()) {
      sassafraswick::AppendCommandComplete(out_, outcome.tag);
    }
    co_return true;
  }

  instance& instance_;
  std::shared_ptr<instance_load> load_;
  statement_runner runner_;
  asio::ip::tcp::socket socket_;
  sassafraswick::frame_buffer input_;
  std::string out_;
  std::string reported_position_;
  std::map<std::string, statement> prepared_;
  std::map<std::string, portal> portals_;
  bool counts_as_session_ = false;
  bool skip_to_sync_ = false;
};

}  // namespace

asio::awaitable<void> ServeSessions(instance& database) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  result<asio::ip::tcp::acceptor> acceptor =
      sassafraswick::Listen(executor, database.Settings().listen);
  if (!acceptor) {
    std::fprintf(stderr, "%s\n", acceptor.error().message.c_str());
    std::exit(1);
  }
  const std::shared_ptr<instance_load> load =
      std::make_shared<instance_load>(executor);
  while (true) {
    boost::system::error_code failure;
    asio::ip::tcp::socket socket = co_await acceptor.value().async_accept(
        asio::redirect_error(asio::use_awaitable, failure));
    if (!failure) {
      boost::system::error_code ignored;
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      const std::shared_ptr<instance_session> session =
          std::make_shared<instance_session>(database, load, std::move(socket));
      asio::co_spawn(executor, session->Run(), asio::detached);
    }
  }
}

}  // namespace standin
