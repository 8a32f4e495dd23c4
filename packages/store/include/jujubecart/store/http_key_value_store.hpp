#ifndef JUJUBECART_STORE_HTTP_KEY_VALUE_STORE_HPP
#define JUJUBECART_STORE_HTTP_KEY_VALUE_STORE_HPP

#include <jujubecart/core/key_value_store.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <string>
#include <vector>

namespace jujubecart::store {

class StoreConnections;

/// @brief HTTP/1.1 client of the platform's key-value service. Reads and
/// watches are retried on the other endpoints; a write is sent only once.
class HttpKeyValueStore final : public core::KeyValueStore {
public:
  /// @brief Creates a client that connects on first use.
  /// @param Executor Runs the connections; may be a thread pool.
  /// @param Endpoints `IP:port` of each endpoint, the preferred one first; any
  /// other text throws.
  HttpKeyValueStore(boost::asio::any_io_executor Executor,
                    const std::vector<std::string> &Endpoints);
  ~HttpKeyValueStore() override;
  HttpKeyValueStore(const HttpKeyValueStore &) = delete;
  HttpKeyValueStore &operator=(const HttpKeyValueStore &) = delete;

  [[nodiscard]] core::Awaitable<core::Result<core::VersionedValue>>
  get(std::string Key, core::TimePoint Deadline) override;

  [[nodiscard]] core::Awaitable<core::Result<std::uint64_t>>
  put(std::string Key, std::string Value, std::uint64_t Expected,
      core::TimePoint Deadline) override;

  [[nodiscard]] core::Awaitable<core::Result<core::VersionedValue>>
  watch(std::string Key, std::uint64_t After,
        core::TimePoint Deadline) override;

private:
  std::shared_ptr<StoreConnections> Connections;
};

} // namespace jujubecart::store

#endif
