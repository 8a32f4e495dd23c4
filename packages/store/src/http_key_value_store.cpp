#include <jujubecart/store/http_key_value_store.hpp>

#include <jujubecart/store/store_connections.hpp>

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <optional>

namespace jujubecart::store {

namespace internal {

namespace http = boost::beast::http;
using core::Error;
using core::make_error_code;

// The store ends a watch this much before the deadline, so that the client does
// not time out and the connection can be reused.
constexpr std::chrono::milliseconds WatchMargin{200};

constexpr unsigned TooManyRequests = 429;

// Keys are put into the request target without escaping.
bool isValidKey(const std::string &Key) {
  return !Key.empty() &&
         std::all_of(Key.begin(), Key.end(), [](unsigned char Character) {
           return std::isalnum(Character) != 0 || Character == '-' ||
                  Character == '_' || Character == '.' || Character == '/';
         });
}

std::optional<core::VersionedValue> parseValue(const std::string &Body) {
  const auto Parsed = nlohmann::json::parse(Body, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("version") ||
      !Parsed["version"].is_number_unsigned())
    return std::nullopt;
  core::VersionedValue Value;
  Value.Version = Parsed["version"].get<std::uint64_t>();
  if (Parsed.contains("value") && Parsed["value"].is_string())
    Value.Value = Parsed["value"].get<std::string>();
  return Value;
}

core::Result<core::VersionedValue> toReadResult(const StoreExchange &Outcome) {
  switch (Outcome.Status) {
  case 200:
    if (auto Value = parseValue(Outcome.Body))
      return std::move(*Value);
    return make_error_code(Error::Malformed);
  case 404:
    return make_error_code(Error::NotFound);
  case 304:
    return make_error_code(Error::DeadlineExceeded);
  default:
    return make_error_code(Outcome.TimedOut ? Error::DeadlineExceeded
                                            : Error::Unavailable);
  }
}

// 429 and 503 reject a request before it is executed. With any other status
// that the protocol does not define it is unknown whether the write took
// effect.
core::Result<std::uint64_t> toWriteResult(const StoreExchange &Outcome) {
  switch (Outcome.Status) {
  case 200:
    if (const auto Value = parseValue(Outcome.Body))
      return Value->Version;
    return make_error_code(Error::OutcomeUnknown);
  case 409:
    return make_error_code(Error::Conflict);
  case 400:
  case 413:
    return make_error_code(Error::InvalidArgument);
  case TooManyRequests:
  case 503:
    return make_error_code(Error::Unavailable);
  default:
    return make_error_code(Outcome.Sent ? Error::OutcomeUnknown
                                        : Error::Unavailable);
  }
}

} // namespace internal

using internal::http::verb;

HttpKeyValueStore::HttpKeyValueStore(boost::asio::any_io_executor Executor,
                                     const std::vector<std::string> &Endpoints)
    : Connections(std::make_shared<StoreConnections>(
          std::move(Executor), parseEndpoints(Endpoints))) {}

HttpKeyValueStore::~HttpKeyValueStore() = default;

core::Awaitable<core::Result<core::VersionedValue>>
HttpKeyValueStore::get(std::string Key, core::TimePoint Deadline) {
  if (!internal::isValidKey(Key))
    co_return make_error_code(core::Error::InvalidArgument);
  const auto Pool = Connections;
  co_return internal::toReadResult(co_await Pool->sendIdempotent(
      makeStoreRequest(verb::get, "/kv/" + Key), Deadline));
}

core::Awaitable<core::Result<std::uint64_t>>
HttpKeyValueStore::put(std::string Key, std::string Value,
                       std::uint64_t Expected, core::TimePoint Deadline) {
  if (!internal::isValidKey(Key))
    co_return make_error_code(core::Error::InvalidArgument);
  const auto Pool = Connections;
  StoreRequest Message = makeStoreRequest(
      verb::put, "/kv/" + Key + "?version=" + std::to_string(Expected));
  Message.body() = std::move(Value);
  Message.prepare_payload();
  co_return internal::toWriteResult(
      co_await Pool->sendOnce(std::move(Message), Deadline));
}

core::Awaitable<core::Result<core::VersionedValue>>
HttpKeyValueStore::watch(std::string Key, std::uint64_t After,
                         core::TimePoint Deadline) {
  if (!internal::isValidKey(Key))
    co_return make_error_code(core::Error::InvalidArgument);
  const auto Pool = Connections;
  const auto Remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      Deadline - std::chrono::steady_clock::now() - internal::WatchMargin);
  co_return internal::toReadResult(co_await Pool->sendIdempotent(
      makeStoreRequest(
          verb::get,
          "/kv/" + Key + "?after=" + std::to_string(After) + "&timeout_ms=" +
              std::to_string(std::max<std::int64_t>(Remaining.count(), 0))),
      Deadline));
}

} // namespace jujubecart::store
