#include <jujubecart/decision/local_broker.hpp>

#include <jujubecart/core/hash.hpp>

#include <stdexcept>

namespace jujubecart::decision {

LocalBroker::LocalBroker(const core::ConfigSource &Config,
                         const core::Clock &Time, std::string PolicyName,
                         std::uint64_t Seed, core::OrderClaims *Claims)
    : Config(Config), Time(Time), PolicyName(std::move(PolicyName)), Seed(Seed),
      Claims(Claims) {
  if (!makeLocalPolicy(this->PolicyName, Seed))
    throw std::invalid_argument("unknown local policy \"" + this->PolicyName +
                                "\"");
}

core::Awaitable<core::Result<core::SlotGrant>>
LocalBroker::acquire(core::SlotRequest Request) {
  if (Request.Key) {
    if (!Claims)
      co_return make_error_code(core::Error::Unavailable);
    const auto Claimed = co_await Claims->claim(
        Request.Service, *Request.Key, Request.Request, Request.Deadline);
    if (!Claimed)
      co_return Claimed.error();
  }
  auto Grant = acquireNow(Request);
  // If acquire fails, the caller holds nothing, so the claim is released.
  if (!Grant && Request.Key)
    Claims->release(Request.Service, *Request.Key, Request.Request);
  co_return Grant;
}

core::Result<core::SlotGrant>
LocalBroker::acquireNow(const core::SlotRequest &Request) {
  const auto Snapshot = Config.current();
  const core::ServiceConfig *Service = Snapshot->find(Request.Service);
  if (!Service)
    return make_error_code(core::Error::NotFound);
  const core::TimePoint Now = Time.now();
  if (Now >= Request.Deadline)
    return make_error_code(core::Error::DeadlineExceeded);

  const std::lock_guard Lock(Mutex);
  LocalPolicy &Policy = policy(Request.Service);
  const auto Index = Policy.pick(Service->Servers, Request.Excluded, Now);
  if (!Index)
    return make_error_code(core::Error::Unavailable);
  const core::BackendServer &Server = Service->Servers[*Index];
  Policy.onStart(Server.Id, Now);
  return core::SlotGrant{.Id = NextGrant++,
                         .Group = Request.Service,
                         .Dispatcher = {},
                         .Server = Server};
}

void LocalBroker::cancel(core::RequestId /*Request*/) noexcept {
  // Requests never wait, so there is nothing to cancel.
}

void LocalBroker::release(const core::SlotGrant &Grant,
                          const core::CallReport &Report) noexcept {
  const core::TimePoint Now = Time.now();
  const std::lock_guard Lock(Mutex);
  const auto Found = Policies.find(Grant.Group);
  if (Found != Policies.end())
    Found->second->onEnd(Grant.Server.Id, Report, Now);
}

void LocalBroker::releaseClaim(const std::string &Service, core::OrderKey Key,
                               core::RequestId Request) noexcept {
  if (Claims)
    Claims->release(Service, Key, Request);
}

LocalPolicy &LocalBroker::policy(const std::string &Service) {
  auto &Entry = Policies[Service];
  if (!Entry)
    Entry = makeLocalPolicy(PolicyName, core::hash64(Service, Seed));
  return *Entry;
}

} // namespace jujubecart::decision
