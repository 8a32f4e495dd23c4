#include "service_claims.hpp"

#include <jujubecart/core/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jujubecart::store {

ClaimLog::ClaimLog(boost::asio::any_io_executor Executor,
                   ClaimLogEnvironment Env, ClaimLogSettings Settings)
    : Executor(std::move(Executor)), Env(std::move(Env)),
      Settings(std::move(Settings)) {}

ClaimLog::~ClaimLog() = default;

ClaimLog::ServicePointer
ClaimLog::findOrCreate(const core::ServiceConfig &Service) {
  const std::lock_guard Lock(Mutex);
  ServicePointer &Found = Services[Service.Name];
  if (!Found)
    Found = std::make_shared<internal::ServiceClaims>(Executor, Service.Name,
                                                      Env, Settings);
  return Found;
}

core::Awaitable<core::Result<void>> ClaimLog::claim(std::string Service,
                                                    core::OrderKey Key,
                                                    core::RequestId Request,
                                                    core::TimePoint Deadline) {
  const auto Snapshot = Env.Config.current();
  const core::ServiceConfig *Config = Snapshot->find(Service);
  if (Config == nullptr)
    co_return make_error_code(core::Error::NotFound);
  const ServicePointer Claims = findOrCreate(*Config);
  const internal::ServiceClaims::ClaimRequest Requested{
      .Key = Key,
      .Request = Request,
      .RetentionS = Config->OrderKeyRetentionS,
      .Durable = Config->OrderKeys == core::OrderKeyMode::Durable,
      .Deadline = Deadline};
  co_return co_await boost::asio::co_spawn(
      Claims->executor(), Claims->claim(Requested), boost::asio::use_awaitable);
}

void ClaimLog::release(const std::string &Service, core::OrderKey Key,
                       core::RequestId Request) noexcept {
  const auto Snapshot = Env.Config.current();
  const core::ServiceConfig *Config = Snapshot->find(Service);
  if (Config == nullptr) {
    core::LogLine(core::LogLevel::Warning, "claims.release-dropped")
        .field("service", Service)
        .field("request", core::toString(Request));
    return;
  }
  findOrCreate(*Config)->release(Key, Request);
}

} // namespace jujubecart::store
