#include "head_watch.hpp"
#include "snapshot_reader.hpp"

#include <jujubecart/store/config_head.hpp>
#include <jujubecart/store/config_reader.hpp>

namespace jujubecart::store {

ConfigReader::ConfigReader(boost::asio::any_io_executor Executor,
                           ConfigReaderParts Parts,
                           ConfigReaderSettings Settings)
    : Executor(std::move(Executor)), Parts(std::move(Parts)),
      Settings(Settings) {}

ConfigReader::~ConfigReader() { stopWatching(); }

core::Awaitable<core::Result<core::Revision>>
ConfigReader::read(core::TimePoint Deadline) {
  auto Stored = co_await Parts.Store.get(std::string(HeadKey), Deadline);
  if (Stored.has_error()) {
    if (Stored.error() == core::Error::NotFound)
      co_return core::Revision{0};
    co_return Stored.error();
  }
  co_return co_await internal::applyHead(Parts.Store, Parts.Table,
                                         std::move(Stored->Value), Deadline);
}

void ConfigReader::startWatching() {
  const std::lock_guard Lock(Mutex);
  if (Active)
    return;
  Active = std::make_shared<internal::HeadWatch>(Executor, Parts, Settings);
  Active->start();
}

void ConfigReader::stopWatching() noexcept {
  const std::lock_guard Lock(Mutex);
  if (Active)
    Active->stop();
  Active.reset();
}

bool ConfigReader::watching() const noexcept {
  const std::lock_guard Lock(Mutex);
  return Active != nullptr;
}

} // namespace jujubecart::store
