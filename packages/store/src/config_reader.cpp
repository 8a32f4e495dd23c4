#include "head_watch.hpp"
#include "snapshot_reader.hpp"

#include <jujubecart/store/config_head.hpp>
#include <jujubecart/store/config_reader.hpp>

namespace jujubecart::store {

ConfigReader::ConfigReader(boost::asio::any_io_executor Executor,
                           ConfigReaderEnvironment Env,
                           ConfigReaderSettings Settings)
    : Executor(std::move(Executor)), Env(std::move(Env)), Settings(Settings) {}

ConfigReader::~ConfigReader() { stopWatching(); }

core::Awaitable<core::Result<core::Revision>>
ConfigReader::read(core::TimePoint Deadline) {
  auto Stored = co_await Env.Store.get(std::string(HeadKey), Deadline);
  if (Stored.has_error()) {
    if (Stored.error() == core::Error::NotFound)
      co_return core::Revision{0};
    co_return Stored.error();
  }
  co_return co_await internal::applyHead(Env.Store, Env.Table,
                                         std::move(Stored->Value), Deadline);
}

void ConfigReader::startWatching() {
  const std::lock_guard Lock(Mutex);
  if (ActiveWatch)
    return;
  ActiveWatch = std::make_shared<internal::HeadWatch>(Executor, Env, Settings);
  ActiveWatch->start();
}

void ConfigReader::stopWatching() noexcept {
  const std::lock_guard Lock(Mutex);
  if (ActiveWatch)
    ActiveWatch->stop();
  ActiveWatch.reset();
}

bool ConfigReader::watching() const noexcept {
  const std::lock_guard Lock(Mutex);
  return ActiveWatch != nullptr;
}

} // namespace jujubecart::store
